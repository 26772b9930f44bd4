//! Distribution of versions to the nodes: watchers of the store, dissemination between nodes, and version floors.

pub mod content;
pub mod dissemination;
pub mod floor;
pub mod watch;
pub mod watch_calls;
