//! Which verdicts lead to a retry, and how many retries the budget allows.

use std::time::Duration;

use anvilrack_core::{
    RefusalReason, RequestVerdict, ResendSafety, RetryBudget, RetryStep, UncertainReason,
    retry_backoff, retry_step,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of requests in a test of the budget.
const REQUESTS: u32 = 100_000;

macro_rules! budget_cases {
    ($($name:ident: $failing:literal failing, seed $seed:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_share_is_kept($failing, $seed);
            }
        )*
    };
}

budget_cases! {
    all_fail: 1.0 failing, seed 7;
    half_fail: 0.5 failing, seed 11;
    few_fail: 0.02 failing, seed 13;
}

fn assert_share_is_kept(failing: f64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new();
    let (mut failed, mut retries) = (0, 0);
    for _ in 0..REQUESTS {
        budget.on_first_attempt();
        while random.random_bool(failing) {
            failed += 1;
            if !budget.take_retry() {
                break;
            }
            retries += 1;
        }
    }
    assert!(retries <= REQUESTS / 10 + 50, "{retries} retries");
    // If few requests fail, all of them are retried.
    assert!(failing > 0.05 || retries == failed, "{retries} of {failed}");
}

#[test]
fn pauses_grow_to_a_maximum_with_jitter() {
    let mut random = StdRng::seed_from_u64(17);
    for retry in 0..40 {
        let pause = retry_backoff(retry, random.random());
        let average =
            Duration::from_millis(20 * 2_u64.pow(retry.min(5))).min(Duration::from_millis(200));
        assert!(pause >= average.mul_f64(0.5) && pause <= average.mul_f64(1.5));
    }
}

macro_rules! step_cases {
    ($($name:ident: $verdict:expr, $safety:ident, link lost $lost:literal => $step:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let step = retry_step(&$verdict, ResendSafety::$safety, $lost);
                assert_eq!(step, RetryStep::$step);
            }
        )*
    };
}

fn not_run(reason: RefusalReason) -> RequestVerdict {
    RequestVerdict::NotRun(reason, Duration::from_secs(1))
}

const LOST: RequestVerdict = RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost);

step_cases! {
    idempotent_is_retried: LOST, Idempotent, link lost false => SendAgain;
    recorded_is_retried_after_a_lost_link: LOST, Recorded, link lost true => SendAgain;
    recorded_is_not_retried_after_a_target_failure: LOST, Recorded, link lost false => ReturnVerdict;
    unsafe_is_never_retried: LOST, Unsafe, link lost true => ReturnVerdict;
    lost_record_is_not_retried: RequestVerdict::MayHaveRun(UncertainReason::RecordLost),
        Idempotent, link lost false => ReturnVerdict;
    not_owner_is_retried: not_run(RefusalReason::NotOwner), Unsafe, link lost false => SendAgain;
    moving_waits_for_a_new_route: not_run(RefusalReason::Moving), Unsafe, link lost false
        => WaitForRoute;
    overload_is_not_retried: not_run(RefusalReason::Overloaded), Idempotent, link lost false
        => ReturnVerdict;
    quarantine_is_not_retried: not_run(RefusalReason::Quarantined), Idempotent, link lost false
        => ReturnVerdict;
}

#[test]
fn a_refusal_after_an_uncertain_attempt_is_uncertain() {
    let refused = not_run(RefusalReason::NotOwner);
    assert_eq!(refused.clone().downgraded_by(None), refused);
    assert_eq!(
        refused.downgraded_by(Some(UncertainReason::ConnectionLost)),
        LOST
    );
}
