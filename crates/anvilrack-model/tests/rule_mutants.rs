//! For each rule, the search must find a trace that violates a property once the rule is dropped.

use anvilrack_model::{DroppedRule, ModelOptions, PropertyViolation, SearchBounds, StateSearch};

/// Number of states to search in each model that keeps the rule; `scripts/model-deep` searches all.
const MAX_KEPT_STATES: usize = 30_000;

/// Defines one test for each mutant: its name, the dropped rule and the expected violation.
///
/// Each test also searches the model that keeps the rule, from the same initial steps, and expects no
/// trace.
macro_rules! mutant_tests {
    ($($name:ident: $rule:ident => $expected:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let rule = DroppedRule::$rule;
                let report = StateSearch::new(rule.options(), rule.bounds()).run();
                let trace = report.trace.expect("the mutant must have a trace");
                assert_eq!(trace.violation, PropertyViolation::$expected, "{trace}");

                let kept = ModelOptions { dropped: rule.backup_rule(), ..rule.options() };
                let bounds = SearchBounds { max_states: MAX_KEPT_STATES, ..rule.bounds() };
                let report = StateSearch::new(kept, bounds).run();
                assert!(report.trace.is_none(), "{}", report.trace.unwrap());
            }
        )*

        #[test]
        fn every_rule_has_a_mutant() {
            let tested = [$(DroppedRule::$rule),*];
            assert!(DroppedRule::ALL.iter().all(|rule| tested.contains(rule)));
        }
    };
}

mutant_tests! {
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
    releases_end_with_run: ReleasesEndWithRun => TwoOwners;
    release_after_late_grants: ReleaseAfterLateGrants => TwoHolders;
    former_grants_pending: FormerGrantsPending => TwoHolders;
    holds_outlast_incarnation: HoldsOutlastIncarnation => TwoHolders;
    wait_for_deadline: WaitForDeadline => TwoOwners;
}
