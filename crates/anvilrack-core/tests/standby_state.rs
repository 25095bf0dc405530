//! When a router takes over from its coordinator.

use std::time::Duration;

use anvilrack_core::{BootTime, CellRecord, StandbyState, TakeoverStep};

mod common;

use common::{member, terms};

/// Each case gives a router, its incarnation, the time since the last reply, and the expected
/// step.
macro_rules! takeover_cases {
    ($($name:ident: $node:literal, $incarnation:literal, $silent_ms:literal => $step:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let standby =
                    StandbyState::new($node.into(), $incarnation, terms(), BootTime::ZERO);
                let now = Duration::from_millis($silent_ms);
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

takeover_cases! {
    current_coordinator_waits: "a", 1, 60_000 => Wait;
    restarted_coordinator_waits_like_an_outsider: "a", 2, 4_000 => Wait;
    restarted_coordinator_takes_over_like_an_outsider: "a", 2, 4_200 => AsOutsider;
    first_standby_waits: "b", 1, 600 => Wait;
    first_standby_takes_over: "b", 1, 700 => AsStandby;
    second_standby_waits_longer: "c", 1, 1_300 => Wait;
    second_standby_takes_over: "c", 1, 1_400 => AsStandby;
    restarted_standby_waits_like_an_outsider: "b", 2, 1_400 => Wait;
    restarted_standby_takes_over_like_an_outsider: "b", 2, 4_200 => AsOutsider;
    outsider_takes_over_last: "d", 1, 4_200 => AsOutsider;
}
