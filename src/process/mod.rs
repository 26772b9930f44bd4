//! State that lives as long as the process.

pub mod admin;
pub mod admission;
pub mod backend;
pub mod balance;
pub mod budget;
pub mod callers;
pub mod choice;
pub mod clock;
pub mod control;
pub mod dedup;
pub mod drain;
pub mod floor;
pub mod grants;
pub mod metrics;
pub mod node;
pub mod notices;
pub mod operate;
pub mod ownership;
pub mod quarantine;
pub mod record;
pub mod routing;
pub mod shutdown;
pub mod slots;
pub mod stop;
pub mod target;
