//! Non-idempotent requests that run at most once.

pub mod choice;
pub mod dedup;
pub mod grants;
pub mod ownership;
