//! Each rule has a mutant that drops it, and the search must find its trace.

use anvilrack_model::{BrokenProperty, DroppedRule, ModelOptions, SearchBounds, StateSearch};

/// States of the model with its rules in place; `scripts/model-deep` goes through all of them.
const KEPT_STATES: usize = 30_000;

/// Names one mutant each: the rule and what breaks without it.
///
/// The model with its rules in place is searched from the same beginning, and has no trace.
macro_rules! mutant_traces {
    ($($name:ident: $rule:ident => $broken:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let rule = DroppedRule::$rule;
                let report = StateSearch::new(rule.options(), rule.bounds()).run();
                let trace = report.trace.expect("a dropped rule has a trace");
                assert_eq!(trace.broken, BrokenProperty::$broken, "{trace}");

                let kept = ModelOptions { dropped: rule.backing(), ..rule.options() };
                let bounds = SearchBounds { max_states: KEPT_STATES, ..rule.bounds() };
                let report = StateSearch::new(kept, bounds).run();
                assert!(report.trace.is_none(), "{}", report.trace.unwrap());
            }
        )*

        #[test]
        fn every_rule_has_a_mutant() {
            let named = [$(DroppedRule::$rule),*];
            assert!(DroppedRule::ALL.iter().all(|rule| named.contains(rule)));
        }
    };
}

mutant_traces! {
    renew_with_authority: RenewWithAuthority => TwoOwners;
    no_renewal_while_losing: NoRenewalWhileLosing => TwoOwners;
    keep_pending_write: KeepPendingWrite => RecordsDiverge;
    wait_for_silent: WaitForSilent => TwoOwners;
    wait_for_authority: WaitForAuthority => TwoOwners;
    refuse_older_epoch: RefuseOlderEpoch => TwoOwners;
    lease_from_sending: LeaseFromSending => TwoOwners;
    refuse_unknown_record: RefuseUnknownRecord => TwoOwners;
    no_promise_while_open: NoPromiseWhileOpen => TwoOwners;
    restart_loses_standby: RestartLosesStandby => TwoOwners;
    keep_promise: KeepPromise => TwoOwners;
    publish_after_commit: PublishAfterCommit => AssignmentLost;
    restart_loses_grants: RestartLosesGrants => TwoOwners;
    release_after_request: ReleaseAfterRequest => TwoOwners;
    drift_margin: DriftMargin => TwoOwners;
    outsider_wait: OutsiderWait => TwoOwners;
    takeover_from_newer: TakeoverFromNewer => AssignmentLost;
    takeover_asks_others: TakeoverAsksOthers => AssignmentLost;
    take_back_when_told: TakeBackWhenTold => TwoOwners;
    refuse_late_reports: RefuseLateReports => TwoOwners;
    wait_for_deadline: WaitForDeadline => TwoOwners;
}
