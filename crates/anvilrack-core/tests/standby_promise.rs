//! When a standby promises not to take over, and when it takes over.

use std::time::Duration;

use anvilrack_core::{CellMember, CellRecord, LeaseTerms, StandbyState, TakeoverStep};

const COORDINATOR: &str = "router-1";
const STANDBY: &str = "router-2";
const EPOCH: u64 = 3;

macro_rules! standby_cases {
    ($($name:ident: |$state:ident, $record:ident, $silence:ident| $body:block)*) => {
        $(
            #[test]
            fn $name() {
                let $silence = LeaseTerms::default().takeover_after;
                let $record = record();
                let mut $state =
                    StandbyState::new(STANDBY.into(), 1, LeaseTerms::default(), Duration::ZERO);
                $body
            }
        )*
    };
}

standby_cases! {
    promises_while_the_coordinator_answers: |state, record, silence| {
        assert!(state.promise(&record, EPOCH, silence / 2));
    }
    does_not_promise_to_a_coordinator_that_it_cannot_reach: |state, record, silence| {
        assert!(!state.promise(&record, EPOCH, silence));
        assert_eq!(state.step(&record, silence), TakeoverStep::AsStandby);
    }
    keeps_quiet_while_its_promise_runs: |state, record, silence| {
        assert!(state.promise(&record, EPOCH, silence / 2));
        assert_eq!(state.step(&record, silence), TakeoverStep::Wait);
    }
    takes_over_at_once_after_a_resignation: |state, record, silence| {
        assert!(state.promise(&record, EPOCH, silence / 2));
        assert!(state.on_resignation(&record, EPOCH));
        assert_eq!(state.step(&record, silence / 2), TakeoverStep::AsStandby);
    }
    does_not_take_the_resignation_of_an_older_epoch: |state, record, silence| {
        assert!(!state.on_resignation(&record, EPOCH - 1));
        assert_eq!(state.step(&record, silence / 2), TakeoverStep::Wait);
    }
}

fn record() -> CellRecord {
    CellRecord {
        epoch: EPOCH,
        coordinator: COORDINATOR.into(),
        standbys: vec![STANDBY.into()],
        members: vec![member(COORDINATOR), member(STANDBY)],
        ..CellRecord::default()
    }
}

fn member(node: &str) -> CellMember {
    CellMember {
        node: node.into(),
        incarnation: 1,
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "norte-a".into(),
        region: "norte".into(),
        leaving: false,
    }
}
