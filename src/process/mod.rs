//! State that lives as long as the process, by what it is about.

pub mod clock;
pub mod lifecycle;
pub mod members;
pub mod node;
pub mod observe;
pub mod once;
pub mod routing;
pub mod target;
pub mod versions;
