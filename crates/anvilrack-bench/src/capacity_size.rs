//! The size we design for.

/// Nodes: a target and the router beside it.
pub(crate) const NODES: f64 = 20_000.0;
/// Members of a cell.
pub(crate) const CELL_MEMBERS: f64 = 400.0;
/// Cells.
pub(crate) const CELLS: f64 = NODES / CELL_MEMBERS;
/// Entries of the assignment table.
pub(crate) const ENTRIES: f64 = NODES * 16.0;
/// Requests a second over all nodes.
pub(crate) const REQUESTS: f64 = 71e6;
/// Failure domains.
pub(crate) const DOMAINS: f64 = 23.0;
/// Regions.
pub(crate) const REGIONS: f64 = 6.0;
/// Nodes restarted, replaced or lost in a day.
pub(crate) const RESTARTS_A_DAY: f64 = 1_823.0;
/// Changes of the configuration in a day.
pub(crate) const CONFIGS_A_DAY: f64 = 35_000.0;
/// Keys that are hottest, and change within minutes.
pub(crate) const HOT_KEYS: f64 = 1_100.0;
/// Seconds in a day.
pub(crate) const DAY: f64 = 86_400.0;

/// Share of a core that control may use, in milliseconds a second.
pub(crate) const CONTROL_MS: f64 = 18.0;
/// Memory that control may use, in bytes.
pub(crate) const CONTROL_MEMORY: f64 = 256e6;
/// Bytes a second that control may use.
pub(crate) const CONTROL_BYTES: f64 = 5_000.0;
/// Reads a second that the store can serve.
pub(crate) const STORE_READS: f64 = 2_000.0;
/// Writes a second that the store can serve.
pub(crate) const STORE_WRITES: f64 = 300.0;

/// Heartbeats of a member, a second.
pub(crate) const BEATS: f64 = 5.0;
/// Plans of a coordinator, a second.
pub(crate) const PLANS: f64 = 20.0;
/// Copies of its record that a coordinator makes, a second: two with each plan, and those of
/// touches and promises.
pub(crate) const COPIES: f64 = 50.0;
/// Rounds of promises, a second.
pub(crate) const PROMISES: f64 = 3.3;
/// Pulls of a coordinator from others, a second.
pub(crate) const PULLS: f64 = 8.0;
/// Links that a router keeps open.
pub(crate) const LINK_LIMIT: f64 = 1_024.0;
/// Writes of a cell's record for one restart: sixteen shards leave and come back, four at a time,
/// and the member's own description changes three times.
pub(crate) const WRITES_PER_RESTART: f64 = 11.0;
/// Shards that change owner for one restart.
pub(crate) const SHARDS_PER_RESTART: f64 = 32.0;
/// Bytes of the headers of TCP and IP that a call takes both ways, with its acknowledgements.
pub(crate) const HEADERS: f64 = 4.0 * 52.0;
