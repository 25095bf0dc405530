//! When the health check of a target can tell something new: each check has a price.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, CheckReason, ColdCheck};

fn at(ms: u64) -> BootTime {
    Duration::from_secs(1_000) + Duration::from_millis(ms)
}

/// Sends a request every `interval` ms from `from` to `to`, each of which takes `took` ms; returns the checks.
fn run_load(
    check: &mut ColdCheck,
    (from, to, interval): (u64, u64, u64),
    took: fn(u64) -> u64,
) -> Vec<CheckReason> {
    let kind: Arc<str> = "view".into();
    let mut checks = Vec::new();
    for time in (from..to).step_by(usize::try_from(interval).unwrap()) {
        check.on_sent(at(time));
        check.on_response(&kind, Duration::from_millis(took(time)), at(time));
        if let Some(reason) = check.due(false, at(time)) {
            check.on_result(reason, Some(false), at(time));
            checks.push(reason);
        }
    }
    checks
}

fn usual(time: u64) -> u64 {
    // Service times have a tail of seven times the mean.
    if time.is_multiple_of(9) { 280 } else { 40 }
}

/// Guards against checks that tell nothing new, each of which has a price.
#[test]
fn steady_service_times_cause_no_check() {
    let mut check = ColdCheck::default();
    assert_eq!(run_load(&mut check, (0, 60_000, 20), usual), []);
}

/// Guards against a target that has become cold and gets its usual load until its next notification.
#[test]
fn sudden_rise_without_load_causes_one_check() {
    let mut check = ColdCheck::default();
    run_load(&mut check, (0, 20_000, 20), usual);
    let checks = run_load(&mut check, (20_000, 20_400, 20), |_| 120);
    assert_eq!(checks, [CheckReason::SlowDown]);
}

/// Guards against a check for service times that rise because more requests arrive.
#[test]
fn rise_with_load_causes_no_check() {
    let mut check = ColdCheck::default();
    run_load(&mut check, (0, 20_000, 20), usual);
    run_load(&mut check, (20_000, 21_000, 5), usual);
    assert_eq!(run_load(&mut check, (21_000, 22_000, 5), |_| 120), []);
}

/// A machine that is shared with others is slow for a fifth of the time, which is not worth a check each time.
#[test]
fn checks_that_tell_nothing_new_become_rare() {
    let mut check = ColdCheck::default();
    let shared = |time: u64| if time % 2_000 < 400 { 120 } else { 40 };
    let checks = run_load(&mut check, (0, 120_000, 20), shared);
    assert!(checks.len() <= 9, "{} checks in two minutes", checks.len());
}

/// Guards against a check that a notification has made needless.
#[test]
fn report_takes_the_place_of_a_check() {
    let mut check = ColdCheck::default();
    check.request(CheckReason::ConnectionFailure);
    check.on_report();
    assert_eq!(check.due(false, at(0)), None);
    assert_eq!(check.due(true, at(10)), Some(CheckReason::Silence));
}

/// Guards against an expected cold target that is never asked again after a check without a response.
#[test]
fn expected_target_is_asked_until_it_answers() {
    let mut check = ColdCheck::default();
    check.request(CheckReason::Expected);
    let mut checks = 0;
    for time in (0..10_000).step_by(50) {
        if let Some(reason) = check.due(false, at(time)) {
            checks += 1;
            check.on_result(reason, (checks == 3).then_some(false), at(time));
        }
    }
    assert_eq!(checks, 3);
}
