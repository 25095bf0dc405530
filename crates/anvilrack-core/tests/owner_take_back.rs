//! An owner serves again what it gave back, and nothing else.

use std::time::Duration;

use anvilrack_core::{CellRecord, LeaseTerms, OwnerState, RefusalReason, ShardOwner};

const NOW: Duration = Duration::from_millis(500);

fn owner() -> OwnerState {
    let mut owner = OwnerState::new("a".into(), 7, LeaseTerms::default());
    let record = CellRecord {
        epoch: 1,
        version: 1,
        shards: vec![Some(ShardOwner {
            node: "a".into(),
            incarnation: 7,
            token: 4,
            record_lost: false,
            handover: None,
        })],
        ..CellRecord::default()
    };
    owner.on_record(&record, NOW);
    assert!(owner.on_renewal(NOW, 1, 1));
    owner
}

#[test]
fn released_shard_is_served_again_under_its_token() {
    let mut owner = owner();
    assert_eq!(owner.release(0), Some(4));
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::Moving);
    assert!(owner.take_back(0, 4));
    assert_eq!(owner.grant(0, NOW).map(|grant| grant.token), Ok(4));
}

#[test]
fn nothing_else_is_taken_back() {
    let mut owner = owner();
    assert!(!owner.take_back(0, 4), "it was not given back");
    owner.release(0);
    assert!(!owner.take_back(0, 3), "that was an earlier grant");
    assert!(!owner.take_back(1, 4), "that is another shard");
}

#[test]
fn lease_that_ended_is_not_renewed_by_it() {
    let mut owner = owner();
    owner.release(0);
    assert!(owner.take_back(0, 4));
    let later = NOW + LeaseTerms::default().lease;
    assert_eq!(
        owner.grant(0, later).unwrap_err(),
        RefusalReason::LeaseEnded
    );
}
