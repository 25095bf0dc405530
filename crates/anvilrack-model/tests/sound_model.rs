//! The protocol as it stands has no trace within these bounds.

use anvilrack_model::{FaultKind, ModelOptions, SearchBounds, StateSearch};

/// Names one search each: the kinds of fault, the horizon in ticks, the most faults, liveness.
macro_rules! sound_searches {
    ($($name:ident: [$($kind:ident),*], $horizon:literal, $faults:literal, $liveness:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let bounds = SearchBounds {
                    horizon: $horizon,
                    faults: $faults,
                    kinds: vec![$(FaultKind::$kind),*],
                    opening: Vec::new(),
                    max_states: 1_000_000,
                    liveness: $liveness,
                };
                let report = StateSearch::new(ModelOptions::default(), bounds).run();
                assert!(!report.cut_short, "{} states are not all", report.states);
                assert!(report.trace.is_none(), "{}", report.trace.unwrap());
            }
        )*
    };
}

sound_searches! {
    one_fault_of_any_kind_ends: [
        Partition, Pause, Restart, LateMessage, StoreReply, Restore, ClockSlip, Request, Drain
    ], 30, 1, true;
    pause_and_lost_reply: [Pause, StoreReply], 12, 2, false;
    drain_and_restore: [Drain, Restore], 14, 2, false;
}
