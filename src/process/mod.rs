//! State that lives as long as the process.

pub mod admin;
pub mod admission;
pub mod balance;
pub mod budget;
pub mod callers;
pub mod clock;
pub mod content;
pub mod control;
mod control_store;
pub mod faults;
pub mod link_task;
pub mod links;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod notices;
pub mod reconnect;
pub mod record;
pub mod routing;
pub mod sample;
pub mod slots;
pub mod spread;
pub mod table;
pub mod view;
pub mod watch;
pub mod watch_calls;
