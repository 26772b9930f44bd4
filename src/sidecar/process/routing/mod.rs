//! Choice among the targets of a service, split between services, fairness between ranks, and retry budgets.

mod az_load;
pub mod budget;
mod candidates;
mod choice;
pub mod crash_suspects;
pub mod fairness;
mod known_target;
pub mod observe;
pub mod placement;
mod retries;
pub mod service_times;
pub mod split;
