//! The other nodes: their records and their targets, their discovery, and which of them watch the store.

pub(crate) mod culprits;
pub mod discovery;
pub mod members;
mod peers;
pub mod target_history;
pub mod watchers;
