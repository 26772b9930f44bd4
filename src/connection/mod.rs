//! Connections between processes: links with their frames and handshake, HTTP listeners and HTTP clients.

pub mod body_buffer;
pub mod budget;
mod client;
pub mod frame;
pub mod gate;
pub mod handshake;
pub mod listen;
pub mod member_entry;
pub mod meter;
pub mod peer;
pub mod pipeline;
mod read_ahead;
pub mod upstream;
pub mod wire;
