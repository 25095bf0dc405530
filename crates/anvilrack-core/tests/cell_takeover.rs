//! Takeover by a successor whose record is older than the one some owners have.
//!
//! This happens when the store is restored from a backup and the coordinator fails before it has written
//! its record again: the standby takes over from the restored record, while some owners have already
//! received later writes. Owners must still follow the new coordinator.

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

/// Returns the restored record that the successor starts from, and the later record that "p" received.
fn restored_and_later() -> (CellRecord, CellRecord) {
    let restored = record(4, vec![Some(owner("o", 1)), Some(owner("p", 2))]);
    let later = record(6, vec![Some(owner("p", 4)), Some(owner("p", 2))]);
    (restored, later)
}

#[test]
fn owner_follows_a_successor_with_an_older_record() {
    let (restored, later) = restored_and_later();
    let mut owner = OwnerState::new("p".into(), 7, LeaseTerms::default());
    owner.on_record(&later, NOW);
    assert!(owner.on_renewal(NOW, 1, later.version));
    assert_eq!(owner.grant(0, NOW).map(|grant| grant.token), Ok(4));

    let next = restored.next_epoch(successor(), WriterStamp::default());
    assert!(
        !owner.on_renewal(NOW, next.epoch, next.version),
        "the lease was renewed for a record that the owner has not received"
    );
    owner.on_record(&next, NOW);
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::NotOwner);
    assert_eq!(owner.grant(1, NOW).map(|grant| grant.token), Ok(2));
}

#[test]
fn record_of_former_coordinator_is_ignored() {
    let (restored, later) = restored_and_later();
    let mut owner = OwnerState::new("p".into(), 7, LeaseTerms::default());
    owner.on_record(
        &restored.next_epoch(successor(), WriterStamp::default()),
        NOW,
    );
    owner.on_record(&later, NOW);
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::NotOwner);
}

#[test]
fn successor_numbers_exceed_those_it_never_received() {
    let (restored, later) = restored_and_later();
    let next = restored.next_epoch(successor(), WriterStamp::default());
    assert!(next.last_token > later.last_token);
    assert!(next.version > later.version);
}
