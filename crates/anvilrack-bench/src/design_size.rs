//! The deployment size that the project is designed for, its cost limits, and the rates of control
//! traffic.

/// Number of nodes; each consists of a target and the router on the same VM.
pub(crate) const NODES: f64 = 20_000.0;
/// Members of one cell.
pub(crate) const CELL_MEMBERS: f64 = 400.0;
/// Number of cells.
pub(crate) const CELLS: f64 = NODES / CELL_MEMBERS;
/// Entries of the assignment table: 16 shards for each node.
pub(crate) const ENTRIES: f64 = NODES * 16.0;
/// Requests per second over all nodes.
pub(crate) const REQUESTS_PER_SECOND: f64 = 71e6;
/// Number of failure domains.
pub(crate) const DOMAINS: f64 = 23.0;
/// Number of regions.
pub(crate) const REGIONS: f64 = 6.0;
/// Nodes that are restarted, replaced or lost per day.
pub(crate) const RESTARTS_PER_DAY: f64 = 1_823.0;
/// Changes of the configuration per day.
pub(crate) const CONFIGS_PER_DAY: f64 = 35_000.0;
/// Number of hot keys; the set of hot keys changes within minutes.
pub(crate) const HOT_KEYS: f64 = 1_100.0;
/// Seconds in a day.
pub(crate) const SECONDS_PER_DAY: f64 = 86_400.0;

/// Maximum processor time of control work, in milliseconds of one core per second.
pub(crate) const MAX_CONTROL_MS: f64 = 18.0;
/// Maximum memory of control work, in bytes.
pub(crate) const MAX_CONTROL_MEMORY_BYTES: f64 = 256e6;
/// Maximum control traffic, in bytes per second.
pub(crate) const MAX_CONTROL_BYTES: f64 = 5_000.0;
/// Reads per second that the store can serve.
pub(crate) const MAX_STORE_READS: f64 = 2_000.0;
/// Writes per second that the store can serve.
pub(crate) const MAX_STORE_WRITES: f64 = 300.0;

/// Heartbeats per second that each member sends.
pub(crate) const HEARTBEATS_PER_SECOND: f64 = 5.0;
/// Assignment plans per second that a coordinator computes.
pub(crate) const PLANS_PER_SECOND: f64 = 20.0;
/// Copies of its record that a coordinator makes per second: two for each plan, plus those for
/// touching the record and for standby promises.
pub(crate) const COPIES_PER_SECOND: f64 = 50.0;
/// Rounds of standby promises per second in a cell.
pub(crate) const PROMISES_PER_SECOND: f64 = 3.3;
/// Table pulls per second that a coordinator makes from other coordinators.
pub(crate) const PULLS_PER_SECOND: f64 = 8.0;
/// Maximum number of outgoing links that a router keeps open.
pub(crate) const MAX_LINKS: f64 = 1_024.0;
/// Writes of a cell's record for one restart: sixteen shards leave and return, four at a time, and
/// the member's own entry changes three times.
pub(crate) const WRITES_PER_RESTART: f64 = 11.0;
/// Ownership changes for one restart: sixteen shards leave and return.
pub(crate) const SHARDS_PER_RESTART: f64 = 32.0;
/// Bytes of TCP and IP headers of a call in both directions, including acknowledgements.
pub(crate) const HEADER_BYTES: f64 = 4.0 * 52.0;
