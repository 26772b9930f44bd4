//! What lives for one connection: links between nodes with their frames, and connections to the target.

mod dial;
pub mod ending;
pub mod frame;
mod greeting;
pub mod inbound_link;
mod link;
mod link_task;
pub mod links;
mod liveness;
mod metered;
pub mod pacing;
pub mod pool;
pub mod relay;
pub mod transit;
mod upload_receiver;
mod upload_sender;
