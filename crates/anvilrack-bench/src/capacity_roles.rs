//! What each role costs at the size we design for, and on bad days.

use crate::capacity_page::{CapacityLine, CapacityVerdict, SlopeSet};
use crate::capacity_size::{
    BEATS, CELL_MEMBERS, CELLS, CONFIGS_A_DAY, CONTROL_BYTES, CONTROL_MEMORY, CONTROL_MS, COPIES,
    DAY, DOMAINS, ENTRIES, HEADERS, HOT_KEYS, LINK_LIMIT, NODES, PLANS, PROMISES, PULLS, REGIONS,
    REQUESTS, RESTARTS_A_DAY, SHARDS_PER_RESTART, STORE_READS, STORE_WRITES, WRITES_PER_RESTART,
};
use crate::short_number;

use CapacityVerdict::{NoBound, NotMeasured, NotYet};

/// Microseconds in a millisecond.
const MILLI: f64 = 1e3;

/// Builds the lines of one role.
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
        what: &'static str,
        value: String,
        carried_by: &'static str,
        verdict: CapacityVerdict,
    ) {
        self.lines.push(CapacityLine {
            role: self.role,
            what,
            value,
            carried_by,
            verdict,
        });
    }
}

/// Bytes a second that changes of the assignment send to each node.
fn change_bytes(set: &SlopeSet<'_>) -> eyre::Result<f64> {
    let writes = RESTARTS_A_DAY * WRITES_PER_RESTART / DAY;
    let shards = RESTARTS_A_DAY * SHARDS_PER_RESTART / DAY;
    let delta = set.named("fan-out.delta")?.fit;
    let digest = set.at("heartbeat.bytes-full", CELLS)?;
    // Each change makes one heartbeat differ in its hash, and the next one tell the whole digest.
    Ok(writes * (delta.intercept + digest) + shards * delta.slope)
}

fn config_bytes(set: &SlopeSet<'_>, pins: f64) -> eyre::Result<f64> {
    Ok(set.at("fan-out.config", pins)? * CONFIGS_A_DAY / DAY)
}

fn bytes(value: f64) -> String {
    format!("{}B", short_number(value))
}

/// The lines of all roles.
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
    let rate = REQUESTS / NODES;
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
    let look_up = set.last("table.look-up")?;
    role.add(
        "look-up",
        format!(
            "{look_up:.0} ns x {rate:.0}/s = {:.1} ms/s",
            look_up * rate / 1e6
        ),
        "`RouteTable::resolve`",
        CapacityVerdict::within(look_up * rate / 1e6, CONTROL_MS),
    );
    let line = set.named("log-line.cpu")?.fit.slope;
    let length = set.named("log-line.bytes")?.fit.slope;
    role.add(
        "log line",
        format!(
            "{:.1} ms/s, {} a second",
            line * rate / MILLI,
            bytes(length * rate)
        ),
        "`env_logger`, one line for each request",
        NoBound,
    );
    let memory = set.named("connections.links")?.fit.slope;
    role.add(
        "links",
        format!(
            "{LINK_LIMIT:.0} out and as many in x {} = {}",
            bytes(memory),
            bytes(2.0 * LINK_LIMIT * memory)
        ),
        "links opened on demand, at most 1,024",
        CapacityVerdict::within(2.0 * LINK_LIMIT * memory, CONTROL_MEMORY),
    );
    let misses = 1.0 - LINK_LIMIT / NODES;
    role.add(
        "new links",
        format!(
            "callers that pick any router: {:.0} in 100 requests open one, {:.0}/s",
            100.0 * misses,
            rate * misses
        ),
        "nothing yet; callers would have to stay near their keys",
        NotYet,
    );
    let caller = set.named("connections.callers")?.fit.slope;
    role.add(
        "callers' connections",
        format!("110 x {} = {}", bytes(caller), bytes(110.0 * caller)),
        "`tiny_http`",
        CapacityVerdict::within(110.0 * caller, CONTROL_MEMORY),
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
    let table = set.at("table.memory", ENTRIES)?;
    let process = set.named("connections.links")?.fit.intercept;
    role.add(
        "memory",
        format!(
            "table of {} entries {}, process {}",
            short_number(ENTRIES),
            bytes(table),
            bytes(process)
        ),
        "`RouteTable`, one record for each cell",
        CapacityVerdict::within(table + process, CONTROL_MEMORY),
    );
    let beat = set.at("heartbeat.bytes", CELLS)? + HEADERS;
    let rate = BEATS * beat + change_bytes(set)?;
    role.add(
        "bytes, assignment",
        format!(
            "{BEATS:.0} heartbeats/s x {beat:.0} + changes {:.0} = {rate:.0} B/s",
            change_bytes(set)?
        ),
        "hash of versions, deltas",
        CapacityVerdict::within(rate, CONTROL_BYTES),
    );
    let config = config_bytes(set, 0.0)?;
    role.add(
        "bytes, configuration",
        format!(
            "{:.2}/s x 50 services in full = {config:.0} B/s",
            CONFIGS_A_DAY / DAY
        ),
        "the whole document for each revision",
        CapacityVerdict::within(rate + config, CONTROL_BYTES),
    );
    let pinned = config_bytes(set, HOT_KEYS)?;
    role.add(
        "the same with 1,100 pinned keys",
        format!("{pinned:.0} B/s"),
        "the whole document; a delta is wanted",
        CapacityVerdict::within(rate + pinned, CONTROL_BYTES),
    );
    let idle = set.last("idle-control.member")?;
    let delta = set.last("table.delta")? * RESTARTS_A_DAY * WRITES_PER_RESTART / DAY / MILLI;
    role.add(
        "processor",
        format!("{idle:.1} ms/s at rest, deltas {delta:.2} ms/s"),
        "one heartbeat thread",
        CapacityVerdict::within(idle + delta, CONTROL_MS),
    );
    Ok(role.lines)
}

fn coordinator_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("coordinator, 400 members");
    let beats = BEATS * CELL_MEMBERS;
    let decide = set.last("coordinator.heartbeat")? * beats / MILLI;
    role.add(
        "heartbeats, decision",
        format!("{beats:.0}/s: {decide:.0} ms/s"),
        "`CoordinatorState::on_heartbeat` looks at the shards that move",
        CapacityVerdict::within(decide, CONTROL_MS),
    );
    let link = set.named("heartbeat.cpu")?.fit.intercept / 2.0 * beats / MILLI;
    role.add(
        "heartbeats, link",
        format!("{beats:.0}/s: {link:.0} ms/s, half of both ends"),
        "one h2 stream for each heartbeat",
        CapacityVerdict::within(link, CONTROL_MS),
    );
    let plan = set.last("coordinator.plan")? * PLANS / MILLI;
    role.add(
        "plans",
        format!(
            "{PLANS:.0}/s: {plan:.0} ms/s; grows with power {:.1} of members",
            set.named("coordinator.plan")?.growth()
        ),
        "`CoordinatorState::plan`, also with nothing to do",
        CapacityVerdict::within(plan, CONTROL_MS),
    );
    let copies = set.last("coordinator.clone")? * COPIES / MILLI;
    role.add(
        "copies of the record",
        format!("{COPIES:.0}/s: {copies:.1} ms/s"),
        "`in_office` copies it whole",
        CapacityVerdict::within(copies, CONTROL_MS),
    );
    let reads = set.named("store-calls.reads")?.fit.slope;
    let stored = set.last("fan-out.stored")?;
    let parse = set.last("coordinator.read")? * reads / MILLI;
    role.add(
        "proof of office",
        format!(
            "{reads:.1} reads/s x {}: {parse:.0} ms/s, {}/s",
            bytes(stored),
            bytes(stored * reads)
        ),
        "reads the whole record; its index alone would do",
        CapacityVerdict::within(stored * reads, CONTROL_BYTES),
    );
    let beat = (set.at("heartbeat.bytes", CELLS)? + HEADERS) * beats;
    let whole = set.at("idle-control.coordinator", CELL_MEMBERS)?;
    role.add(
        "processor in all",
        format!("{whole:.0} ms/s, from processes in cells of up to 24 members"),
        "a tree of heartbeats, or longer leases, is wanted",
        CapacityVerdict::within(whole, CONTROL_MS),
    );
    role.add(
        "bytes, heartbeats",
        format!("{}/s", bytes(beat)),
        "every member speaks to one coordinator",
        CapacityVerdict::within(beat, CONTROL_BYTES),
    );
    role.add(
        "value in the store",
        format!("{} of 1 MB", bytes(stored)),
        "one JSON value for each cell",
        CapacityVerdict::within(stored, 1_048_576.0),
    );
    Ok(role.lines)
}

fn standby_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("standby");
    let call = set.named("heartbeat.cpu")?.fit.intercept / 2.0;
    let rate = (set.named("heartbeat.bytes")?.fit.intercept + HEADERS) * PROMISES;
    role.add(
        "promises",
        format!(
            "{PROMISES:.1}/s: {:.1} ms/s, {rate:.0} B/s, reckoned as heartbeats",
            call * PROMISES / MILLI
        ),
        "`StandbyState`; its record is that of a member",
        CapacityVerdict::within(rate, CONTROL_BYTES),
    );
    Ok(role.lines)
}

fn fan_out_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("fan-out node");
    let pulls = (set.at("heartbeat.bytes-full", CELLS)? + HEADERS) * PULLS;
    role.add(
        "pulls between coordinators",
        format!("{PULLS:.0}/s with whole digests: {pulls:.0} B/s"),
        "`table_sync`, four of the others twice a second",
        CapacityVerdict::within(pulls, CONTROL_BYTES),
    );
    let full = set.last("fan-out.full")? * RESTARTS_A_DAY * WRITES_PER_RESTART / DAY;
    let rate = change_bytes(set)?;
    role.add(
        "changes",
        format!(
            "{rate:.0} B/s to each node; in full it would be {}/s",
            bytes(full)
        ),
        "`RecordDelta`, the last 64 steps of each cell",
        CapacityVerdict::within(rate, CONTROL_BYTES),
    );
    Ok(role.lines)
}

fn store_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("store");
    let reads = set.at("store-calls.reads", CELLS)?;
    role.add(
        "reads",
        format!("{reads:.0}/s of {STORE_READS:.0}"),
        "each coordinator proves its office",
        CapacityVerdict::within(reads, STORE_READS),
    );
    let writes = (RESTARTS_A_DAY * WRITES_PER_RESTART + CONFIGS_A_DAY) / DAY;
    role.add(
        "writes",
        format!("{writes:.2}/s of some hundreds"),
        "one compare-and-swap for each change of a cell",
        CapacityVerdict::within(writes, STORE_WRITES),
    );
    let watches = set.at("store-calls.watches", CELLS)? + CELLS * CONFIGS_A_DAY / DAY;
    role.add(
        "watches",
        format!("50 waiting; {watches:.0} calls/s, as each revision ends all"),
        "each coordinator watches the configuration",
        CapacityVerdict::within(reads + watches, STORE_READS),
    );
    let rate = set.last("fan-out.stored")? * reads;
    role.add(
        "bytes",
        format!("{}/s", bytes(rate)),
        "whole records for each proof of office",
        NotYet,
    );
    Ok(role.lines)
}

fn operator_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("operator's command");
    let size = set.at("fan-out.config", 0.0)?;
    role.add(
        "apply",
        format!(
            "one read, one write of some {}; {:.2}/s over all",
            bytes(size),
            CONFIGS_A_DAY / DAY
        ),
        "compare-and-swap on the revision it was made from",
        CapacityVerdict::within(CONFIGS_A_DAY / DAY, STORE_WRITES),
    );
    Ok(role.lines)
}

/// The lines of the bad days.
pub(crate) fn bad_day_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut lines = domain_lines(set)?;
    lines.extend(region_lines(set)?);
    lines.extend(steady_lines(set)?);
    Ok(lines)
}

fn domain_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("failure domain lost");
    let lost = NODES / DOMAINS;
    let shards = CELL_MEMBERS * 16.0 / DOMAINS;
    let plan = set.last("coordinator.domain-loss")? / MILLI;
    let delta = set.at("fan-out.delta", shards)?;
    role.add(
        "in each cell",
        format!("{lost:.0} nodes at once; {shards:.0} shards in one plan of {plan:.1} ms"),
        "`CoordinatorState::assign_free`, one write for all",
        CapacityVerdict::within(plan, 1_000.0),
    );
    role.add(
        "bytes to each node",
        format!(
            "50 deltas of {} = {}, the bytes of {:.0} s",
            bytes(delta),
            bytes(CELLS * delta),
            CELLS * delta / CONTROL_BYTES
        ),
        "`RecordDelta`; the bound is kept over a day, not in that minute",
        NotYet,
    );
    role.add(
        "store",
        format!("50 writes, some {:.0} takeovers", CELLS / DOMAINS),
        "a standby in another domain",
        CapacityVerdict::within(CELLS, STORE_WRITES),
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
    let table = set.last("fan-out.full")? * CELLS;
    role.add(
        "store",
        format!(
            "{nodes:.0} first reads of the cell and the configuration, {} each",
            bytes(set.last("fan-out.stored")?)
        ),
        "one read a second and node, with jitter, until the cell is known",
        CapacityVerdict::within(2.0 * nodes, STORE_READS),
    );
    let each = table * nodes / CELLS;
    role.add(
        "whole tables",
        format!(
            "{} to each node, {} from each coordinator: {:.0} s at 1 Gbit/s",
            bytes(table),
            bytes(each),
            each * 8.0 / 1e9
        ),
        "the answer to a first heartbeat; pages are wanted",
        CapacityVerdict::within(each * 8.0 / 1e9, 3.0),
    );
    Ok(role.lines)
}

fn steady_lines(set: &SlopeSet<'_>) -> eyre::Result<Vec<CapacityLine>> {
    let mut role = RoleLines::new("hour between regions");
    let stale = RESTARTS_A_DAY * SHARDS_PER_RESTART / 24.0;
    role.add(
        "what is missed",
        format!("{stale:.0} shards change; more than 64 steps of a cell, so its record in full"),
        "owners cut off lose their lease; the coordinator's side reassigns",
        NotMeasured,
    );
    role.role = "store outage";
    role.add(
        "calls",
        format!(
            "{:.0} promises/s over all; reads go on failing",
            2.0 * PROMISES * CELLS
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
            bytes(set.at("fan-out.config", HOT_KEYS)?)
        ),
        "pinned keys in the configuration; no entry of their own yet",
        NotYet,
    );
    role.role = "restarts, 1,800 a day";
    let writes = RESTARTS_A_DAY * WRITES_PER_RESTART / DAY;
    role.add(
        "one each 47 s",
        format!(
            "{writes:.2} writes/s, {:.0} B/s to each node",
            change_bytes(set)?
        ),
        "four moves at once in each cell",
        CapacityVerdict::within(change_bytes(set)?, CONTROL_BYTES),
    );
    role.role = "configurations, 35,000 a day";
    role.add(
        "in force in 16 s",
        format!(
            "one each {:.1} s: watch, then within one heartbeat of 0.2 s",
            DAY / CONFIGS_A_DAY
        ),
        "coordinators watch; members get it with a heartbeat",
        NotMeasured,
    );
    Ok(role.lines)
}
