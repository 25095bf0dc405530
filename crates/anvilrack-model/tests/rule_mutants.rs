//! Each rule has a mutant that drops it, and the search must find its trace.

use anvilrack_model::{BrokenProperty, DroppedRule, ModelOptions, SearchBounds, StateSearch};

/// Names one mutant each: the rule, the horizon in ticks, the most faults, what breaks.
macro_rules! mutant_traces {
    ($($name:ident: $rule:ident, $horizon:literal, $faults:literal => $broken:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let rule = DroppedRule::$rule;
                let bounds = SearchBounds {
                    horizon: $horizon,
                    faults: $faults,
                    kinds: rule.faults().to_vec(),
                    max_states: 400_000,
                    liveness: false,
                };
                let options = ModelOptions { dropped: Some(rule), checks_fence: false };
                let report = StateSearch::new(options, bounds).run();
                let trace = report.trace.expect("a dropped rule has a trace");
                assert_eq!(trace.broken, BrokenProperty::$broken, "{trace}");
            }
        )*
    };
}

mutant_traces! {
    keep_pending_write: KeepPendingWrite, 18, 2 => RecordsDiverge;
    refuse_unknown_record: RefuseUnknownRecord, 18, 2 => TwoOwners;
    publish_after_commit: PublishAfterCommit, 18, 2 => AssignmentLost;
    restart_loses_grants: RestartLosesGrants, 18, 2 => TwoOwners;
    takeover_from_newer: TakeoverFromNewer, 18, 2 => RecordsDiverge;
}
