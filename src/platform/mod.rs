//! The users' platform: its names, formats and calls, translated into the product's types. Nothing is decided here.

pub mod document;
pub mod edge;
pub mod heartbeat;
pub mod store;
