//! Members whose heartbeats arrive although calls to them fail.

use std::collections::BTreeSet;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, LeaseTerms, MemberReport, ReportSequence,
    ServiceRules,
};

const NOW: BootTime = Duration::from_secs(100);

/// Three shards, so that each of the three routers owns one.
const RULES: &str = r#"{ "divided_by_key": true, "shards": 3, "slots": 1, "connections": 1, "checks_fence": true }"#;

macro_rules! reach_cases {
    ($($name:ident: unreachable $unreachable:expr, moved $moved:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let expected: &[&str] = &$moved;
                assert_eq!(moved_from(&$unreachable), expected);
            }
        )*
    };
}

reach_cases! {
    reachable_member_keeps_its_shard: unreachable [], moved [];
    unreachable_member_loses_its_shard: unreachable ["router-3"], moved ["router-3"];
    coordinator_that_reaches_no_member_moves_nothing:
        unreachable ["router-2", "router-3"], moved [];
}

/// Returns the members whose shards are planned to move.
fn moved_from(unreachable: &[&str]) -> Vec<String> {
    let rules: ServiceRules = serde_json::from_str(RULES).unwrap();
    let mut state = CoordinatorState::new(
        CellRecord {
            epoch: 1,
            version: 1,
            coordinator: "router-1".into(),
            ..CellRecord::default()
        },
        LeaseTerms::default(),
        NOW,
        NOW,
        BootTime::ZERO,
    );
    for node in ["router-1", "router-2", "router-3"] {
        state.on_heartbeat(&report(node), NOW);
    }
    state.plan(&rules, 1, NOW).unwrap();
    state.on_committed(NOW);
    let unreachable: BTreeSet<_> = unreachable.iter().map(|node| (*node).into()).collect();
    state.set_unreachable(&unreachable);
    let _ = state.plan(&rules, 1, NOW);
    let owners = state.moves().keys().map(|shard| {
        let owner = state.record().owner(*shard).unwrap();
        owner.node.to_string()
    });
    owners.collect()
}

fn report(node: &str) -> MemberReport {
    MemberReport {
        mark: ReportSequence::default(),
        member: CellMember {
            node: node.into(),
            incarnation: 1,
            peer_address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "norte-a".into(),
            region: "norte".into(),
            leaving: false,
        },
        epoch: 1,
        ready: true,
        released: Vec::new(),
        sick: false,
        loads: Vec::new(),
        pace_us: 0,
        cold_rate: None,
    }
}
