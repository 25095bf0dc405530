//! Which further attempt of a request is allowed, and how many targets may run it at most.

use std::time::Duration;

use anvilrack_core::{
    AttemptLimit, AttemptOutcome, RepeatDenial, RepeatReason, is_cancellation_reliable,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::Unsent,
    AttemptOutcome::RefusedByRouter,
    AttemptOutcome::RefusedByTarget,
    AttemptOutcome::AssumedNotRun,
    AttemptOutcome::Uncertain,
    AttemptOutcome::TimedOut,
];

macro_rules! attempt_cases {
    ($($name:ident: idempotent $idempotent:literal, [$($outcome:ident),+] => $next:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut limit = AttemptLimit::new(2, $idempotent);
                let outcomes = [$(AttemptOutcome::$outcome),+];
                let next = outcomes.map(|outcome| {
                    limit.begin();
                    limit.end(outcome)
                });
                assert_eq!(next.last(), Some(&$next));
            }
        )*
    };
}

attempt_cases! {
    unsent_is_sent_again: idempotent false, [Unsent] => Ok(RepeatReason::Unsent);
    refused_is_sent_again: idempotent false, [RefusedByTarget] => Ok(RepeatReason::RefusedByTarget);
    uncertain_is_sent_again: idempotent true, [Uncertain] => Ok(RepeatReason::Idempotent);
    uncertain_must_not_run_twice: idempotent false, [Uncertain] => Err(RepeatDenial::NotIdempotent);
    timed_out_is_not_sent_again: idempotent true, [TimedOut] => Err(RepeatDenial::TimedOut);
    cancelled_is_sent_again: idempotent false, [AssumedNotRun] => Ok(RepeatReason::AssumedNotRun);
    second_cancelled_uses_the_attempts: idempotent false, [AssumedNotRun, AssumedNotRun]
        => Err(RepeatDenial::AttemptsUsed);
    refusal_after_two_possible_runs: idempotent true, [AssumedNotRun, Uncertain]
        => Err(RepeatDenial::AttemptsUsed);
    refusals_do_not_use_the_attempts: idempotent true, [RefusedByRouter, RefusedByTarget, Unsent]
        => Ok(RepeatReason::Unsent);
    fourth_router_is_the_last: idempotent true, [Unsent, RefusedByRouter, RefusedByTarget, RefusedByRouter]
        => Err(RepeatDenial::RoutersUsed);
}

/// Whatever "not run" was concluded wrongly, no more targets run a request than its route allows.
#[test]
fn assumptions_that_are_wrong_do_not_exceed_the_limit() {
    let mut random = StdRng::seed_from_u64(37);
    for _ in 0..20_000 {
        let max_runs = random.random_range(1..4);
        let mut limit = AttemptLimit::new(max_runs, random.random_bool(0.5));
        if random.random_bool(0.5) {
            limit = limit.without_router_limit();
        }
        let mut runs = 0;
        for _ in 0..20 {
            limit.begin();
            // The last attempt may run too, and ends the request.
            if random.random_bool(0.1) {
                runs += 1;
                break;
            }
            let outcome = OUTCOMES[random.random_range(0..OUTCOMES.len())];
            runs += u32::from(matches!(
                outcome,
                AttemptOutcome::AssumedNotRun
                    | AttemptOutcome::Uncertain
                    | AttemptOutcome::TimedOut
            ));
            if limit.end(outcome).is_err() {
                break;
            }
        }
        assert!(runs <= max_runs, "{runs} of {max_runs}");
    }
}

/// A repeat is paid once, also if routers refuse it before it arrives at a target.
#[test]
fn each_arrival_beyond_the_first_is_paid() {
    let mut limit = AttemptLimit::new(3, true);
    limit.begin();
    limit
        .end(AttemptOutcome::RefusedByRouter)
        .expect("another attempt");
    assert!(!limit.is_repeat() && !limit.needs_payment());
    limit.begin();
    limit
        .end(AttemptOutcome::RefusedByTarget)
        .expect("another attempt");
    assert!(limit.is_repeat() && limit.needs_payment());
    limit.on_paid();
    limit.begin();
    limit
        .end(AttemptOutcome::RefusedByRouter)
        .expect("another attempt");
    assert!(!limit.needs_payment() && limit.has_unused_payment());
    limit.begin();
    limit
        .end(AttemptOutcome::Uncertain)
        .expect_err("four routers were asked");
    assert!(limit.needs_payment() && !limit.has_unused_payment());
}

/// A router that is paused between naming the age of a request and sending the call to cancel it may be told
/// by a restarted process that the request has not started, although the former process had started it.
#[test]
fn reply_to_a_cancellation_that_was_paused_is_not_relied_on() {
    let at = Duration::from_millis;
    assert!(is_cancellation_reliable(at(1_000), at(1_340), at(350)));
    assert!(!is_cancellation_reliable(at(1_000), at(4_000), at(350)));
}
