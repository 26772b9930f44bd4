//! State that lives as long as a request.

pub mod admit;
pub mod body;
pub mod context;
pub mod entry;
pub mod gate;
pub mod job;
pub mod key;
pub mod owner;
pub mod reason;
pub mod retry;
