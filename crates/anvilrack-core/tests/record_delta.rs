//! Deltas between records, and route tables that catch up by deltas.

use std::sync::Arc;

use anvilrack_core::{
    CellMember, CellRecord, RecordDelta, RecordHistory, RecordStamp, RouteTable, ServiceName,
    ShardOwner, WriterStamp,
};

/// Returns the record of a cell with four members and eight shards.
fn first_record() -> CellRecord {
    let members: Vec<CellMember> = (0..4).map(new_member).collect();
    let shards = (0..8).map(|shard| Some(new_owner(shard % 4, shard + 1)));
    CellRecord {
        service: "bookings".into(),
        epoch: 1,
        version: 1,
        writer: new_stamp(1),
        coordinator: "router-0".into(),
        standbys: vec!["router-1".into()],
        last_token: 8,
        shards: shards.collect(),
        members,
        ..CellRecord::default()
    }
}

fn new_stamp(sequence: u64) -> WriterStamp {
    WriterStamp {
        node: "router-0".into(),
        incarnation: 7,
        sequence,
    }
}

fn new_member(number: u64) -> CellMember {
    CellMember {
        node: format!("router-{number}").into(),
        incarnation: 7,
        peer_address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: "norte-a".into(),
        region: "norte".into(),
        leaving: false,
    }
}

fn new_owner(member: u64, token: u64) -> ShardOwner {
    ShardOwner {
        node: format!("router-{member}").into(),
        incarnation: 7,
        token,
        record_lost: false,
        handover: None,
    }
}

/// Returns the record that a write of `change` after `record` results in.
fn next_record(record: &CellRecord, change: impl FnOnce(&mut CellRecord)) -> CellRecord {
    let mut next = record.clone();
    next.version += 1;
    next.writer.sequence += 1;
    change(&mut next);
    next
}

macro_rules! delta_cases {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let old = first_record();
                let new = next_record(&old, $change);
                let mut record = old.clone();
                assert!(RecordDelta::new(&old, &new).apply_to(&mut record));
                assert_eq!(record, new);
            }
        )*
    };
}

delta_cases! {
    only_the_version_changes: |_| {};
    a_shard_changes_its_owner: |next| next.shards[3] = Some(new_owner(0, 9));
    a_shard_loses_its_owner: |next| next.shards[3] = None;
    shards_are_added: |next| next.shards.resize(12, None);
    shards_are_taken_away: |next| next.shards.truncate(2);
    a_member_restarts: |next| next.members[1].incarnation = 8;
    a_member_is_leaving: |next| next.members[2].leaving = true;
    a_member_is_removed: |next| drop(next.members.remove(1));
    a_member_joins_at_the_end: |next| next.members.push(new_member(5));
    a_member_joins_at_the_front: |next| next.members.insert(0, new_member(5));
    members_are_reordered: |next| next.members.rotate_left(1);
    the_cell_is_taken_over: |next| {
        next.epoch = 2;
        next.coordinator = "router-1".into();
        next.standbys = vec!["router-2".into(), "router-3".into()];
    };
    the_configuration_revision_changes: |next| next.config_revision = 3;
}

#[test]
fn a_delta_does_not_apply_to_another_base_of_the_same_version() {
    let old = first_record();
    let delta = RecordDelta::new(&old, &next_record(&old, |_| {}));
    let mut other = old.clone();
    other.writer.sequence = 99;
    let before = other.clone();
    assert!(!delta.apply_to(&mut other));
    assert_eq!(other, before);
}

// --- route tables -------------------------------------------------------------------------------

/// Returns two tables with the same first record; only the first one has the `steps` later records.
fn tables_with_lag(steps: u32) -> (RouteTable, RouteTable) {
    let mut record = first_record();
    let (mut ahead, mut behind) = (RouteTable::default(), RouteTable::default());
    ahead.accept_cell(Arc::new(record.clone()));
    behind.accept_cell(Arc::new(record.clone()));
    for step in 0..steps {
        let shard = step as usize % 8;
        let owner = new_owner(0, 100 + u64::from(step));
        record = next_record(&record, |next| next.shards[shard] = Some(owner));
        ahead.accept_cell(Arc::new(record.clone()));
    }
    (ahead, behind)
}

fn catch_up(ahead: &RouteTable, behind: &mut RouteTable) {
    let changes = ahead.changes_since(&behind.digest());
    for cell in changes.cells {
        behind.accept_cell(cell);
    }
    for record in behind.records_from_deltas(&changes.deltas) {
        behind.accept_cell(record);
    }
}

macro_rules! catch_up_cases {
    ($($name:ident: $steps:literal steps, $deltas:literal deltas, $full:literal full;)*) => {
        $(
            #[test]
            fn $name() {
                let (ahead, mut behind) = tables_with_lag($steps);
                let changes = ahead.changes_since(&behind.digest());
                assert_eq!((changes.deltas.len(), changes.cells.len()), ($deltas, $full));
                catch_up(&ahead, &mut behind);
                assert_eq!(ahead.cell("bookings"), behind.cell("bookings"));
            }
        )*
    };
}

catch_up_cases! {
    an_up_to_date_table_gets_nothing: 0 steps, 0 deltas, 0 full;
    a_table_one_step_behind_gets_a_delta: 1 steps, 1 deltas, 0 full;
    a_table_some_steps_behind_gets_all_deltas: 5 steps, 5 deltas, 0 full;
    deltas_larger_than_the_record_are_replaced_by_it: 9 steps, 0 deltas, 1 full;
    a_table_too_far_behind_gets_the_record_in_full: 100 steps, 0 deltas, 1 full;
}

#[test]
fn a_new_table_gets_the_record_in_full() {
    let (ahead, _) = tables_with_lag(3);
    let mut table = RouteTable::default();
    catch_up(&ahead, &mut table);
    assert_eq!(ahead.cell("bookings"), table.cell("bookings"));
}

#[test]
fn repeated_and_late_deltas_change_nothing() {
    let (ahead, mut behind) = tables_with_lag(3);
    let late = ahead.changes_since(&behind.digest()).deltas;
    catch_up(&ahead, &mut behind);
    assert!(behind.records_from_deltas(&late).is_empty());
    assert_eq!(ahead.cell("bookings"), behind.cell("bookings"));
}

#[test]
fn a_delta_that_does_not_apply_makes_the_table_request_the_full_record() {
    let (ahead, mut behind) = tables_with_lag(1);
    let mut other = first_record();
    other.version += 1;
    other.writer.sequence = 99;
    let last = next_record(&other, |_| {});
    let mismatched = Arc::new(RecordDelta::new(&other, &last));
    assert!(behind.records_from_deltas(&[mismatched]).is_empty());
    let empty_digest: Vec<(ServiceName, u64)> = Vec::new();
    assert_eq!(behind.digest(), empty_digest);
    catch_up(&ahead, &mut behind);
    assert_eq!(ahead.cell("bookings"), behind.cell("bookings"));
    assert_eq!(behind.digest().len(), 1);
}

/// Changes of a cell in turn: owners move, a member leaves and comes back as another incarnation, shards are
/// lost, and the coordinator changes.
fn nth_change(record: &mut CellRecord, write: u64) {
    match write % 5 {
        0 => record.shards[(write % 8) as usize] = Some(new_owner(write % 4, 100 + write)),
        1 => record.members.retain(|member| &*member.node != "router-3"),
        2 => {
            let mut back = new_member(3);
            back.incarnation += write;
            record.members.push(back);
        }
        3 => record.shards[(write % 3) as usize] = None,
        _ => record.coordinator = format!("router-{}", write % 4).into(),
    }
    record.last_token = 100 + write;
}

// Guards against a router that takes a wrong record after it has missed some writes.
#[test]
fn history_leads_from_each_kept_record_to_the_latest() {
    let mut records = vec![first_record()];
    let mut history = RecordHistory::default();
    for write in 0..100 {
        let old = &records[records.len() - 1];
        let new = next_record(old, |record| nth_change(record, write));
        history.advance(old, &new);
        records.push(new);
    }
    let latest = &records[100];
    let mut reached = 0;
    for record in &records[..100] {
        let Some(delta) = history.delta_since(&RecordStamp::new(record)) else {
            continue;
        };
        let mut result = record.clone();
        assert!(
            delta.apply_to(&mut result),
            "from version {}",
            record.version
        );
        assert_eq!(result, *latest, "from version {}", record.version);
        reached += 1;
    }
    assert_eq!(reached, 64);
}

// Guards against a difference that is applied to another record with the same version, as after a restore of
// the store.
#[test]
fn history_does_not_know_a_record_of_another_write() {
    let old = first_record();
    let new = next_record(&old, |record| record.last_token += 1);
    let mut history = RecordHistory::default();
    history.advance(&old, &new);
    assert!(history.delta_since(&RecordStamp::new(&old)).is_some());
    let mut other = old;
    other.writer.sequence += 9;
    assert_eq!(history.delta_since(&RecordStamp::new(&other)), None);
}
