//! A running node: shared state and the tasks that work on it.

pub mod at_most_once;
pub mod clock;
pub mod lifecycle;
pub mod members;
pub mod node;
pub mod observe;
pub mod routing;
pub mod target;
pub mod versions;
