//! State that lives as long as a connection.

pub mod frame;
pub mod listen;
pub mod peer;
pub mod upstream;
