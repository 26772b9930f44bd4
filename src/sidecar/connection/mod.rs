//! What lives for one connection: links between nodes with their frames, and connections to the target.

mod accepted_link;
mod dial;
pub mod ending;
pub mod frame;
mod greeting;
pub mod inbound_link;
mod link;
mod link_messages;
mod link_task;
pub mod links;
mod liveness;
mod metered;
pub mod pacing;
pub mod pool;
pub mod relay;
mod response_sender;
mod running_requests;
pub mod transit;
mod upload_receiver;
mod upload_sender;
