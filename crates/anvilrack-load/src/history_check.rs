//! Checks the verdicts that callers received against the requests that targets executed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_fakes::TargetRun;
use eyre::WrapErr;

use crate::load_report::LoadReport;
use crate::{LoadHistory, LoadOutcome, LoadRecord};

/// Timeout of fetching one target's runs.
const FETCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The requests that one target executed.
pub type TargetRuns = Vec<TargetRun>;

/// Fetches the executed requests of each target.
///
/// # Errors
///
/// Fails when a target is unreachable or sends an invalid line, since the check needs the runs of
/// all targets.
pub fn fetch_runs(targets: &[SocketAddr]) -> eyre::Result<Vec<TargetRuns>> {
    targets
        .iter()
        .map(|target| fetch_target_runs(*target))
        .collect()
}

fn fetch_target_runs(target: SocketAddr) -> eyre::Result<TargetRuns> {
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

/// Compares the callers' history with the runs of the targets and counts the violations.
///
/// * `run_twice`: claims (POST) that ran more than once, over all targets.
/// * `not_run_but_ran`: the verdict was "not run", but a target ran the request.
/// * `wrong_answer`: the verdict was "ran", but the response belongs to another request or is
///   incomplete, or no target ran the request.
/// * `two_owners`: runs of a key that overlap a run on another target, or have an older fencing
///   token than an earlier run there.
#[must_use]
pub fn check_history(history: &LoadHistory, runs: &[TargetRuns]) -> LoadReport {
    let mut runs_by_id: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs.iter().flatten() {
        if let Some(id) = &run.idempotency_key {
            *runs_by_id.entry(id).or_default() += 1;
        }
    }
    let runs_of = |record: &LoadRecord| runs_by_id.get(record.id.as_str()).copied().unwrap_or(0);
    let count = |wanted: &dyn Fn(&LoadRecord) -> bool| {
        history
            .records
            .iter()
            .filter(|record| wanted(record))
            .count() as u64
    };
    let count_with_outcome = |outcome| count(&|record| record.told == outcome);
    LoadReport {
        sent: history.records.len() as u64,
        ran: count_with_outcome(LoadOutcome::Ran),
        not_run: count_with_outcome(LoadOutcome::NotRun),
        may_have_run: count_with_outcome(LoadOutcome::MayHaveRun),
        run_twice: count(&|record| record.method == "POST" && runs_of(record) > 1),
        wrong_answer: count_with_outcome(LoadOutcome::WrongAnswer)
            + count(&|record| record.told == LoadOutcome::Ran && runs_of(record) == 0),
        not_run_but_ran: count(&|record| record.told == LoadOutcome::NotRun && runs_of(record) > 0),
        two_owners: owner_conflicts(runs).len() as u64,
        ..LoadReport::default()
    }
    .with_latencies(history)
}

/// A run that conflicts with earlier runs of its key on another target.
///
/// The fence of the run names the shard, the fencing token and the end of the lease in milliseconds since
/// the machine booted. A run that began after that end was sent by a router that was suspended after it had
/// checked its lease.
#[derive(Clone, Copy, Debug)]
pub struct OwnerConflict<'a> {
    /// Index of the run's target.
    pub target: usize,
    /// The run that conflicts.
    pub run: &'a TargetRun,
    /// Index of the other target.
    pub other_target: usize,
    /// Latest end of the earlier runs there, in microseconds since the machine booted.
    pub other_end_us: u64,
    /// Highest fencing token of the earlier runs there.
    pub other_token: u64,
}

/// A run with the index of its target and its fencing token.
struct OwnedRun<'a> {
    target: usize,
    token: u64,
    run: &'a TargetRun,
}

/// Returns the conflicts between runs of one key on different targets, over all keys: a run that started
/// before an earlier one on another target ended, or that has an older fencing token.
#[must_use]
pub fn owner_conflicts(runs: &[TargetRuns]) -> Vec<OwnerConflict<'_>> {
    let mut by_key: BTreeMap<&str, Vec<OwnedRun<'_>>> = BTreeMap::new();
    for (target, runs) in runs.iter().enumerate() {
        for run in runs {
            let token = fencing_token(run);
            by_key
                .entry(&run.key)
                .or_default()
                .push(OwnedRun { target, token, run });
        }
    }
    by_key.into_values().flat_map(key_conflicts).collect()
}

fn key_conflicts(mut runs: Vec<OwnedRun<'_>>) -> Vec<OwnerConflict<'_>> {
    runs.sort_by_key(|owned| owned.run.began_us);
    let mut seen: BTreeMap<usize, TargetSpan> = BTreeMap::new();
    let mut conflicts = Vec::new();
    for owned in runs {
        for (target, span) in &seen {
            let overlaps = owned.run.began_us < span.last_end_us || owned.token < span.max_token;
            if *target != owned.target && overlaps {
                conflicts.push(OwnerConflict {
                    target: owned.target,
                    run: owned.run,
                    other_target: *target,
                    other_end_us: span.last_end_us,
                    other_token: span.max_token,
                });
            }
        }
        let span = seen.entry(owned.target).or_default();
        span.last_end_us = span.last_end_us.max(owned.run.ended_us);
        span.max_token = span.max_token.max(owned.token);
    }
    conflicts
}

/// The latest end and the highest fencing token among a target's runs of one key so far.
#[derive(Default)]
struct TargetSpan {
    last_end_us: u64,
    max_token: u64,
}

/// Returns the fencing token of a fence of the form `shard;token;lease-end`, or zero if there is
/// none.
fn fencing_token(run: &TargetRun) -> u64 {
    let fence = run.fence.as_deref().unwrap_or("");
    fence
        .split(';')
        .nth(1)
        .and_then(|token| token.parse().ok())
        .unwrap_or(0)
}
