//! The users' platform: its names, formats and calls, translated into the product's types. Nothing is decided here.

pub mod adapter;
pub mod document;
pub mod heartbeat;
pub mod store;
