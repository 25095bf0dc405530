//! Shards of members with cold targets move to members with warm ones, where those have capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, LeaseTerms, LoadView, MemberReport, NodeId,
    PlacementPolicy, PlacementView, ReportSequence, ServiceRules, ShardId, ShardLoad, ShardOwner,
};

const MEMBERS: u32 = 4;
const SHARDS: u32 = 24;

/// Rate of a cold target: 7.8 requests a second.
const COLD_RATE: u32 = 78;

fn node(index: u32) -> NodeId {
    format!("router-{index}").into()
}

fn nodes() -> Vec<NodeId> {
    (0..MEMBERS).map(node).collect()
}

/// Returns a record in which each member owns six shards.
fn record() -> CellRecord {
    let owner = |shard| ShardOwner {
        node: node(shard % MEMBERS),
        incarnation: 1,
        token: u64::from(shard) + 1,
        record_lost: false,
        handover: None,
    };
    CellRecord {
        shards: (0..SHARDS).map(|shard| Some(owner(shard))).collect(),
        ..CellRecord::default()
    }
}

fn loads(record: &CellRecord, cold: &[u32], rate: impl Fn(ShardId) -> u32) -> LoadView {
    let mut view = LoadView::default();
    for (owner, shard) in record.shards.iter().flatten().zip(0..) {
        let load = ShardLoad {
            shard,
            rate: rate(shard),
        };
        view.apply_report(record, &owner.node, &[load]);
    }
    for member in cold {
        view.set_cold_rate(&node(*member), Some(COLD_RATE));
    }
    view
}

fn moves(record: &CellRecord, loads: &LoadView, now: BootTime) -> Vec<(ShardId, NodeId)> {
    let moving = BTreeMap::new();
    let view = PlacementView {
        loads,
        moving: &moving,
        now,
    };
    PlacementPolicy::default().moves(record, &nodes(), &view)
}

macro_rules! cold_cases {
    ($($name:ident: cold $cold:expr, $rate:expr => $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let record = record();
                let loads = loads(&record, &$cold, $rate);
                let moves = moves(&record, &loads, BootTime::from_secs(100));
                let check: fn(&[(ShardId, NodeId)]) -> bool = $check;
                assert!(check(&moves), "{moves:?}");
                for (_, receiver) in &moves {
                    assert_eq!(loads.cold_rate(receiver), None, "{moves:?}");
                }
            }
        )*
    };
}

cold_cases! {
    // Guards against keys that are refused at a cold owner while others have capacity.
    busiest_shards_leave_a_cold_owner: cold [0], |shard| 60 + shard => |moves| {
        let shards: Vec<ShardId> = moves.iter().map(|(shard, _)| *shard).collect();
        shards == [20, 16, 12, 8]
    };
    // Guards against moves that are not needed, each of which interrupts its keys.
    shards_stay_at_a_cold_owner_with_little_load: cold [0], |shard| if shard.is_multiple_of(4) { 10 } else { 12 } => <[_]>::is_empty;
    // Guards against moves between members none of which can serve more.
    shards_stay_if_all_targets_are_cold: cold [0, 1, 2, 3], |_| 60 => <[_]>::is_empty;
    // Guards against a shard that overloads its next owner too; the others of the cold owner leave.
    shard_that_no_warm_member_can_serve_stays: cold [0], |shard| if shard == 0 { 3_000 } else { 60 } => |moves| {
        moves.iter().all(|(shard, _)| *shard != 0) && moves.len() == 4
    };
    // Guards against a busy key that stays at a cold owner although another member has nothing to do.
    only_busy_shard_leaves_a_cold_owner: cold [0], |shard| if shard == 0 { 600 } else { 0 } => |moves| {
        moves.first() == Some(&(0, node(1)))
    };
    // Guards against the rebalancing of load to a member because it is cold and serves little.
    overloaded_member_gives_nothing_to_a_cold_one: cold [1], |shard| match shard % 4 { 0 => 400, 1 => 0, _ => 100 } => |moves| !moves.is_empty();
}

/// Guards against a shard that moves back and forth when targets become cold by turns.
#[test]
fn shard_that_was_moved_stays() {
    let record = record();
    let mut loads = loads(&record, &[0], |_| 60);
    let now = BootTime::from_secs(100);
    for (shard, owner) in record
        .shards
        .iter()
        .flatten()
        .zip(0..)
        .map(|(owner, shard)| (shard, owner))
    {
        if owner.node == node(0) {
            loads.on_move(shard, now);
        }
    }
    assert_eq!(moves(&record, &loads, now + Duration::from_secs(30)), []);
}

/// Returns the member that gets each shard, if `cold` members report that they are cold and nothing is owned.
fn first_owners(cold: &[u32]) -> Vec<NodeId> {
    let now = Duration::from_secs(100);
    let mut record = CellRecord {
        shards: vec![None; SHARDS as usize],
        ..CellRecord::default()
    };
    record.coordinator = node(0);
    let member = |index| CellMember {
        node: node(index),
        incarnation: 1,
        peer_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "norte-a".into(),
        region: "norte".into(),
        leaving: false,
    };
    record.members = (0..MEMBERS).map(member).collect();
    let mut state = CoordinatorState::new(record, LeaseTerms::default(), now, now, now);
    for index in 0..MEMBERS {
        let report = MemberReport {
            mark: ReportSequence::default(),
            member: member(index),
            epoch: 0,
            ready: true,
            released: Vec::new(),
            sick: false,
            loads: Vec::new(),
            pace_us: 0,
            cold_rate: cold.contains(&index).then_some(COLD_RATE),
        };
        state.on_heartbeat(&report, now);
    }
    let rules: ServiceRules = serde_json::from_str(
        r#"{"divided_by_key": true, "shards": 24, "slots": 12, "connections": 110}"#,
    )
    .unwrap();
    let planned = state.plan(&rules, 1, now).expect("the shards are assigned");
    planned
        .shards
        .iter()
        .flatten()
        .map(|owner| owner.node.clone())
        .collect()
}

/// Guards against a target that comes back cold and is given the most shards, because it has none.
#[test]
fn cold_member_gets_no_shards_while_others_are_warm() {
    let owners = first_owners(&[1, 2]);
    assert_eq!(owners.len(), SHARDS as usize);
    assert!(
        owners
            .iter()
            .all(|owner| *owner == node(0) || *owner == node(3))
    );
}

/// Guards against keys without an owner after a start of the whole deployment.
#[test]
fn all_members_get_shards_if_all_are_cold() {
    let owners = first_owners(&[0, 1, 2, 3]);
    for index in 0..MEMBERS {
        assert_eq!(
            owners.iter().filter(|owner| **owner == node(index)).count(),
            6
        );
    }
}
