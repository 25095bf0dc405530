//! The coordinator's leases, promises and office.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, Incarnation, MemberReport, ReleaseReport, ReportMark,
    RequestClass, ServiceRules, ShardOwner, WriterStamp,
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
        mark: ReportMark::default(),
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

/// In office over one shard that `b` owns under token 1.
fn owned_by_b() -> CoordinatorState {
    let mut record = record("a");
    record.last_token = 1;
    record.shards = vec![Some(ShardOwner {
        node: "b".into(),
        incarnation: 1,
        token: 1,
        record_lost: false,
        handover: None,
    })];
    let mut office = CoordinatorState::new(record, terms(), ms(0), ms(0), ms(0));
    office.on_heartbeat(&report("a", 1), ms(900));
    office
}

fn released_by_b() -> MemberReport {
    let mut report = report("b", 1);
    report.released = vec![ReleaseReport {
        shard: 0,
        token: 1,
        record_at: None,
        handover: Some("5c0e".into()),
    }];
    report
}

fn rules() -> ServiceRules {
    ServiceRules {
        divided_by_key: true,
        shards: 1,
        slots: 1,
        connections: 1,
        checks_fence: true,
        max_timeout_ms: 0,
        class: RequestClass::Read,
        regions: Vec::new(),
        pinned_keys: BTreeMap::new(),
    }
}

coordinator_cases! {
    release_is_forgotten_while_the_store_is_away => {
        let mut office = owned_by_b();
        let answered_lately = office.on_heartbeat(&released_by_b(), ms(1_000));
        assert!(answered_lately.keep.is_empty());
        assert_eq!(office.on_heartbeat(&released_by_b(), ms(1_500)).keep, [0]);
        let planned = office.plan(&rules(), 0, ms(1_550));
        let owner = planned.as_ref().unwrap_or(office.record()).owner(0).cloned();
        assert_eq!(owner.map(|owner| (owner.node, owner.token)), Some(("b".into(), 1)));
    }

    release_under_a_write_is_not_forgotten => {
        let mut office = owned_by_b();
        office.on_heartbeat(&released_by_b(), ms(1_000));
        let planned = office.plan(&rules(), 0, ms(1_050)).expect("the shard is given away");
        assert_eq!(planned.owner(0).map(|owner| owner.token), Some(2));
        // The write may take effect yet, so its old owner must not serve again.
        assert!(office.on_heartbeat(&released_by_b(), ms(1_500)).keep.is_empty());
    }

    overtaken_report_gives_nothing_away => {
        let mut office = owned_by_b();
        let numbered = |report: MemberReport, number| MemberReport {
            mark: ReportMark { run: 1, number },
            ..report
        };
        office.on_heartbeat(&numbered(report("b", 1), 8), ms(1_000));
        let late = office.on_heartbeat(&numbered(released_by_b(), 7), ms(1_010));
        assert!(!late.renewed && late.keep.is_empty());
        let planned = office.plan(&rules(), 0, ms(1_050));
        let owner = planned.as_ref().unwrap_or(office.record()).owner(0).cloned();
        assert_eq!(owner.map(|owner| (owner.node, owner.token)), Some(("b".into(), 1)));
    }

    shard_follows_its_record_to_a_member_that_leaves => {
        let mut office = owned_by_b();
        let mut leaving = report("c", 1);
        leaving.member.leaving = true;
        office.on_heartbeat(&leaving, ms(950));
        let mut released = released_by_b();
        released.released[0].record_at = Some(("c".into(), 1));
        office.on_heartbeat(&released, ms(1_000));
        let planned = office.plan(&rules(), 0, ms(1_050)).expect("the shard is given away");
        let owner = planned.owner(0).expect("it has an owner");
        assert_eq!((&*owner.node, owner.record_lost), ("c", false));
    }

    shard_does_not_follow_its_record_to_a_former_run => {
        let mut office = owned_by_b();
        office.on_heartbeat(&report("c", 2), ms(950));
        let mut released = released_by_b();
        released.released[0].record_at = Some(("c".into(), 1));
        office.on_heartbeat(&released, ms(1_000));
        let planned = office.plan(&rules(), 0, ms(1_050)).expect("the shard is given away");
        assert!(planned.owner(0).is_some_and(|owner| owner.record_lost));
    }

    another_run_is_heard_whatever_its_number => {
        let mut office = owned_by_b();
        let numbered = |run, number| MemberReport {
            mark: ReportMark { run, number },
            ..report("b", 1)
        };
        assert!(office.on_heartbeat(&numbered(1, 8), ms(1_000)).renewed);
        assert!(office.on_heartbeat(&numbered(2, 0), ms(1_010)).renewed);
    }

    member_is_silent_until_it_is_heard => {
        let mut office = office();
        let silent = |office: &CoordinatorState, now| office.silent_members(ms(900), now).count();
        assert_eq!(silent(&office, ms(1_800)), 0);
        assert_eq!(silent(&office, ms(1_900)), 1);
        office.on_heartbeat(&report("b", 1), ms(1_950));
        assert_eq!(silent(&office, ms(2_000)), 0);
    }

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
