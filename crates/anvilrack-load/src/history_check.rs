//! The callers' verdicts held against what the targets have run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_fakes::TargetRun;
use eyre::WrapErr;

use crate::load_report::LoadReport;
use crate::{LoadHistory, LoadRecord, ToldVerdict};

/// Time to fetch one target's runs.
const FETCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The runs of one target.
pub type RunsOfTarget = Vec<TargetRun>;

/// Fetches what each target has run.
///
/// # Errors
///
/// Where a target does not answer; its runs would be missing from the judgement.
pub fn fetch_runs(targets: &[SocketAddr]) -> eyre::Result<Vec<RunsOfTarget>> {
    targets.iter().map(|target| fetch_target(*target)).collect()
}

fn fetch_target(target: SocketAddr) -> eyre::Result<RunsOfTarget> {
    let text = attohttpc::get(format!("http://{target}/_control/runs"))
        .timeout(FETCH_TIMEOUT)
        .send()
        .and_then(attohttpc::Response::text)
        .wrap_err_with(|| format!("cannot fetch the runs of target {target}"))?;
    let lines = text
        .lines()
        .map(|line| serde_json::from_str(line).map_err(Into::into));
    lines.collect()
}

/// Judges a load by the history of the callers and that of the targets.
///
/// * `run_twice`: claims that ran more than once, over all targets.
/// * `not_run_but_ran`: told "not run", yet a target ran it.
/// * `wrong_answer`: told "ran" with an answer that is not its own, or no target ran it.
/// * `two_owners`: runs of a key on two targets that overlap, or whose tokens go back.
#[must_use]
pub fn judge(history: &LoadHistory, runs: &[RunsOfTarget]) -> LoadReport {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs.iter().flatten() {
        if let Some(id) = &run.idempotency_key {
            *counts.entry(id).or_default() += 1;
        }
    }
    let ran = |record: &LoadRecord| counts.get(record.id.as_str()).copied().unwrap_or(0);
    let count = |wanted: &dyn Fn(&LoadRecord) -> bool| {
        history
            .records
            .iter()
            .filter(|record| wanted(record))
            .count() as u64
    };
    let told = |verdict| count(&|record| record.told == verdict);
    LoadReport {
        sent: history.records.len() as u64,
        ran: told(ToldVerdict::Ran),
        not_run: told(ToldVerdict::NotRun),
        may_have_run: told(ToldVerdict::MayHaveRun),
        run_twice: count(&|record| record.method == "POST" && ran(record) > 1),
        wrong_answer: told(ToldVerdict::WrongAnswer)
            + count(&|record| record.told == ToldVerdict::Ran && ran(record) == 0),
        not_run_but_ran: count(&|record| record.told == ToldVerdict::NotRun && ran(record) > 0),
        two_owners: two_owners(runs),
        ..LoadReport::default()
    }
    .with_latencies(history)
}

/// One run, with the target that ran it and its fencing token.
struct OwnedRun<'a> {
    target: usize,
    token: u64,
    run: &'a TargetRun,
}

fn two_owners(runs: &[RunsOfTarget]) -> u64 {
    let mut by_key: BTreeMap<&str, Vec<OwnedRun<'_>>> = BTreeMap::new();
    for (target, runs) in runs.iter().enumerate() {
        for run in runs {
            let token = token_of(run);
            by_key
                .entry(&run.key)
                .or_default()
                .push(OwnedRun { target, token, run });
        }
    }
    by_key.into_values().map(overlaps).sum()
}

/// Runs of a key that no single owner can explain: they began while an earlier run on another target
/// was under way, or have an older token than that.
fn overlaps(mut runs: Vec<OwnedRun<'_>>) -> u64 {
    runs.sort_by_key(|owned| owned.run.began_us);
    let mut seen: BTreeMap<usize, TargetSpan> = BTreeMap::new();
    let mut count = 0;
    for owned in runs {
        let others = seen.iter().filter(|(target, _)| **target != owned.target);
        let conflicts = others.filter(|(_, span)| {
            owned.run.began_us < span.last_end_us || owned.token < span.greatest_token
        });
        count += conflicts.count() as u64;
        let span = seen.entry(owned.target).or_default();
        span.last_end_us = span.last_end_us.max(owned.run.ended_us);
        span.greatest_token = span.greatest_token.max(owned.token);
    }
    count
}

/// What a target has run of a key so far.
#[derive(Default)]
struct TargetSpan {
    last_end_us: u64,
    greatest_token: u64,
}

/// The token in a fence of the form `shard;token;lease-end`; zero where there is none.
fn token_of(run: &TargetRun) -> u64 {
    let fence = run.fence.as_deref().unwrap_or("");
    fence
        .split(';')
        .nth(1)
        .and_then(|token| token.parse().ok())
        .unwrap_or(0)
}
