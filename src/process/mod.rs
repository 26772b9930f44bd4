//! State that lives as long as the process.

pub mod admin;
pub mod admission;
pub mod balance;
pub mod budget;
pub mod callers;
pub mod clock;
pub mod control;
pub mod metrics;
pub mod node;
pub mod notices;
pub mod record;
pub mod routing;
pub mod sample;
pub mod slots;
