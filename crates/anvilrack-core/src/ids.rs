//! Names and numbers that identify things, as plain aliases.

use std::sync::Arc;

/// Name of one router process, from its settings; stays the same over restarts.
pub type NodeId = Arc<str>;
/// Name of a service, the first segment of a caller's path.
pub type ServiceName = Arc<str>;
/// Name of a failure domain.
pub type DomainName = Arc<str>;
/// Name of a region.
pub type RegionName = Arc<str>;
/// Number of a shard within its service, from zero.
pub type ShardId = u32;
/// Term of office of a cell's coordinator; goes up with every takeover.
pub type Epoch = u64;
/// Number handed to a target with each request; a later owner always has a greater one.
pub type FencingToken = u64;
/// Which run of a router process this is: milliseconds since the Unix epoch at its start.
pub type Incarnation = u64;
/// Number of a configuration the operators applied, from one.
pub type Revision = u64;
/// Number of writes a cell's record has seen, over all epochs.
pub type TableVersion = u64;
