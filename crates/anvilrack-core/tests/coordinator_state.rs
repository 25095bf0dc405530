//! Lease renewal, standby promises and takeover detection of the coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, Incarnation, MemberReport, NodeId, ReleaseReport,
    RenewalAnswer, ReportSequence, RequestClass, ServiceRules, ShardOwner, WriterStamp,
};

mod common;

use common::{member, terms};

/// Defines one test per case.
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
        mark: ReportSequence::default(),
        member: member(node, incarnation),
        epoch: EPOCH,
        ready: true,
        released: Vec::new(),
        sick: false,
        loads: Vec::new(),
        pace_us: 0,
        cold_rate: None,
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

/// Returns a coordinator that took over at time zero; its authority expires before a promise made at 1.1 s.
fn coordinator() -> CoordinatorState {
    let mut coordinator = CoordinatorState::new(record("a"), terms(), ms(0), ms(0), ms(0));
    coordinator.on_heartbeat(&report("b", 1), ms(1_000));
    coordinator
}

/// Returns a coordinator of a cell with one shard that `b` owns with fencing token 1.
fn coordinator_with_shard_of_b() -> CoordinatorState {
    let mut record = record("a");
    record.last_token = 1;
    record.shards = vec![Some(ShardOwner {
        node: "b".into(),
        incarnation: 1,
        token: 1,
        record_lost: false,
        handover: None,
    })];
    let mut coordinator = CoordinatorState::new(record, terms(), ms(0), ms(0), ms(0));
    coordinator.on_heartbeat(&report("a", 1), ms(900));
    coordinator
}

/// Returns a coordinator of a cell whose shards 0 and 1 belong to `b`, with a pending write that gives shard 0,
/// which the first run of the router of `b` has released, to `a`.
fn coordinator_with_pending_move() -> (CoordinatorState, CellRecord) {
    let owner = |token| {
        Some(ShardOwner {
            node: "b".into(),
            incarnation: 1,
            token,
            record_lost: false,
            handover: None,
        })
    };
    let mut record = record("a");
    record.last_token = 2;
    record.shards = vec![owner(1), owner(2)];
    let mut coordinator = CoordinatorState::new(record, terms(), ms(0), ms(0), ms(0));
    coordinator.on_heartbeat(&report("a", 1), ms(900));
    coordinator.on_heartbeat(&of_run(report_with_release_by_b(), 1, 8), ms(1_000));
    let rules = ServiceRules {
        shards: 2,
        ..rules()
    };
    let planned = coordinator
        .plan(&rules, 0, ms(1_050))
        .expect("shard 0 is reassigned");
    assert_eq!(planned.owner(0).map(|owner| &*owner.node), Some("a"));
    assert_eq!(planned.owner(1).map(|owner| owner.token), Some(2));
    (coordinator, planned)
}

fn of_run(report: MemberReport, run: Incarnation, number: u64) -> MemberReport {
    MemberReport {
        mark: ReportSequence { run, number },
        ..report
    }
}

fn ordered_shards(answer: &RenewalAnswer) -> Vec<u32> {
    answer.release.iter().map(|order| order.shard).collect()
}

fn report_with_release_by_b() -> MemberReport {
    let mut report = report("b", 1);
    report.released = vec![ReleaseReport {
        shard: 0,
        token: 1,
        record_at: None,
        handover: Some("5c0e".into()),
    }];
    report
}

/// Returns the name, incarnation and fencing token of the owner of shard 0 in the next record to write.
///
/// The write does not take effect.
fn owner_planned(coordinator: &mut CoordinatorState, now: BootTime) -> (NodeId, Incarnation, u64) {
    let planned = coordinator.plan(&rules(), 0, now);
    coordinator.on_refused();
    let record = planned.as_ref().unwrap_or(coordinator.record());
    let owner = record.owner(0).expect("the shard has an owner");
    (owner.node.clone(), owner.incarnation, owner.token)
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
    release_is_discarded_while_the_store_is_unavailable => {
        let mut coordinator = coordinator_with_shard_of_b();
        let reply_while_available = coordinator.on_heartbeat(&report_with_release_by_b(), ms(1_000));
        assert!(reply_while_available.keep.is_empty());
        assert_eq!(coordinator.on_heartbeat(&report_with_release_by_b(), ms(1_500)).keep, [0]);
        let planned = coordinator.plan(&rules(), 0, ms(1_550));
        let owner = planned.as_ref().unwrap_or(coordinator.record()).owner(0).cloned();
        assert_eq!(owner.map(|owner| (owner.node, owner.token)), Some(("b".into(), 1)));
    }

    release_is_kept_while_a_write_is_pending => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_heartbeat(&report_with_release_by_b(), ms(1_000));
        let planned = coordinator.plan(&rules(), 0, ms(1_050)).expect("the shard is reassigned");
        assert_eq!(planned.owner(0).map(|owner| owner.token), Some(2));
        // The write may still take effect, so the old owner must not serve the shard again.
        assert!(coordinator.on_heartbeat(&report_with_release_by_b(), ms(1_500)).keep.is_empty());
    }

    overtaken_report_does_not_release_a_shard => {
        let mut coordinator = coordinator_with_shard_of_b();
        let numbered = |report: MemberReport, number| MemberReport {
            mark: ReportSequence { run: 1, number },
            ..report
        };
        coordinator.on_heartbeat(&numbered(report("b", 1), 8), ms(1_000));
        let late = coordinator.on_heartbeat(&numbered(report_with_release_by_b(), 7), ms(1_010));
        assert!(!late.renewed && late.keep.is_empty());
        let planned = coordinator.plan(&rules(), 0, ms(1_050));
        let owner = planned.as_ref().unwrap_or(coordinator.record()).owner(0).cloned();
        assert_eq!(owner.map(|owner| (owner.node, owner.token)), Some(("b".into(), 1)));
    }

    shard_follows_its_record_to_a_leaving_member => {
        let mut coordinator = coordinator_with_shard_of_b();
        let mut leaving = report("c", 1);
        leaving.member.leaving = true;
        coordinator.on_heartbeat(&leaving, ms(950));
        let mut released = report_with_release_by_b();
        released.released[0].record_at = Some(("c".into(), 1));
        coordinator.on_heartbeat(&released, ms(1_000));
        let planned = coordinator.plan(&rules(), 0, ms(1_050)).expect("the shard is reassigned");
        let owner = planned.owner(0).expect("it has an owner");
        assert_eq!((&*owner.node, owner.record_lost), ("c", false));
    }

    shard_does_not_follow_its_record_to_a_former_incarnation => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_heartbeat(&report("c", 2), ms(950));
        let mut released = report_with_release_by_b();
        released.released[0].record_at = Some(("c".into(), 1));
        coordinator.on_heartbeat(&released, ms(1_000));
        let planned = coordinator.plan(&rules(), 0, ms(1_050)).expect("the shard is reassigned");
        assert!(planned.owner(0).is_some_and(|owner| owner.record_lost));
    }

    // A router that had restarted got a lease, and served a shard that a pending write had given away.
    restarted_router_is_ordered_to_release_what_a_pending_write_reassigns => {
        let (mut coordinator, _) = coordinator_with_pending_move();
        let first = coordinator.on_heartbeat(&of_run(report("b", 1), 2, 0), ms(1_100));
        assert_eq!((first.renewed, ordered_shards(&first)), (true, vec![0]));
        assert_eq!(&*first.release[0].successor.node, "a");
        // The first reply may have been lost, and the store does not respond.
        coordinator.on_promise(&"b".into(), ms(1_150));
        let later = coordinator.on_heartbeat(&of_run(report("b", 1), 2, 1), ms(1_700));
        assert_eq!((later.renewed, ordered_shards(&later)), (true, vec![0]));
        assert!(later.keep.is_empty());
    }

    // A router that had restarted got a lease, and served the only shard, which a pending write had given away.
    restarted_router_gets_no_lease_while_a_pending_write_takes_all_its_shards => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_heartbeat(&of_run(report_with_release_by_b(), 1, 8), ms(1_000));
        coordinator.plan(&rules(), 0, ms(1_050)).expect("the shard is reassigned");
        assert!(!coordinator.on_heartbeat(&of_run(report("b", 1), 2, 0), ms(1_100)).renewed);
    }

    router_that_has_not_restarted_keeps_its_lease_while_a_write_is_pending => {
        let (mut coordinator, _) = coordinator_with_pending_move();
        let answer = coordinator.on_heartbeat(&of_run(report_with_release_by_b(), 1, 9), ms(1_100));
        assert!(answer.renewed);
    }

    // A late report of a router's former process would free shards that its present process serves.
    late_report_of_a_former_run_releases_no_shard => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_heartbeat(&of_run(report("b", 1), 1, 7), ms(950));
        assert!(coordinator.on_heartbeat(&of_run(report("b", 1), 2, 0), ms(1_000)).renewed);
        let late = coordinator.on_heartbeat(&of_run(report_with_release_by_b(), 1, 8), ms(1_010));
        assert!(!late.renewed);
        let planned = coordinator.plan(&rules(), 0, ms(1_050));
        let owner = planned.as_ref().unwrap_or(coordinator.record()).owner(0).cloned();
        assert_eq!(owner.map(|owner| (owner.node, owner.token)), Some(("b".into(), 1)));
    }

    report_of_another_run_is_accepted_whatever_its_number => {
        let mut coordinator = coordinator_with_shard_of_b();
        let numbered = |run, number| MemberReport {
            mark: ReportSequence { run, number },
            ..report("b", 1)
        };
        assert!(coordinator.on_heartbeat(&numbered(1, 8), ms(1_000)).renewed);
        assert!(coordinator.on_heartbeat(&numbered(2, 0), ms(1_010)).renewed);
    }

    // A target had started again and taken the grants of its former incarnation before it reported itself, and its shards
    // were given to others at once.
    new_incarnation_frees_no_shard_before_its_release => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_heartbeat(&report("b", 1), ms(950));
        assert!(coordinator.on_heartbeat(&report("b", 2), ms(1_000)).renewed);
        assert_eq!(owner_planned(&mut coordinator, ms(1_050)), ("b".into(), 1, 1));
        let released = MemberReport {
            released: report_with_release_by_b().released,
            ..report("b", 2)
        };
        coordinator.on_heartbeat(&released, ms(1_100));
        assert_ne!(owner_planned(&mut coordinator, ms(1_150)), ("b".into(), 1, 1));
    }

    // The lease that the new incarnation renews must not keep the shards of the former one without an owner.
    shard_of_a_former_incarnation_is_free_once_its_lease_has_expired => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_heartbeat(&report("b", 1), ms(950));
        for heartbeat in 0..5 {
            let now = ms(1_000 + 200 * heartbeat);
            coordinator.on_store_read(&coordinator.record().clone(), now);
            coordinator.on_heartbeat(&report("b", 2), now);
            coordinator.on_heartbeat(&report("a", 1), now);
            assert_eq!(owner_planned(&mut coordinator, now), ("b".into(), 1, 1));
        }
        // One lease and one drift margin after the last heartbeat of the former incarnation.
        assert_ne!(owner_planned(&mut coordinator, ms(2_000)), ("b".into(), 1, 1));
    }

    // A coordinator that has taken over knows neither the former incarnation nor its last heartbeat.
    new_coordinator_waits_for_the_release_by_a_new_incarnation => {
        let record = coordinator_with_shard_of_b().record().clone();
        let mut coordinator =
            CoordinatorState::new(record, terms(), ms(0), ms(0), terms().silent_wait());
        coordinator.on_heartbeat(&report("a", 1), ms(100));
        coordinator.on_heartbeat(&report("b", 2), ms(100));
        assert_eq!(owner_planned(&mut coordinator, ms(150)), ("b".into(), 1, 1));
        let released = MemberReport {
            released: report_with_release_by_b().released,
            ..report("b", 2)
        };
        coordinator.on_heartbeat(&released, ms(200));
        assert_ne!(owner_planned(&mut coordinator, ms(250)), ("b".into(), 1, 1));
    }

    // While the store is unavailable, released shards are returned to their member, which cannot serve those of its
    // former incarnation.
    shards_of_a_former_incarnation_are_not_returned => {
        let mut coordinator = coordinator_with_shard_of_b();
        coordinator.on_promise(&"b".into(), ms(1_000));
        let released = MemberReport {
            released: report_with_release_by_b().released,
            ..report("b", 2)
        };
        let answer = coordinator.on_heartbeat(&released, ms(1_600));
        assert!(answer.keep.is_empty());
        assert_ne!(owner_planned(&mut coordinator, ms(1_650)), ("b".into(), 1, 1));
    }

    member_is_silent_until_its_heartbeat_arrives => {
        let mut coordinator = coordinator();
        let silent = |coordinator: &CoordinatorState, now| coordinator.silent_members(ms(900), now).count();
        assert_eq!(silent(&coordinator, ms(1_800)), 0);
        assert_eq!(silent(&coordinator, ms(1_900)), 1);
        coordinator.on_heartbeat(&report("b", 1), ms(1_950));
        assert_eq!(silent(&coordinator, ms(2_000)), 0);
    }

    promise_outlasts_authority => {
        let mut coordinator = coordinator();
        coordinator.on_promise(&"b".into(), ms(1_100));
        assert!(coordinator.may_renew(ms(2_000)));
    }

    promise_of_former_incarnation_is_dropped => {
        let mut coordinator = coordinator();
        coordinator.on_promise(&"b".into(), ms(1_100));
        coordinator.on_heartbeat(&report("b", 2), ms(1_200));
        assert!(!coordinator.may_renew(ms(2_000)));
    }

    late_promise_of_former_incarnation_is_ignored => {
        let mut coordinator = coordinator();
        coordinator.on_heartbeat(&report("b", 2), ms(1_200));
        coordinator.on_promise(&"b".into(), ms(1_100));
        assert!(!coordinator.may_renew(ms(2_000)));
    }

    promise_of_new_incarnation_is_accepted => {
        let mut coordinator = coordinator();
        coordinator.on_heartbeat(&report("b", 2), ms(1_200));
        coordinator.on_promise(&"b".into(), ms(1_300));
        assert!(coordinator.may_renew(ms(2_000)));
    }

    other_coordinator_of_same_epoch_supersedes => {
        let mut coordinator = coordinator();
        assert!(!coordinator.on_store_read(&record("b"), ms(1_100)));
        assert!(!coordinator.may_renew(ms(1_100)));
    }

    own_record_of_older_version_does_not_supersede => {
        let mut coordinator = coordinator();
        let older = CellRecord { version: 8, ..record("a") };
        assert!(coordinator.on_store_read(&older, ms(1_100)));
        assert!(coordinator.may_renew(ms(1_200)));
    }

    older_epoch_of_other_coordinator_does_not_supersede => {
        let mut coordinator = coordinator();
        let older = CellRecord { epoch: EPOCH - 1, version: 8, ..record("b") };
        assert!(coordinator.on_store_read(&older, ms(1_100)));
    }
}
