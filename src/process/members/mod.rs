//! What a node knows about the other nodes, and its links to them.

pub mod link_task;
pub mod links;
pub mod membership;
pub mod notices;
pub mod reconnect;
pub mod record;
pub mod table;
pub mod view;
