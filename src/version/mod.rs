//! Configuration versions: manifest, validation, storage, deltas and selection of the version in force.

pub mod adopt;
pub mod compression;
pub mod delta;
pub mod gc;
pub mod manifest;
pub mod publish;
pub mod snapshot;
pub mod stored;
pub mod validate;
