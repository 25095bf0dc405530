//! A target is thought sick by what its observer saw, and tried again after a pause.

use std::time::Duration;

use anvilrack_core::{BootTime, HealthOutcome, TargetHealth};

const LATENCY: Duration = Duration::from_millis(10);

fn at(ms: u64) -> BootTime {
    BootTime::from_millis(ms)
}

/// Sends requests one after another, each with its outcome.
fn send(health: &mut TargetHealth, outcomes: &[HealthOutcome], now: BootTime) {
    for outcome in outcomes {
        health.begin(now);
        health.end(*outcome, now);
    }
}

fn suspect_since(now: BootTime) -> TargetHealth {
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
                health.hint($hint);
                send(&mut health, &$outcomes, at(0));
                assert_eq!(health.is_suspect(), $suspect);
            }
        )*
    };
}

use HealthOutcome::{Answered, Failed, NotTried};

evidence_cases! {
    three_failures_are_enough: false, [Failed, Failed, Failed] => true;
    two_failures_are_not: false, [Failed, Failed] => false;
    two_failures_with_a_hint_are_enough: true, [Failed, Failed] => true;
    an_answer_in_between_clears: false, [Failed, Failed, Answered, Failed, Failed] => false;
    a_hint_alone_is_nothing: true, [Answered, Answered] => false;
    refusals_before_the_target_are_nothing: false, [NotTried, NotTried, NotTried] => false;
}

macro_rules! silence_cases {
    ($($name:ident: $hint:literal, $ms:literal ms => $suspect:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut health = TargetHealth::default();
                health.hint($hint);
                health.begin(at(0));
                health.look(LATENCY, at($ms));
                assert_eq!(health.is_suspect(), $suspect);
            }
        )*
    };
}

silence_cases! {
    short_silence_is_nothing: false, 499 ms => false;
    long_silence_makes_suspect: false, 500 ms => true;
    hint_halves_the_silence: true, 250 ms => true;
}

#[test]
fn probe_that_is_answered_clears_the_suspicion() {
    let mut health = suspect_since(at(0));
    assert!(!health.may_probe(at(999)));
    assert!(health.may_probe(at(1_000)));
    health.begin(at(1_000));
    assert!(!health.may_probe(at(1_001)), "one probe at a time");
    health.end(Answered, at(1_010));
    assert!(!health.is_suspect());
}

#[test]
fn each_relapse_doubles_the_pause() {
    let mut health = suspect_since(at(0));
    let mut now = at(0);
    for pause in [1, 2, 4, 8, 16, 30, 30] {
        let due = now + Duration::from_secs(pause);
        assert!(!health.may_probe(now + Duration::from_millis(pause * 1_000 - 1)));
        assert!(health.may_probe(due));
        send(&mut health, &[Failed], due);
        now = due;
    }
}

#[test]
fn refused_probe_is_put_off_by_the_same_pause() {
    let mut health = suspect_since(at(0));
    send(&mut health, &[NotTried], at(1_000));
    assert!(health.is_suspect());
    assert!(!health.may_probe(at(1_001)));
    assert!(health.may_probe(at(2_000)));
}
