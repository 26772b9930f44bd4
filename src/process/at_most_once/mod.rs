//! Non-idempotent requests that run at most once.

pub mod assignment;
pub mod dedup;
pub mod grants;
pub mod ownership;
