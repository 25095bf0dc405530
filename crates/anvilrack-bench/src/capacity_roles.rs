//! The cost of each role at the design size, in normal operation and on bad days.
//!
//! A bad day is a failure or a bulk change, such as the loss of a failure domain.

use crate::capacity_page::{CapacityLine, CapacityVerdict, SlopeSet};
use crate::design_size::{
    CELL_MEMBERS, CELLS, CONFIGS_PER_DAY, COPIES_PER_SECOND, DOMAINS, ENTRIES, HEADER_BYTES,
    HEARTBEATS_PER_SECOND, HOT_KEYS, MAX_CONTROL_BYTES, MAX_CONTROL_MEMORY_BYTES, MAX_CONTROL_MS,
    MAX_LINKS, MAX_STORE_READS, MAX_STORE_WRITES, NODES, PLANS_PER_SECOND, PROMISES_PER_SECOND,
    PULLS_PER_SECOND, REGIONS, REQUESTS_PER_SECOND, RESTARTS_PER_DAY, SECONDS_PER_DAY,
    SHARDS_PER_RESTART, WRITES_PER_RESTART,
};
use crate::short_number;

use CapacityVerdict::{NoBound, NotMeasured, NotYet};

/// Microseconds per millisecond.
const US_PER_MS: f64 = 1e3;

/// Collects the lines of one role or bad day.
struct RoleLines {
    role: &'static str,
    lines: Vec<CapacityLine>,
}

impl RoleLines {
    fn new(role: &'static str) -> Self {
        let lines = Vec::new();
        Self { role, lines }
    }

    fn add(
        &mut self,
        cost: &'static str,
        value: String,
        mechanism: &'static str,
        verdict: CapacityVerdict,
    ) {
        self.lines.push(CapacityLine {
            role: self.role,
            cost,
            value,
            mechanism,
            verdict,
        });
    }
}

/// Returns the bytes per second that assignment changes send to each node.
fn assignment_bytes(set: &SlopeSet<'_>) -> eyre::Result<f64> {
    let writes = RESTARTS_PER_DAY * WRITES_PER_RESTART / SECONDS_PER_DAY;
    let shards = RESTARTS_PER_DAY * SHARDS_PER_RESTART / SECONDS_PER_DAY;
    let delta = set.named("fan-out.delta")?.fit;
    let full_digest = set.value_at("heartbeat.bytes-full", CELLS)?;
    // After each change, one heartbeat carries a different hash, and the next one carries the full
    // digest.
    Ok(writes * (delta.intercept + full_digest) + shards * delta.slope)
}

/// Returns the bytes per second that configuration changes send to each node, with `pins` pinned
/// keys.
fn config_bytes(set: &SlopeSet<'_>, pins: f64) -> eyre::Result<f64> {
    Ok(set.value_at("fan-out.config", pins)? * CONFIGS_PER_DAY / SECONDS_PER_DAY)
}

fn format_bytes(value: f64) -> String {
    format!("{}B", short_number(value))
}

/// Returns the lines of all roles.
pub(crate) fn role_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut lines = request_lines(set)?;
    lines.extend(member_lines(set)?);
    lines.extend(coordinator_lines(set)?);
    lines.extend(standby_lines(set)?);
    lines.extend(fan_out_lines(set)?);
    lines.extend(store_lines(set)?);
    lines.extend(operator_lines(set)?);
    Ok(lines)
}

fn request_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("router, requests");
    let rate = REQUESTS_PER_SECOND / NODES;
    let cpu = set.named("request-path.cpu-hop")?.points[0].y;
    role.add(
        "processor",
        format!(
            "{rate:.0} requests/s x {cpu:.0} us = {:.1} cores",
            rate * cpu / 1e6
        ),
        "workers run a request to its end; one hop over h2",
        NoBound,
    );
    let lookup_ns = set.value_at_largest_size("table.look-up")?;
    role.add(
        "look-up",
        format!(
            "{lookup_ns:.0} ns x {rate:.0}/s = {:.1} ms/s",
            lookup_ns * rate / 1e6
        ),
        "`RouteTable::resolve`",
        CapacityVerdict::within(lookup_ns * rate / 1e6, MAX_CONTROL_MS),
    );
    let cpu_us = set.named("log-line.cpu")?.fit.slope;
    let line_bytes = set.named("log-line.bytes")?.fit.slope;
    role.add(
        "log line",
        format!(
            "{:.1} ms/s, {} a second",
            cpu_us * rate / US_PER_MS,
            format_bytes(line_bytes * rate)
        ),
        "`env_logger`, one line for each request",
        NoBound,
    );
    let link_memory = set.named("connections.links")?.fit.slope;
    role.add(
        "links",
        format!(
            "{MAX_LINKS:.0} out and as many in x {} = {}",
            format_bytes(link_memory),
            format_bytes(2.0 * MAX_LINKS * link_memory)
        ),
        "links opened on demand, at most 1,024",
        CapacityVerdict::within(2.0 * MAX_LINKS * link_memory, MAX_CONTROL_MEMORY_BYTES),
    );
    let miss_share = 1.0 - MAX_LINKS / NODES;
    role.add(
        "new links",
        format!(
            "callers that pick any router: {:.0} in 100 requests open one, {:.0}/s",
            100.0 * miss_share,
            rate * miss_share
        ),
        "nothing yet; callers would have to stay near their keys",
        NotYet,
    );
    let connection_memory = set.named("connections.callers")?.fit.slope;
    role.add(
        "callers' connections",
        format!(
            "110 x {} = {}",
            format_bytes(connection_memory),
            format_bytes(110.0 * connection_memory)
        ),
        "`tiny_http`",
        CapacityVerdict::within(110.0 * connection_memory, MAX_CONTROL_MEMORY_BYTES),
    );
    role.add(
        "13 ms for 99 in 100",
        "no machine to ourselves".to_owned(),
        "no queue but at the target",
        NotMeasured,
    );
    Ok(role.lines)
}

fn member_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("router, member");
    let table = set.value_at("table.memory", ENTRIES)?;
    let base_memory = set.named("connections.links")?.fit.intercept;
    role.add(
        "memory",
        format!(
            "table of {} entries {}, process {}",
            short_number(ENTRIES),
            format_bytes(table),
            format_bytes(base_memory)
        ),
        "`RouteTable`, one record for each cell",
        CapacityVerdict::within(table + base_memory, MAX_CONTROL_MEMORY_BYTES),
    );
    let heartbeat_bytes = set.value_at("heartbeat.bytes", CELLS)? + HEADER_BYTES;
    let rate = HEARTBEATS_PER_SECOND * heartbeat_bytes + assignment_bytes(set)?;
    role.add(
        "bytes, assignment",
        format!(
            "{HEARTBEATS_PER_SECOND:.0} heartbeats/s x {heartbeat_bytes:.0} + changes {:.0} \
             = {rate:.0} B/s",
            assignment_bytes(set)?
        ),
        "hash of versions, deltas",
        CapacityVerdict::within(rate, MAX_CONTROL_BYTES),
    );
    let config = config_bytes(set, 0.0)?;
    role.add(
        "bytes, configuration",
        format!(
            "{:.2}/s x 50 services in full = {config:.0} B/s",
            CONFIGS_PER_DAY / SECONDS_PER_DAY
        ),
        "the whole document for each revision",
        CapacityVerdict::within(rate + config, MAX_CONTROL_BYTES),
    );
    let pinned = config_bytes(set, HOT_KEYS)?;
    role.add(
        "the same with 1,100 pinned keys",
        format!("{pinned:.0} B/s"),
        "the whole document; a delta is wanted",
        CapacityVerdict::within(rate + pinned, MAX_CONTROL_BYTES),
    );
    let idle = set.value_at_largest_size("idle-control.member")?;
    let delta = set.value_at_largest_size("table.delta")? * RESTARTS_PER_DAY * WRITES_PER_RESTART
        / SECONDS_PER_DAY
        / US_PER_MS;
    role.add(
        "processor",
        format!("{idle:.1} ms/s at rest, deltas {delta:.2} ms/s"),
        "one heartbeat thread",
        CapacityVerdict::within(idle + delta, MAX_CONTROL_MS),
    );
    Ok(role.lines)
}

fn coordinator_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("coordinator, 400 members");
    let heartbeats = HEARTBEATS_PER_SECOND * CELL_MEMBERS;
    let decision_ms = set.value_at_largest_size("coordinator.heartbeat")? * heartbeats / US_PER_MS;
    role.add(
        "heartbeats, decision",
        format!("{heartbeats:.0}/s: {decision_ms:.0} ms/s"),
        "`CoordinatorState::on_heartbeat` looks at the shards that move",
        CapacityVerdict::within(decision_ms, MAX_CONTROL_MS),
    );
    let link_ms = set.named("heartbeat.cpu")?.fit.intercept / 2.0 * heartbeats / US_PER_MS;
    role.add(
        "heartbeats, link",
        format!("{heartbeats:.0}/s: {link_ms:.0} ms/s, half of both ends"),
        "one h2 stream for each heartbeat",
        CapacityVerdict::within(link_ms, MAX_CONTROL_MS),
    );
    let plan_ms = set.value_at_largest_size("coordinator.plan")? * PLANS_PER_SECOND / US_PER_MS;
    role.add(
        "plans",
        format!(
            "{PLANS_PER_SECOND:.0}/s: {plan_ms:.0} ms/s; grows with power {:.1} of members",
            set.named("coordinator.plan")?.growth_exponent()
        ),
        "`CoordinatorState::plan`, also with nothing to do",
        CapacityVerdict::within(plan_ms, MAX_CONTROL_MS),
    );
    let copy_ms = set.value_at_largest_size("coordinator.clone")? * COPIES_PER_SECOND / US_PER_MS;
    role.add(
        "copies of the record",
        format!("{COPIES_PER_SECOND:.0}/s: {copy_ms:.1} ms/s"),
        "`CoordinatorHandle::record` copies it whole",
        CapacityVerdict::within(copy_ms, MAX_CONTROL_MS),
    );
    let reads = set.named("store-calls.reads")?.fit.slope;
    let record_bytes = set.value_at_largest_size("fan-out.stored")?;
    let parse_ms = set.value_at_largest_size("coordinator.read")? * reads / US_PER_MS;
    role.add(
        "proof of office",
        format!(
            "{reads:.1} reads/s x {}: {parse_ms:.0} ms/s, {}/s",
            format_bytes(record_bytes),
            format_bytes(record_bytes * reads)
        ),
        "reads the whole record; its index alone would do",
        CapacityVerdict::within(record_bytes * reads, MAX_CONTROL_BYTES),
    );
    let heartbeat_bytes = (set.value_at("heartbeat.bytes", CELLS)? + HEADER_BYTES) * heartbeats;
    let total = set.value_at("idle-control.coordinator", CELL_MEMBERS)?;
    role.add(
        "processor in all",
        format!("{total:.0} ms/s, from processes in cells of up to 24 members"),
        "a tree of heartbeats, or longer leases, is wanted",
        CapacityVerdict::within(total, MAX_CONTROL_MS),
    );
    role.add(
        "bytes, heartbeats",
        format!("{}/s", format_bytes(heartbeat_bytes)),
        "every member speaks to one coordinator",
        CapacityVerdict::within(heartbeat_bytes, MAX_CONTROL_BYTES),
    );
    role.add(
        "value in the store",
        format!("{} of 1 MB", format_bytes(record_bytes)),
        "one JSON value for each cell",
        CapacityVerdict::within(record_bytes, 1_048_576.0),
    );
    Ok(role.lines)
}

fn standby_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("standby");
    let call_us = set.named("heartbeat.cpu")?.fit.intercept / 2.0;
    let rate = (set.named("heartbeat.bytes")?.fit.intercept + HEADER_BYTES) * PROMISES_PER_SECOND;
    role.add(
        "promises",
        format!(
            "{PROMISES_PER_SECOND:.1}/s: {:.1} ms/s, {rate:.0} B/s, reckoned as heartbeats",
            call_us * PROMISES_PER_SECOND / US_PER_MS
        ),
        "`StandbyState`; its record is that of a member",
        CapacityVerdict::within(rate, MAX_CONTROL_BYTES),
    );
    Ok(role.lines)
}

fn fan_out_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("fan-out node");
    let pulls = (set.value_at("heartbeat.bytes-full", CELLS)? + HEADER_BYTES) * PULLS_PER_SECOND;
    role.add(
        "pulls between coordinators",
        format!("{PULLS_PER_SECOND:.0}/s with whole digests: {pulls:.0} B/s"),
        "`table_sync`, four of the others twice a second",
        CapacityVerdict::within(pulls, MAX_CONTROL_BYTES),
    );
    let full = set.value_at_largest_size("fan-out.full")? * RESTARTS_PER_DAY * WRITES_PER_RESTART
        / SECONDS_PER_DAY;
    let rate = assignment_bytes(set)?;
    role.add(
        "changes",
        format!(
            "{rate:.0} B/s to each node; in full it would be {}/s",
            format_bytes(full)
        ),
        "`RecordDelta`, the last 64 steps of each cell",
        CapacityVerdict::within(rate, MAX_CONTROL_BYTES),
    );
    Ok(role.lines)
}

fn store_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("store");
    let reads = set.value_at("store-calls.reads", CELLS)?;
    role.add(
        "reads",
        format!("{reads:.0}/s of {MAX_STORE_READS:.0}"),
        "each coordinator proves its office",
        CapacityVerdict::within(reads, MAX_STORE_READS),
    );
    let writes = (RESTARTS_PER_DAY * WRITES_PER_RESTART + CONFIGS_PER_DAY) / SECONDS_PER_DAY;
    role.add(
        "writes",
        format!("{writes:.2}/s of some hundreds"),
        "one compare-and-swap for each change of a cell",
        CapacityVerdict::within(writes, MAX_STORE_WRITES),
    );
    let watches =
        set.value_at("store-calls.watches", CELLS)? + CELLS * CONFIGS_PER_DAY / SECONDS_PER_DAY;
    role.add(
        "watches",
        format!("50 waiting; {watches:.0} calls/s, as each revision ends all"),
        "each coordinator watches the configuration",
        CapacityVerdict::within(reads + watches, MAX_STORE_READS),
    );
    let rate = set.value_at_largest_size("fan-out.stored")? * reads;
    role.add(
        "bytes",
        format!("{}/s", format_bytes(rate)),
        "whole records for each proof of office",
        NotYet,
    );
    Ok(role.lines)
}

fn operator_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("operator's command");
    let size = set.value_at("fan-out.config", 0.0)?;
    role.add(
        "apply",
        format!(
            "one read, one write of some {}; {:.2}/s over all",
            format_bytes(size),
            CONFIGS_PER_DAY / SECONDS_PER_DAY
        ),
        "compare-and-swap on the revision it was made from",
        CapacityVerdict::within(CONFIGS_PER_DAY / SECONDS_PER_DAY, MAX_STORE_WRITES),
    );
    Ok(role.lines)
}

/// Returns the lines of the section "Bad days".
pub(crate) fn bad_day_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut lines = domain_lines(set)?;
    lines.extend(region_lines(set)?);
    lines.extend(disruption_lines(set)?);
    Ok(lines)
}

fn domain_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("failure domain lost");
    let lost = NODES / DOMAINS;
    let shards = CELL_MEMBERS * 16.0 / DOMAINS;
    let plan_ms = set.value_at_largest_size("coordinator.domain-loss")? / US_PER_MS;
    let delta = set.value_at("fan-out.delta", shards)?;
    role.add(
        "in each cell",
        format!("{lost:.0} nodes at once; {shards:.0} shards in one plan of {plan_ms:.1} ms"),
        "`CoordinatorState::assign_free_shards`, one write for all",
        CapacityVerdict::within(plan_ms, 1_000.0),
    );
    role.add(
        "bytes to each node",
        format!(
            "50 deltas of {} = {}, the bytes of {:.0} s",
            format_bytes(delta),
            format_bytes(CELLS * delta),
            CELLS * delta / MAX_CONTROL_BYTES
        ),
        "`RecordDelta`; the bound is kept over a day, not in that minute",
        NotYet,
    );
    role.add(
        "store",
        format!("50 writes, some {:.0} takeovers", CELLS / DOMAINS),
        "a standby in another domain",
        CapacityVerdict::within(CELLS, MAX_STORE_WRITES),
    );
    role.add(
        "keys served within 3 s",
        "an owner: lease 1 s + 0.05 s + plan + write; with its coordinator: 0.7 s + 2.25 s + two \
         writes + a heartbeat of 0.2 s"
            .to_owned(),
        "`LeaseTerms`, reckoned; see the router killed below",
        NotYet,
    );
    Ok(role.lines)
}

fn region_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("region restarted");
    let nodes = NODES / REGIONS;
    let table = set.value_at_largest_size("fan-out.full")? * CELLS;
    role.add(
        "store",
        format!(
            "{nodes:.0} first reads of the cell and the configuration, {} each",
            format_bytes(set.value_at_largest_size("fan-out.stored")?)
        ),
        "one read a second and node, with jitter, until the cell is known",
        CapacityVerdict::within(2.0 * nodes, MAX_STORE_READS),
    );
    let sent_bytes = table * nodes / CELLS;
    role.add(
        "whole tables",
        format!(
            "{} to each node, {} from each coordinator: {:.0} s at 1 Gbit/s",
            format_bytes(table),
            format_bytes(sent_bytes),
            sent_bytes * 8.0 / 1e9
        ),
        "the answer to a first heartbeat; pages are wanted",
        CapacityVerdict::within(sent_bytes * 8.0 / 1e9, 3.0),
    );
    Ok(role.lines)
}

fn disruption_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("hour between regions");
    let changed_shards = RESTARTS_PER_DAY * SHARDS_PER_RESTART / 24.0;
    role.add(
        "what is missed",
        format!(
            "{changed_shards:.0} shards change; more than 64 steps of a cell, so its record in full"
        ),
        "owners cut off lose their lease; the coordinator's side reassigns",
        NotMeasured,
    );
    role.role = "store outage";
    role.add(
        "calls",
        format!(
            "{:.0} promises/s over all; reads go on failing",
            2.0 * PROMISES_PER_SECOND * CELLS
        ),
        "promises of both standbys, up to 24 h; nothing is reassigned",
        NotMeasured,
    );
    role.role = "hot keys turn over";
    role.add(
        "1,100 keys in 5 minutes",
        format!(
            "{:.1} changes/s if each is a revision; {} in one",
            HOT_KEYS / 300.0,
            format_bytes(set.value_at("fan-out.config", HOT_KEYS)?)
        ),
        "pinned keys in the configuration; no entry of their own yet",
        NotYet,
    );
    role.role = "restarts, 1,800 a day";
    let writes = RESTARTS_PER_DAY * WRITES_PER_RESTART / SECONDS_PER_DAY;
    role.add(
        "one each 47 s",
        format!(
            "{writes:.2} writes/s, {:.0} B/s to each node",
            assignment_bytes(set)?
        ),
        "four moves at once in each cell",
        CapacityVerdict::within(assignment_bytes(set)?, MAX_CONTROL_BYTES),
    );
    role.role = "configurations, 35,000 a day";
    role.add(
        "in force in 16 s",
        format!(
            "one each {:.1} s: watch, then within one heartbeat of 0.2 s",
            SECONDS_PER_DAY / CONFIGS_PER_DAY
        ),
        "coordinators watch; members get it with a heartbeat",
        NotMeasured,
    );
    Ok(role.lines)
}
