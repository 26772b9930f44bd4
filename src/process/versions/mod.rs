//! How versions reach a node: store watchers, dissemination and the floor.

pub mod content;
pub mod floor;
pub mod spread;
pub mod watch;
pub mod watch_calls;
