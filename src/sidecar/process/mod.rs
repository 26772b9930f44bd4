//! What lives for the process: its state, start and stop, metrics, and the state of targets and other nodes.

pub mod admin;
pub mod bandwidth;
pub mod explain;
pub mod fleet;
pub mod inbound;
pub mod limits;
mod listeners;
pub mod metrics;
pub mod node;
pub mod quota;
pub mod rollout;
pub mod routing;
pub mod sample;
mod settings_file;
pub mod start;
mod stop;
pub(crate) mod store_era;
pub mod target;
