//! Messages between nodes, encoded with CBOR.

use serde::{Deserialize, Serialize};

use crate::process::notices::Notice;
use crate::process::record::Record;

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Membership records.
    Records(Vec<Record>),
    /// Suspects and grants.
    Notices(Vec<Notice>),
}
