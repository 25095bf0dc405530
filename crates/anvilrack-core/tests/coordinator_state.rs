//! The coordinator's leases, promises and office.

use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, Incarnation, MemberReport, WriterStamp,
};

mod common;

use common::{member, terms};

/// Names one case each.
macro_rules! coordinator_cases {
    ($($name:ident => $body:block)*) => {
        $(
            #[test]
            fn $name() $body
        )*
    };
}

const EPOCH: u64 = 3;

fn ms(count: u64) -> BootTime {
    Duration::from_millis(count)
}

fn report(node: &str, incarnation: Incarnation) -> MemberReport {
    MemberReport {
        member: member(node, incarnation),
        epoch: EPOCH,
        ready: true,
        released: Vec::new(),
        sick: false,
        loads: Vec::new(),
        pace_us: 0,
    }
}

fn record(coordinator: &str) -> CellRecord {
    CellRecord {
        epoch: EPOCH,
        version: 9,
        coordinator: coordinator.into(),
        writer: WriterStamp {
            node: coordinator.into(),
            incarnation: 1,
            sequence: 0,
        },
        standbys: vec!["b".into()],
        members: vec![member("a", 1), member("b", 1)],
        shards: vec![None],
        ..CellRecord::default()
    }
}

/// In office since time zero; its authority alone ends before a promise given at 1.1 s does.
fn office() -> CoordinatorState {
    let mut office = CoordinatorState::new(record("a"), terms(), ms(0), ms(0), ms(0));
    office.on_heartbeat(&report("b", 1), ms(1_000));
    office
}

coordinator_cases! {
    promise_outlasts_authority => {
        let mut office = office();
        office.on_promise(&"b".into(), ms(1_100));
        assert!(office.may_renew(ms(2_000)));
    }

    promise_of_former_run_counts_no_longer => {
        let mut office = office();
        office.on_promise(&"b".into(), ms(1_100));
        office.on_heartbeat(&report("b", 2), ms(1_200));
        assert!(!office.may_renew(ms(2_000)));
    }

    late_promise_of_former_run_is_not_counted => {
        let mut office = office();
        office.on_heartbeat(&report("b", 2), ms(1_200));
        office.on_promise(&"b".into(), ms(1_100));
        assert!(!office.may_renew(ms(2_000)));
    }

    promise_of_new_run_counts => {
        let mut office = office();
        office.on_heartbeat(&report("b", 2), ms(1_200));
        office.on_promise(&"b".into(), ms(1_300));
        assert!(office.may_renew(ms(2_000)));
    }

    other_coordinator_of_same_epoch_takes_over => {
        let mut office = office();
        assert!(!office.on_store_seen(&record("b"), ms(1_100)));
        assert!(!office.may_renew(ms(1_100)));
    }

    own_record_of_older_version_is_written_again => {
        let mut office = office();
        let older = CellRecord { version: 8, ..record("a") };
        assert!(office.on_store_seen(&older, ms(1_100)));
        assert!(office.may_renew(ms(1_200)));
    }

    older_epoch_of_other_coordinator_is_an_old_copy => {
        let mut office = office();
        let older = CellRecord { epoch: EPOCH - 1, version: 8, ..record("b") };
        assert!(office.on_store_seen(&older, ms(1_100)));
    }
}
