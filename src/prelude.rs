//! Types that most modules import: identifiers, hash collections, times and short strings.

pub use std::collections::BTreeMap;
pub use std::sync::Arc;
pub use std::time::Duration;

pub use error_stack::{Report, ResultExt};
pub use smol_str::SmolStr;

/// Hash map with a fast, randomly seeded hasher.
///
/// The iteration order differs between runs. A policy whose result depends on the order uses a `BTreeMap`.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with the hasher of [`HashMap`].
pub type HashSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;

/// Name of a node, unique in its site.
pub type NodeId = SmolStr;
/// Name of an availability zone.
pub type Az = SmolStr;
/// Name of a service that the manifest declares.
pub type ServiceId = SmolStr;
/// Name of a rank that the manifest declares.
pub type RankId = SmolStr;
/// Identity of a caller, for fairness between callers of one rank.
pub type CallerId = SmolStr;
/// Name of a tenant that the configuration declares; empty for requests without one.
pub type TenantId = SmolStr;
/// Number of a configuration version; 0 while there is none.
pub type VersionNumber = u64;
/// Number that distinguishes successive processes with the same node id.
pub type Incarnation = u64;
/// Point in time, as the monotonic time since the start of the process. Meaningless to other processes.
pub type Now = Duration;
