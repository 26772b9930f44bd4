//! Translation between the names, formats and calls of the users' platform and the types of this program. It contains
//! no policies.

pub mod adapter;
pub mod document;
pub mod heartbeat;
pub mod rollout;
pub mod store;
mod store_messages;
