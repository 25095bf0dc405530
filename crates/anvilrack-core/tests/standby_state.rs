//! When a router replaces its coordinator.

use std::time::Duration;

use anvilrack_core::{BootTime, CellRecord, StandbyState, TakeoverStep};

mod common;

use common::{member, terms};

/// Names one case each: the router and its run, the time without an answer, what it does.
macro_rules! takeover_steps {
    ($($name:ident: $node:literal, $incarnation:literal, $silence_ms:literal => $step:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let standby =
                    StandbyState::new($node.into(), $incarnation, terms(), BootTime::ZERO);
                let now = Duration::from_millis($silence_ms);
                assert_eq!(standby.step(&record(), now), TakeoverStep::$step);
            }
        )*
    };
}

fn record() -> CellRecord {
    CellRecord {
        epoch: 1,
        version: 1,
        coordinator: "a".into(),
        standbys: vec!["b".into(), "c".into()],
        members: ["a", "b", "c"].map(|node| member(node, 1)).to_vec(),
        ..CellRecord::default()
    }
}

takeover_steps! {
    coordinator_in_office_waits: "a", 1, 60_000 => Wait;
    former_run_was_coordinator_waits_first: "a", 2, 4_000 => Wait;
    former_run_was_coordinator_takes_over: "a", 2, 4_200 => AsOutsider;
    first_standby_waits: "b", 1, 600 => Wait;
    first_standby_takes_over: "b", 1, 700 => AsStandby;
    second_standby_waits_longer: "c", 1, 1_300 => Wait;
    second_standby_takes_over: "c", 1, 1_400 => AsStandby;
    restarted_standby_is_an_outsider: "b", 2, 1_400 => Wait;
    restarted_standby_takes_over_last: "b", 2, 4_200 => AsOutsider;
    stranger_takes_over_last: "d", 1, 4_200 => AsOutsider;
}
