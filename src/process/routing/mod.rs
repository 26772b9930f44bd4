//! Which target gets a request, and which requests are admitted here.

pub mod admission;
pub mod balance;
pub mod budget;
pub mod callers;
pub mod driver;
pub mod slots;
