//! Configuration versions: manifest, validation, storage, deltas and selection of the version in force.
//!
//! The content of a version is its manifest in canonical form. The head is the store's record of the newest accepted
//! version. A fork is a version with the number of a known version but with another content.

pub mod adopt;
pub mod compression;
pub mod delta;
pub mod gc;
pub mod manifest;
pub mod publish;
pub mod snapshot;
pub mod stored;
pub mod validate;
