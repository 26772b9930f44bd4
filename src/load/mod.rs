//! Open-loop load generator: arrivals follow a seeded clock and never wait for answers.

pub mod arrivals;
pub mod plan;
pub mod report;
pub mod run;
