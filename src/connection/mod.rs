//! State that lives as long as a connection.

pub mod entry;
pub mod frame;
pub mod handshake;
pub mod listen;
pub mod peer;
pub mod upstream;
pub mod wire;
