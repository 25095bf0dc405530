//! An owner can resume serving a shard that it released, under the same fencing token only.

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
fn released_shard_resumes_under_its_token() {
    let mut owner = owner();
    assert_eq!(owner.release(0), Some(4));
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::Moving);
    assert!(owner.resume_shard(0, 4));
    assert_eq!(owner.grant(0, NOW).map(|grant| grant.token), Ok(4));
}

/// A shard of a former incarnation of the target was reported as released only if the router knew of it.
#[test]
fn shard_of_another_incarnation_is_former_and_not_resumed() {
    let record = CellRecord {
        epoch: 1,
        version: 1,
        shards: vec![Some(ShardOwner {
            node: "a".into(),
            incarnation: 6,
            token: 4,
            record_lost: false,
            handover: None,
        })],
        ..CellRecord::default()
    };
    let mut owner = OwnerState::new("a".into(), 7, LeaseTerms::default());
    owner.on_record(&record, NOW);
    assert!(owner.on_renewal(NOW, 1, 1));
    assert_eq!(owner.former().collect::<Vec<_>>(), [(0, 4)]);
    assert!(owner.has_unserved(0, 4) && !owner.has_unserved(0, 5));
    assert_eq!(owner.grant(0, NOW).unwrap_err(), RefusalReason::NotOwner);
    assert!(!owner.resume_shard(0, 4));
    let reassigned = CellRecord {
        version: 2,
        shards: vec![None],
        ..record
    };
    owner.on_record(&reassigned, NOW);
    assert_eq!(owner.former().count(), 0);
    assert!(!owner.has_unserved(0, 4));
}

#[test]
fn unreleased_shards_and_old_tokens_are_not_resumed() {
    let mut owner = owner();
    assert!(!owner.resume_shard(0, 4), "not released");
    owner.release(0);
    assert!(!owner.resume_shard(0, 3), "token of an earlier grant");
    assert!(!owner.resume_shard(1, 4), "a different shard");
}

#[test]
fn resuming_a_shard_does_not_renew_an_ended_lease() {
    let mut owner = owner();
    owner.release(0);
    assert!(owner.resume_shard(0, 4));
    let later = NOW + LeaseTerms::default().lease;
    assert_eq!(
        owner.grant(0, later).unwrap_err(),
        RefusalReason::LeaseEnded
    );
}
