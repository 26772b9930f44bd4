//! What lives for one request: its route and attempts at the entry node, its slot and exchange at the admitting node.

pub mod admit;
pub(crate) mod admit_upload;
pub mod attempt;
pub(crate) mod attempts;
pub(crate) mod authenticate;
pub mod early;
pub mod entry;
pub(crate) mod resolve;
pub(crate) mod upload;
