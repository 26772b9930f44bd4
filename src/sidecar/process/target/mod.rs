//! The target of this node: its state, its calls, its slots with their queue, and its rate limit.

pub mod abandoned;
mod admission;
mod change;
pub mod control;
pub mod crash;
mod current;
pub mod departure;
pub mod full;
pub mod heartbeat;
pub(crate) mod occupancy;
pub mod pace;
pub mod queue;
pub mod rate_limit;
pub(crate) mod records;
pub mod silence;
pub mod slots;
pub mod state;
pub mod successor;
pub mod tenant_shares;
