//! State that lives as long as one request.

pub mod admit;
pub mod body;
pub mod checks;
pub mod context;
pub mod entry;
pub mod key;
pub mod owner;
pub mod reason;
pub mod retry;
pub mod routed;
