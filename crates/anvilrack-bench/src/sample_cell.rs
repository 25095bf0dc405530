//! Sample records, members and tables, for cells of any size up to the design size.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    CellMember, CellRecord, ConfigDocument, ConfigRecord, CoordinatorState, LeaseTerms,
    MemberReport, ReportSequence, RouteTable, ServiceRules, ShardOwner, WriterStamp,
};

/// Number of shards that each member owns.
pub const SHARDS_PER_MEMBER: u32 = 16;

/// Number of failure domains in the whole deployment.
const DOMAIN_COUNT: u32 = 23;

/// Number of regions in the whole deployment.
const REGION_COUNT: u32 = 6;

/// Incarnation of every sample router: its start time, in milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_790_000_000_000;

/// Current time of a sample coordinator, counted from the start of its machine.
pub const SAMPLE_NOW: Duration = Duration::from_secs(100);

/// Returns the record of a cell with `members` members and an owner for every shard.
#[must_use]
pub fn sample_record(service: &str, members: u32) -> CellRecord {
    let shards = members * SHARDS_PER_MEMBER;
    CellRecord {
        service: service.into(),
        epoch: 3,
        version: 1_000,
        writer: WriterStamp {
            node: sample_member(0).node,
            incarnation: INCARNATION,
            sequence: 900,
        },
        coordinator: sample_member(0).node,
        standbys: vec![sample_member(1).node, sample_member(2).node],
        config_revision: 40_000,
        last_token: 1_000_000,
        members: (0..members).map(sample_member).collect(),
        shards: (0..shards)
            .map(|shard| Some(sample_owner(shard % members)))
            .collect(),
    }
}

/// Returns the cell member with the given number.
#[must_use]
pub fn sample_member(number: u32) -> CellMember {
    let [_, first, second, third] = number.to_be_bytes();
    CellMember {
        node: format!("router-{number:05}").into(),
        incarnation: INCARNATION,
        peer_address: ([10, first, second, third], 7_100).into(),
        failure_domain: format!("domain-{:02}", number % DOMAIN_COUNT).into(),
        region: format!("region-{}", number % REGION_COUNT).into(),
        leaving: false,
    }
}

fn sample_owner(number: u32) -> ShardOwner {
    ShardOwner {
        node: sample_member(number).node,
        incarnation: INCARNATION,
        token: 900_000 + u64::from(number),
        record_lost: false,
        handover: None,
    }
}

/// Returns a member's report in a heartbeat without any changes.
#[must_use]
pub fn sample_report(number: u32) -> MemberReport {
    MemberReport {
        mark: ReportSequence::default(),
        member: sample_member(number),
        epoch: 3,
        ready: true,
        released: Vec::new(),
        sick: false,
        loads: Vec::new(),
        pace_us: 0,
        cold_rate: None,
    }
}

/// Returns the next version of `record`, in which the first `moved` shards have new owners.
///
/// Shard `n` goes to member `n + 1`.
#[must_use]
pub fn moved_record(record: &CellRecord, moved: u32) -> CellRecord {
    let mut next = record.clone();
    next.version += 1;
    next.writer.sequence += 1;
    let members = u32::try_from(next.members.len()).unwrap_or(u32::MAX);
    for (owner, number) in next.shards.iter_mut().zip(0..moved) {
        next.last_token += 1;
        let mut successor = sample_owner((number + 1) % members);
        successor.token = next.last_token;
        *owner = Some(successor);
    }
    next
}

/// Returns the rules of a service whose cell has `members` members.
#[must_use]
pub fn sample_rules(members: u32) -> ServiceRules {
    ServiceRules {
        divided_by_key: true,
        shards: members * SHARDS_PER_MEMBER,
        slots: 12,
        connections: 110,
        checks_fence: true,
        max_timeout_ms: 10_000,
        class: anvilrack_core::RequestClass::Read,
        regions: Vec::new(),
        pinned_keys: std::collections::BTreeMap::new(),
    }
}

/// Returns a coordinator that received a heartbeat from every member at [`SAMPLE_NOW`].
#[must_use]
pub fn sample_coordinator(members: u32) -> CoordinatorState {
    let record = sample_record("bookings", members);
    let mut state = CoordinatorState::new(
        record,
        LeaseTerms::default(),
        SAMPLE_NOW,
        SAMPLE_NOW,
        Duration::ZERO,
    );
    for number in 0..members {
        state.on_heartbeat(&sample_report(number), SAMPLE_NOW);
    }
    state
}

/// Returns a table of `cells` cells with `members` members each.
#[must_use]
pub fn sample_table(cells: u32, members: u32) -> RouteTable {
    let mut table = RouteTable::default();
    let names = || (0..cells).map(|cell| Arc::<str>::from(format!("service-{cell:02}")));
    let services = names().map(|name| (name, sample_rules(members))).collect();
    table.accept_config(Arc::new(ConfigRecord {
        revision: 40_000,
        apply_id: "sample".into(),
        document: ConfigDocument {
            services,
            ..ConfigDocument::default()
        },
    }));
    for name in names() {
        table.accept_cell(Arc::new(sample_record(&name, members)));
    }
    table
}
