//! A target becomes suspect by what its observer sees, and is probed after a delay.

use std::time::Duration;

use anvilrack_core::{BootTime, HealthOutcome, TargetHealth};

const LATENCY: Duration = Duration::from_millis(10);

fn at(ms: u64) -> BootTime {
    BootTime::from_millis(ms)
}

/// Sends requests one after another, each with the given outcome.
fn send(health: &mut TargetHealth, outcomes: &[HealthOutcome], now: BootTime) {
    for outcome in outcomes {
        health.begin(now);
        health.end(*outcome, now);
    }
}

fn suspect_target(now: BootTime) -> TargetHealth {
    let mut health = TargetHealth::default();
    send(&mut health, &[HealthOutcome::Failed; 3], now);
    assert!(health.is_suspect());
    health
}

macro_rules! evidence_cases {
    ($($name:ident: $hint:literal, $outcomes:expr => $suspect:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut health = TargetHealth::default();
                health.set_unhealthy_hint($hint);
                send(&mut health, &$outcomes, at(0));
                assert_eq!(health.is_suspect(), $suspect);
            }
        )*
    };
}

use HealthOutcome::{Answered, Failed, NotReached};

evidence_cases! {
    three_failures_make_a_target_suspect: false, [Failed, Failed, Failed] => true;
    two_failures_do_not_make_a_target_suspect: false, [Failed, Failed] => false;
    two_failures_and_a_hint_make_a_target_suspect: true, [Failed, Failed] => true;
    an_answer_resets_the_failure_count: false, [Failed, Failed, Answered, Failed, Failed] => false;
    a_hint_alone_does_not_make_a_target_suspect: true, [Answered, Answered] => false;
    requests_that_do_not_reach_the_target_are_ignored: false, [NotReached, NotReached, NotReached]
        => false;
}

macro_rules! stall_cases {
    ($($name:ident: $hint:literal, $ms:literal ms => $suspect:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut health = TargetHealth::default();
                health.set_unhealthy_hint($hint);
                health.begin(at(0));
                health.check_stall(LATENCY, at($ms));
                assert_eq!(health.is_suspect(), $suspect);
            }
        )*
    };
}

stall_cases! {
    short_stall_is_ignored: false, 499 ms => false;
    long_stall_makes_a_target_suspect: false, 500 ms => true;
    hint_halves_the_stall_timeout: true, 250 ms => true;
}

#[test]
fn answered_probe_clears_the_suspicion() {
    let mut health = suspect_target(at(0));
    assert!(!health.may_probe(at(999)));
    assert!(health.may_probe(at(1_000)));
    health.begin(at(1_000));
    assert!(!health.may_probe(at(1_001)), "one probe at a time");
    health.end(Answered, at(1_010));
    assert!(!health.is_suspect());
}

#[test]
fn each_relapse_doubles_the_probe_delay() {
    let mut health = suspect_target(at(0));
    let mut now = at(0);
    for delay_secs in [1, 2, 4, 8, 16, 30, 30] {
        let due = now + Duration::from_secs(delay_secs);
        assert!(!health.may_probe(now + Duration::from_millis(delay_secs * 1_000 - 1)));
        assert!(health.may_probe(due));
        send(&mut health, &[Failed], due);
        now = due;
    }
}

#[test]
fn probe_that_does_not_reach_the_target_is_delayed() {
    let mut health = suspect_target(at(0));
    send(&mut health, &[NotReached], at(1_000));
    assert!(health.is_suspect());
    assert!(!health.may_probe(at(1_001)));
    assert!(health.may_probe(at(2_000)));
}
