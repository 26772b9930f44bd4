//! Process lifecycle: start, control task, planned stop and shutdown.

pub mod control;
pub(in crate::process) mod control_store;
pub mod drain;
pub mod faults;
pub mod operator_api;
pub mod shutdown;
pub mod start;
pub mod stop;
