//! Open-loop load generator: arrival times come from a seeded random process and do not depend on responses.

pub mod arrivals;
pub mod plan;
pub mod report;
pub mod run;
