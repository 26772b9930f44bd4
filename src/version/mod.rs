//! State that lives as long as a configuration version.

pub mod manifest;
pub mod publish;
pub mod snapshot;
pub mod validate;
