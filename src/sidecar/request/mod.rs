//! What lives for one request: its route and attempts at the entry node, its slot and exchange at the admitting node.

pub mod admit;
pub(crate) mod admit_upload;
pub mod attempt;
mod attempts;
mod authenticate;
pub mod early;
pub mod entry;
pub(crate) mod upload;
