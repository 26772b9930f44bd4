//! The other nodes: their records, their discovery, and which of them watch the store.

pub mod discovery;
pub mod members;
pub mod watchers;
