//! State that lives as long as a configuration version.

pub mod adopt;
pub mod collect;
pub mod delta;
pub mod manifest;
pub mod pack;
pub mod publish;
pub mod snapshot;
pub mod validate;
