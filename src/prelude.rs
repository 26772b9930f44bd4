//! Common types: id aliases, the hash map alias, time and text types.

pub use std::collections::BTreeMap;
pub use std::sync::Arc;
pub use std::time::Duration;

pub use error_stack::{Report, ResultExt};
pub use smol_str::SmolStr;

/// Hash map with a fast, randomly seeded hasher.
///
/// Iteration order differs between runs; a policy whose output depends on order uses a `BTreeMap`.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with a fast, randomly seeded hasher.
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

/// Name of a node, unique in its site.
pub type NodeId = SmolStr;
/// Name of an availability zone.
pub type Az = SmolStr;
/// Name of a service declared by the manifest.
pub type ServiceId = SmolStr;
/// Name of a rank declared by the manifest.
pub type RankId = SmolStr;
/// Identity of a caller, used for fairness within a rank.
pub type CallerId = SmolStr;
/// Number of a configuration version; 0 means that there is none yet.
pub type VersionNumber = u64;
/// Distinguishes successive processes that use the same node id.
pub type Incarnation = u64;
/// Monotonic time since the start of the process. Never sent to another process.
pub type Now = Duration;
