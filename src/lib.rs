//! Configuration distribution and request routing for a service mesh.
//!
//! Folders follow life span: `request`, `connection`, `version` and `process` own the state that lives that long.

pub mod cmd;
pub mod connection;
pub mod devsite;
pub mod digest;
pub mod findings;
pub mod key;
pub mod load;
pub mod logging;
pub mod prelude;
pub mod process;
pub mod request;
pub mod settings;
pub mod store;
pub mod strict;
pub mod version;
