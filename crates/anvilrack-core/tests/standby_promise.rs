//! When a standby promises not to take over, and how promises and resignations affect takeovers.

use std::time::Duration;

use anvilrack_core::{CellMember, CellRecord, LeaseTerms, StandbyState, TakeoverStep};

const COORDINATOR: &str = "router-1";
const STANDBY: &str = "router-2";
const EPOCH: u64 = 3;

macro_rules! standby_cases {
    ($($name:ident: |$state:ident, $record:ident, $takeover_timeout:ident| $body:block)*) => {
        $(
            #[test]
            fn $name() {
                let $takeover_timeout = LeaseTerms::default().takeover_after;
                let $record = record();
                let mut $state =
                    StandbyState::new(STANDBY.into(), 1, LeaseTerms::default(), Duration::ZERO);
                $body
            }
        )*
    };
}

standby_cases! {
    promises_while_the_coordinator_answers: |state, record, takeover_timeout| {
        assert!(state.promise(&record, EPOCH, takeover_timeout / 2));
    }
    refuses_a_promise_if_the_coordinator_does_not_answer: |state, record, takeover_timeout| {
        assert!(!state.promise(&record, EPOCH, takeover_timeout));
        assert_eq!(state.step(&record, takeover_timeout), TakeoverStep::AsStandby);
    }
    does_not_take_over_during_its_promise: |state, record, takeover_timeout| {
        assert!(state.promise(&record, EPOCH, takeover_timeout / 2));
        assert_eq!(state.step(&record, takeover_timeout), TakeoverStep::Wait);
    }
    takes_over_immediately_after_a_resignation: |state, record, takeover_timeout| {
        assert!(state.promise(&record, EPOCH, takeover_timeout / 2));
        assert!(state.on_resignation(&record, EPOCH));
        assert_eq!(state.step(&record, takeover_timeout / 2), TakeoverStep::AsStandby);
    }
    ignores_a_resignation_of_an_older_epoch: |state, record, takeover_timeout| {
        assert!(!state.on_resignation(&record, EPOCH - 1));
        assert_eq!(state.step(&record, takeover_timeout / 2), TakeoverStep::Wait);
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
