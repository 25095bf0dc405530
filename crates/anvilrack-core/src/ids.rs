//! Type aliases for identifiers and version numbers.

use std::sync::Arc;

/// Name of a router from its settings; unchanged across restarts.
pub type NodeId = Arc<str>;
/// Name of a service, which is the first segment of a request path.
pub type ServiceName = Arc<str>;
/// Name of a failure domain, a group of VMs that may fail together.
pub type DomainName = Arc<str>;
/// Name of a region, to which a service can be restricted.
pub type RegionName = Arc<str>;
/// Index of a shard within its service, starting at zero.
pub type ShardId = u32;
/// Epoch of a cell's coordinator; increases with every takeover.
pub type Epoch = u64;
/// Fencing token sent to a target with each request; a later owner always has a greater one.
pub type FencingToken = u64;
/// Identifies one run of a router process by its start time, in milliseconds since the Unix epoch.
pub type Incarnation = u64;
/// Revision of the configuration that operators applied, starting at one.
pub type Revision = u64;
/// Version of a cell's record; rises with each write, and to a new range of numbers with each epoch.
pub type CellVersion = u64;
