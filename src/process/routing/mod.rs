//! Choice of a target at the entry node, and admission at the node of the target.

pub mod admission;
pub mod balance;
pub mod budget;
pub mod callers;
pub mod driver;
pub mod slots;
