//! A successor that knows less than the routers it takes over.
//!
//! The store is put back to an earlier copy, and the coordinator is lost before it has written its own
//! record again: its standby has not heard of the last writes, and some owners have.

use std::time::Duration;

use anvilrack_core::{
    CellMember, CellRecord, LeaseTerms, OwnerState, RefusalReason, ShardOwner, WriterStamp,
};

const NOW: Duration = Duration::from_millis(500);

fn owner(node: &str, token: u64) -> ShardOwner {
    ShardOwner {
        node: node.into(),
        incarnation: 7,
        token,
        record_lost: false,
        handover: None,
    }
}

fn record(version: u64, shards: Vec<Option<ShardOwner>>) -> CellRecord {
    CellRecord {
        epoch: 1,
        version,
        last_token: shards
            .iter()
            .flatten()
            .map(|owner| owner.token)
            .max()
            .unwrap(),
        shards,
        ..CellRecord::default()
    }
}

fn successor() -> CellMember {
    CellMember {
        node: "s".into(),
        incarnation: 9,
        peer_address: "10.0.0.9:4100".parse().unwrap(),
        failure_domain: "d".into(),
        region: "r".into(),
        leaving: false,
    }
}

/// The copy that the successor starts from, and what "p" was told by the lost coordinator since.
fn copies() -> (CellRecord, CellRecord) {
    let earlier = record(4, vec![Some(owner("o", 1)), Some(owner("p", 2))]);
    let later = record(6, vec![Some(owner("p", 4)), Some(owner("p", 2))]);
    (earlier, later)
}

#[test]
fn owner_follows_a_successor_that_knows_less() {
    let (earlier, later) = copies();
    let mut owner = OwnerState::new("p".into(), 7, LeaseTerms::default());
    owner.on_record(&later, NOW);
    assert!(owner.on_renewal(NOW, 1, later.version));
    assert_eq!(owner.grant(0, NOW).map(|grant| grant.token), Ok(4));

    let next = earlier.next_epoch(successor(), WriterStamp::default());
    assert!(
        !owner.on_renewal(NOW, next.epoch, next.version),
        "renewed under a record that it has not taken"
    );
    owner.on_record(&next, NOW);
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::NotOwner);
    assert_eq!(owner.grant(1, NOW).map(|grant| grant.token), Ok(2));
}

#[test]
fn former_coordinator_is_not_followed_any_more() {
    let (earlier, later) = copies();
    let mut owner = OwnerState::new("p".into(), 7, LeaseTerms::default());
    owner.on_record(
        &earlier.next_epoch(successor(), WriterStamp::default()),
        NOW,
    );
    owner.on_record(&later, NOW);
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::NotOwner);
}

#[test]
fn successors_tokens_are_above_what_it_never_saw() {
    let (earlier, later) = copies();
    let next = earlier.next_epoch(successor(), WriterStamp::default());
    assert!(next.last_token > later.last_token);
    assert!(next.version > later.version);
}
