//! The history checker finds each kind of violation in a constructed history, and nothing else.

use std::time::Duration;

use anvilrack_fakes::TargetRun;
use anvilrack_load::{LoadHistory, LoadOutcome, LoadRecord, LoadReport, check_history};

/// Returns a request for `key-1` with the outcome that its caller observed.
fn request(method: &'static str, id: &str, told: LoadOutcome) -> LoadRecord {
    LoadRecord {
        method,
        key: "key-1".to_owned(),
        id: id.to_owned(),
        told,
        sent_at: Duration::ZERO,
        latency: Duration::from_micros(500),
    }
}

/// Returns a run of `key-1` with a fencing token and its start and end in microseconds.
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

/// Returns a report's violations in the order run twice, not run but ran, wrong answer, two owners.
fn violations_of(report: &LoadReport) -> [u64; 4] {
    [
        report.run_twice,
        report.not_run_but_ran,
        report.wrong_answer,
        report.two_owners,
    ]
}

macro_rules! history_cases {
    ($($name:ident: requests $records:expr, runs $runs:expr => $violations:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let records = Vec::from($records);
                let elapsed = Duration::from_secs(1);
                let report = check_history(&LoadHistory { records, elapsed }, &Vec::from($runs));
                assert_eq!(violations_of(&report), $violations, "{report}");
                assert_eq!(report.is_clean(), $violations == [0; 4]);
            }
        )*
    };
}

use LoadOutcome::{MayHaveRun, NotRun, Ran, WrongAnswer};

history_cases! {
    history_without_violations_is_clean:
        requests [request("POST", "a", Ran), request("POST", "b", NotRun),
            request("POST", "c", MayHaveRun)],
        runs [vec![run("a", 1, 0, 10), run("c", 1, 20, 30)]] => [0, 0, 0, 0];
    claim_run_twice_at_one_target_is_found:
        requests [request("POST", "a", Ran)],
        runs [vec![run("a", 1, 0, 10), run("a", 1, 20, 30)]] => [1, 0, 0, 0];
    claim_run_at_two_targets_is_found:
        requests [request("POST", "a", Ran)],
        runs [vec![run("a", 1, 0, 10)], vec![run("a", 2, 20, 30)]] => [1, 0, 0, 0];
    claim_run_twice_with_uncertain_verdict_is_found:
        requests [request("POST", "a", MayHaveRun)],
        runs [vec![run("a", 1, 0, 10), run("a", 1, 20, 30)]] => [1, 0, 0, 0];
    read_may_run_twice:
        requests [request("GET", "a", Ran)],
        runs [vec![run("a", 1, 0, 10), run("a", 1, 20, 30)]] => [0, 0, 0, 0];
    claim_reported_not_run_that_ran_is_found:
        requests [request("POST", "a", NotRun)],
        runs [vec![run("a", 1, 0, 10)]] => [0, 1, 0, 0];
    read_reported_not_run_that_ran_is_found:
        requests [request("GET", "a", NotRun)],
        runs [vec![run("a", 1, 0, 10)]] => [0, 1, 0, 0];
    response_to_another_request_is_found:
        requests [request("POST", "a", WrongAnswer)],
        runs [vec![run("a", 1, 0, 10)]] => [0, 0, 1, 0];
    response_without_a_run_is_found:
        requests [request("POST", "a", Ran)],
        runs [vec![run("b", 1, 0, 10)]] => [0, 0, 1, 0];
    overlapping_runs_on_two_targets_are_found:
        requests [],
        runs [vec![run("a", 1, 0, 10)], vec![run("b", 2, 5, 15)]] => [0, 0, 0, 1];
    older_token_on_another_target_is_found:
        requests [],
        runs [vec![run("a", 2, 0, 10)], vec![run("b", 1, 20, 30)]] => [0, 0, 0, 1];
    overlap_with_an_earlier_longer_run_is_found:
        requests [],
        runs [vec![run("a", 1, 0, 100), run("b", 1, 10, 20)], vec![run("c", 2, 50, 60)]]
        => [0, 0, 0, 1];
    overlapping_runs_on_one_target_are_allowed:
        requests [],
        runs [vec![run("a", 1, 0, 10), run("b", 1, 5, 15)]] => [0, 0, 0, 0];
    moved_key_is_clean:
        requests [],
        runs [vec![run("a", 1, 0, 10)], vec![run("b", 2, 20, 30)]] => [0, 0, 0, 0];
}
