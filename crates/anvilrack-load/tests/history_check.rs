//! The checker itself: each fault in a made-up history must be found, and nothing else.

use std::time::Duration;

use anvilrack_fakes::TargetRun;
use anvilrack_load::{LoadHistory, LoadRecord, LoadReport, ToldVerdict, judge};

/// One request as its caller saw it.
fn told(method: &'static str, id: &str, told: ToldVerdict) -> LoadRecord {
    LoadRecord {
        method,
        key: "key-1".to_owned(),
        id: id.to_owned(),
        told,
        sent_at: Duration::ZERO,
        latency: Duration::from_micros(500),
    }
}

/// One run of `key-1` by a target, between two times in microseconds.
fn run(id: &str, token: u64, began_us: u64, ended_us: u64) -> TargetRun {
    TargetRun {
        key: "key-1".to_owned(),
        method: "POST".to_owned(),
        idempotency_key: Some(id.to_owned()),
        fence: Some(format!("3;{token};9000000")),
        run: 1,
        began_us,
        ended_us,
    }
}

/// The faults in a report, in the order twice, not run but ran, wrong, two owners.
fn faults_of(report: &LoadReport) -> [u64; 4] {
    [
        report.run_twice,
        report.not_run_but_ran,
        report.wrong_answer,
        report.two_owners,
    ]
}

macro_rules! history_cases {
    ($($name:ident: told $records:expr, runs $runs:expr => $faults:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let records = Vec::from($records);
                let elapsed = Duration::from_secs(1);
                let report = judge(&LoadHistory { records, elapsed }, &Vec::from($runs));
                assert_eq!(faults_of(&report), $faults, "{report}");
                assert_eq!(report.is_clean(), $faults == [0; 4]);
            }
        )*
    };
}

use ToldVerdict::{MayHaveRun, NotRun, Ran, WrongAnswer};

history_cases! {
    an_ordinary_history_is_clean:
        told [told("POST", "a", Ran), told("POST", "b", NotRun), told("POST", "c", MayHaveRun)],
        runs [vec![run("a", 1, 0, 10), run("c", 1, 20, 30)]] => [0, 0, 0, 0];
    a_claim_that_ran_twice_at_one_target_is_found:
        told [told("POST", "a", Ran)],
        runs [vec![run("a", 1, 0, 10), run("a", 1, 20, 30)]] => [1, 0, 0, 0];
    a_claim_that_ran_at_two_targets_is_found:
        told [told("POST", "a", Ran)],
        runs [vec![run("a", 1, 0, 10)], vec![run("a", 2, 20, 30)]] => [1, 0, 0, 0];
    a_claim_that_ran_twice_is_found_also_where_the_caller_was_not_told:
        told [told("POST", "a", MayHaveRun)],
        runs [vec![run("a", 1, 0, 10), run("a", 1, 20, 30)]] => [1, 0, 0, 0];
    a_read_may_run_twice:
        told [told("GET", "a", Ran)],
        runs [vec![run("a", 1, 0, 10), run("a", 1, 20, 30)]] => [0, 0, 0, 0];
    not_run_that_ran_is_found:
        told [told("POST", "a", NotRun)],
        runs [vec![run("a", 1, 0, 10)]] => [0, 1, 0, 0];
    a_read_told_not_run_that_ran_is_found:
        told [told("GET", "a", NotRun)],
        runs [vec![run("a", 1, 0, 10)]] => [0, 1, 0, 0];
    an_answer_of_something_else_is_found:
        told [told("POST", "a", WrongAnswer)],
        runs [vec![run("a", 1, 0, 10)]] => [0, 0, 1, 0];
    an_answer_without_a_run_is_found:
        told [told("POST", "a", Ran)],
        runs [vec![run("b", 1, 0, 10)]] => [0, 0, 1, 0];
    runs_that_overlap_on_two_targets_are_found:
        told [],
        runs [vec![run("a", 1, 0, 10)], vec![run("b", 2, 5, 15)]] => [0, 0, 0, 1];
    a_token_that_goes_back_on_another_target_is_found:
        told [],
        runs [vec![run("a", 2, 0, 10)], vec![run("b", 1, 20, 30)]] => [0, 0, 0, 1];
    a_long_run_that_a_later_one_overlaps_past_another_is_found:
        told [],
        runs [vec![run("a", 1, 0, 100), run("b", 1, 10, 20)], vec![run("c", 2, 50, 60)]]
        => [0, 0, 0, 1];
    runs_that_overlap_on_one_target_are_its_own_affair:
        told [],
        runs [vec![run("a", 1, 0, 10), run("b", 1, 5, 15)]] => [0, 0, 0, 0];
    a_key_that_moves_on_is_clean:
        told [],
        runs [vec![run("a", 1, 0, 10)], vec![run("b", 2, 20, 30)]] => [0, 0, 0, 0];
}
