//! Rollouts: moving the traffic of a service to the targets of a new version in steps, or back.
//!
//! The policy is in [`order`], [`plan`], [`samples`], [`verdict`], [`decider`], [`election`], [`view`] and
//! [`new_versions`]; [`table`] holds the state of a node, and [`driver`], `calls` and `hooks` connect it to the rest.

mod calls;
pub mod decider;
pub mod driver;
pub mod election;
mod hooks;
pub mod new_versions;
pub mod order;
mod pace;
pub mod plan;
pub mod samples;
pub mod table;
pub mod verdict;
pub mod view;
