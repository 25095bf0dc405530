//! The protocol with all its rules has no trace that violates a property within these bounds.

use anvilrack_model::{
    FaultKind, InitialStep, ModelOptions, RouterStep, SearchBounds, StateSearch, SystemAction,
    long_promise_terms, short_promise_terms,
};

/// Defines one test for each search: its name, the kinds of fault, the horizon in ticks, the maximum
/// number of faults, and whether liveness is checked.
macro_rules! sound_searches {
    ($($name:ident: [$($kind:ident),*], $horizon:literal, $faults:literal, $liveness:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let bounds = SearchBounds {
                    horizon: $horizon,
                    faults: $faults,
                    kinds: vec![$(FaultKind::$kind),*],
                    initial_steps: Vec::new(),
                    max_states: 1_000_000,
                    liveness: $liveness,
                };
                let report = StateSearch::new(ModelOptions::default(), bounds).run();
                assert!(!report.cut_short, "search stopped after {} states", report.states);
                assert!(report.trace.is_none(), "{}", report.trace.unwrap());
            }
        )*
    };
}

sound_searches! {
    shard_is_served_after_any_single_fault: [
        Partition, Pause, Restart, ProcessRestart, TargetRestart, Loss, LateGrant, LateMessage, StoreReply, Restore, ClockSlip, Request, Drain, SlowPublish
    ], 30, 1, true;
    pause_and_lost_reply: [Pause, StoreReply], 12, 2, false;
    drain_and_restore: [Drain, Restore], 14, 2, false;
    drain_and_partition: [Drain, Partition], 9, 2, false;
    pause_and_restore: [Pause, Restore], 14, 2, false;
}

/// Separates the coordinator (rank 0) and the owner (rank 2) from the first standby (rank 1) and the
/// store.
const COORDINATOR_AND_OWNER: SystemAction = SystemAction::Partition(0b0_0101);

/// Separates the coordinator from the other routers and the store.
const STANDBY_AND_OWNER: SystemAction = SystemAction::Partition(0b0_0001);

/// Defines one test for each search in which processes restart beside their targets, or targets beside their
/// processes: its name, the first fault, the kinds of fault that follow, the horizon in ticks and the maximum number
/// of faults.
macro_rules! restart_searches {
    ($($name:ident: $first:expr, [$($kind:ident),*], $horizon:literal, $faults:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let bounds = SearchBounds {
                    horizon: $horizon,
                    faults: $faults,
                    kinds: vec![$(FaultKind::$kind),*],
                    initial_steps: vec![InitialStep::Run($first)],
                    max_states: 1_000_000,
                    liveness: false,
                };
                let options = ModelOptions {
                    terms: short_promise_terms(),
                    ..ModelOptions::default()
                };
                let report = StateSearch::new(options, bounds).run();
                assert!(!report.cut_short, "search stopped after {} states", report.states);
                assert!(report.trace.is_none(), "{}", report.trace.unwrap());
            }
        )*
    };
}

restart_searches! {
    process_restarts_while_a_write_is_pending: SystemAction::Drain(2), [ProcessRestart, StoreReply], 14, 3;
    process_restarts_while_a_grant_is_pending: SystemAction::Drain(2), [ProcessRestart, LateGrant], 14, 3;
    process_restarts_after_a_late_message: SystemAction::Drain(2), [ProcessRestart, LateMessage], 10, 3;
    process_restarts_in_a_partition: COORDINATOR_AND_OWNER, [ProcessRestart], 20, 2;
    process_restarts_without_its_coordinator: STANDBY_AND_OWNER, [ProcessRestart], 20, 2;
    target_restarts_while_it_drains: SystemAction::Drain(2), [TargetRestart], 12, 3;
    target_restarts_while_a_write_is_pending: SystemAction::RestartTarget(2), [Drain, StoreReply], 10, 3;
    target_restarts_while_a_grant_is_pending: SystemAction::RestartTarget(2), [Drain, LateGrant], 12, 3;
    target_restarts_after_a_late_message: SystemAction::RestartTarget(2), [Drain, LateMessage], 8, 3;
    target_restarts_with_its_router: SystemAction::RestartTarget(2), [Drain, ProcessRestart], 12, 3;
    target_restarts_in_a_partition: COORDINATOR_AND_OWNER, [TargetRestart], 14, 2;
    target_restarts_without_its_coordinator: STANDBY_AND_OWNER, [TargetRestart], 14, 2;
}

/// A standby makes a promise, restarts and is named as standby again. A promise of its earlier
/// incarnation must no longer count as one of the new incarnation.
#[test]
fn promise_ends_with_restart() {
    let coordinator_and_owner = SystemAction::Partition(0b0_0101);
    let bounds = SearchBounds {
        horizon: 24,
        faults: 2,
        kinds: Vec::new(),
        initial_steps: vec![
            InitialStep::Run(SystemAction::Restart(1)),
            InitialStep::Ticks(2),
            InitialStep::RunUntil(0, RouterStep::Promise),
            InitialStep::Run(coordinator_and_owner),
        ],
        max_states: 400_000,
        liveness: false,
    };
    let options = ModelOptions {
        terms: long_promise_terms(),
        ..ModelOptions::default()
    };
    let report = StateSearch::new(options, bounds).run();
    assert!(
        !report.cut_short,
        "search stopped after {} states",
        report.states
    );
    assert!(report.trace.is_none(), "{}", report.trace.unwrap());
}

/// The last router of a cell, which is its coordinator, restarts. It must become coordinator
/// again.
#[test]
fn last_router_coordinates_again_after_restart() {
    let bounds = SearchBounds {
        horizon: 50,
        faults: 3,
        kinds: vec![FaultKind::Restart],
        initial_steps: vec![
            InitialStep::Run(SystemAction::Lose(0)),
            InitialStep::Ticks(20),
            InitialStep::Run(SystemAction::Lose(2)),
            InitialStep::Ticks(20),
        ],
        max_states: 400_000,
        liveness: true,
    };
    let report = StateSearch::new(ModelOptions::default(), bounds).run();
    assert!(
        !report.cut_short,
        "search stopped after {} states",
        report.states
    );
    assert!(report.trace.is_none(), "{}", report.trace.unwrap());
}
