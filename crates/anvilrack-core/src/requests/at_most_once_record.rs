//! The at-most-once record: which non-idempotent requests ran, or may have run, and their responses.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::{
    BootTime, RefusalReason, RequestVerdict, ServiceName, ShardId, TargetAnswer, UncertainReason,
};

/// Estimated size of an entry in bytes, without its strings and its response.
const ENTRY_OVERHEAD_BYTES: usize = 320;

/// `Retry-After` time for a request that was refused because the record is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// `Retry-After` time for a request whose idempotency key belongs to a different request.
const KEY_REUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of a [`AtMostOnceRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AtMostOnceLimits {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum size of all entries together, in bytes.
    pub bytes: usize,
    /// Maximum size of a stored response, in bytes; for a longer one only the outcome is stored.
    pub answer_bytes: usize,
    /// How long an outcome is kept. Entries are never dropped earlier.
    pub retention: Duration,
    /// Maximum difference assumed between the clocks of callers and of this router.
    pub clock_margin: Duration,
}

impl Default for AtMostOnceLimits {
    fn default() -> Self {
        Self {
            entries: 262_144,
            bytes: 128 * 1024 * 1024,
            answer_bytes: 256 * 1024,
            retention: Duration::from_mins(5),
            clock_margin: Duration::from_secs(2),
        }
    }
}

/// Identifies a request: two requests with equal keys are the same request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AtMostOnceKey {
    /// Name of the requested service.
    pub service: ServiceName,
    /// Key that the request addresses.
    pub key: Arc<str>,
    /// Idempotency key that the caller chose.
    pub idempotency_key: Arc<str>,
}

/// The parts of a request that the record needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AtMostOnceRequest {
    /// Identity of the request.
    pub key: AtMostOnceKey,
    /// Shard of the request's key.
    pub shard: ShardId,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// When the caller first sent the request; `None` if the idempotency key contains no time, or
    /// one too far in the future.
    pub first_sent: Option<BootTime>,
    /// When this owner's grant began, if an earlier owner's at-most-once record was lost.
    pub record_lost_at: Option<BootTime>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// Send the request to the target, then call [`AtMostOnceRecord::settle`].
    Run,
    /// The same request is in progress: wait until it is settled, then ask again.
    Join,
    /// Return this verdict without running the request.
    Answer(RequestVerdict),
}

/// Outcome of a request that was sent to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request ran and returned this response.
    Done(TargetAnswer),
    /// The request may have run, for example after a timeout.
    Unknown(UncertainReason),
}

/// An entry that is transferred to the next owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedRun {
    /// Identity of the request.
    pub key: AtMostOnceKey,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// Time since the outcome was stored.
    pub age: Duration,
    /// Outcome of the request.
    pub outcome: RunOutcome,
}

/// The entries of one shard, transferred from its owner to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExportedShard {
    /// Entries of the shard, in no particular order.
    pub runs: Vec<ExportedRun>,
    /// Time since the shard's record was last lost; `None` if it was not lost within the retention
    /// time.
    pub lost_age: Option<Duration>,
}

#[derive(Clone, Debug)]
struct RunEntry {
    shard: ShardId,
    fingerprint: u64,
    bytes: usize,
    settled: Option<SettledOutcome>,
}

#[derive(Clone, Debug)]
struct SettledOutcome {
    at: BootTime,
    sequence: u64,
    outcome: RunOutcome,
}

/// The at-most-once record of one router.
///
/// Entries are never dropped before their retention time ends; when the record is full, new
/// requests are refused. A request is also not run if its idempotency key shows that it was first
/// sent so long ago that its entry may have been dropped.
#[derive(Clone, Debug, Default)]
pub struct AtMostOnceRecord {
    limits: AtMostOnceLimits,
    runs: HashMap<AtMostOnceKey, RunEntry>,
    by_age: BTreeMap<(BootTime, u64), AtMostOnceKey>,
    lost_at: BTreeMap<ShardId, BootTime>,
    bytes: usize,
    next_sequence: u64,
}

impl AtMostOnceRecord {
    /// Creates an empty record with the given limits.
    #[must_use]
    pub fn new(limits: AtMostOnceLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Decides what to do with a request before it is sent to the target.
    pub fn begin(&mut self, request: &AtMostOnceRequest, now: BootTime) -> RunDecision {
        self.drop_expired(now);
        if let Some(run) = self.runs.get(&request.key) {
            return step_for_entry(run, request.fingerprint);
        }
        if let Some(lost_at) = request.record_lost_at {
            self.record_loss(request.shard, lost_at);
        }
        if self.may_have_dropped(request, now) {
            return RunDecision::Answer(RequestVerdict::MayHaveRun(UncertainReason::RecordLost));
        }
        // Reserves capacity for the longest response until the request is settled.
        let bytes = base_bytes(&request.key) + self.limits.answer_bytes;
        if !self.has_capacity(1, bytes) {
            let refusal = RequestVerdict::NotRun(RefusalReason::RecordFull, FULL_RETRY_AFTER);
            return RunDecision::Answer(refusal);
        }
        self.bytes += bytes;
        let run = RunEntry {
            shard: request.shard,
            fingerprint: request.fingerprint,
            bytes,
            settled: None,
        };
        self.runs.insert(request.key.clone(), run);
        RunDecision::Run
    }

    /// Returns what is known about a request that will not run here; `None` if it has no entry.
    ///
    /// A router that no longer serves the shard calls this before it refuses a request. Without it,
    /// a resent request could be answered "not run" while the first one is in progress or has run.
    #[must_use]
    pub fn look_up(&self, key: &AtMostOnceKey, fingerprint: u64) -> Option<RunDecision> {
        self.runs
            .get(key)
            .map(|run| step_for_entry(run, fingerprint))
    }

    /// Stores the outcome of a request for which [`RunDecision::Run`] was returned. A request that
    /// has not run is removed from the record.
    pub fn settle(&mut self, key: &AtMostOnceKey, verdict: &RequestVerdict, now: BootTime) {
        let outcome = match verdict {
            RequestVerdict::NotRun(..) => return self.remove(key),
            RequestVerdict::Ran(answer) if answer.body.len() > self.limits.answer_bytes => {
                RunOutcome::Unknown(UncertainReason::AnswerTooLarge)
            }
            RequestVerdict::Ran(answer) => RunOutcome::Done(answer.clone()),
            RequestVerdict::MayHaveRun(reason) => RunOutcome::Unknown(*reason),
        };
        self.store_outcome(key, outcome, now);
    }

    /// Returns the number of entries, both in progress and settled.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.runs.len()
    }

    /// Returns the size of all entries in bytes, including the capacity reserved for responses.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    // --- planned moves --------------------------------------------------------------------------

    /// Returns the entries that the next owner of a shard needs. A request in progress is exported
    /// as one that may have run.
    ///
    /// `record_lost_at` is when this owner's grant began, if an earlier owner's record was lost.
    #[must_use]
    pub fn export(
        &self,
        shard: ShardId,
        record_lost_at: Option<BootTime>,
        now: BootTime,
    ) -> ExportedShard {
        let runs = self.runs.iter().filter(|(_, run)| run.shard == shard);
        let runs = runs.map(|(key, run)| ExportedRun {
            key: key.clone(),
            fingerprint: run.fingerprint,
            age: run
                .settled
                .as_ref()
                .map_or(Duration::ZERO, |settled| now.saturating_sub(settled.at)),
            outcome: run
                .settled
                .as_ref()
                .map_or(RunOutcome::Unknown(UncertainReason::TimedOut), |settled| {
                    settled.outcome.clone()
                }),
        });
        let lost_at = self.lost_at.get(&shard).copied().max(record_lost_at);
        let lost_age = lost_at.map(|at| now.saturating_sub(at));
        ExportedShard {
            runs: runs.collect(),
            lost_age: lost_age.filter(|age| *age < self.limits.retention),
        }
    }

    /// Adds the entries of an earlier owner; returns `false` and adds nothing if the capacity does
    /// not suffice.
    pub fn import(&mut self, shard: ShardId, exported: ExportedShard, now: BootTime) -> bool {
        self.drop_expired(now);
        let entry_sizes = exported.runs.iter().map(run_bytes);
        if !self.has_capacity(exported.runs.len(), entry_sizes.sum()) {
            return false;
        }
        if let Some(age) = exported.lost_age {
            self.record_loss(shard, now.saturating_sub(age));
        }
        for run in exported.runs {
            self.import_run(shard, run, now);
        }
        true
    }

    fn import_run(&mut self, shard: ShardId, run: ExportedRun, now: BootTime) {
        let known = self.runs.get(&run.key).and_then(|run| run.settled.as_ref());
        let has_answer = known.is_some_and(|run| matches!(run.outcome, RunOutcome::Done(_)));
        if has_answer {
            return;
        }
        self.remove(&run.key);
        let bytes = base_bytes(&run.key);
        self.bytes += bytes;
        let entry = RunEntry {
            shard,
            fingerprint: run.fingerprint,
            bytes,
            settled: None,
        };
        self.runs.insert(run.key.clone(), entry);
        self.store_outcome(&run.key, run.outcome, now.saturating_sub(run.age));
    }

    // --- capacity and retention -----------------------------------------------------------------

    fn store_outcome(&mut self, key: &AtMostOnceKey, outcome: RunOutcome, at: BootTime) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.settled.is_some() {
            return;
        }
        let bytes = base_bytes(key) + outcome_bytes(&outcome);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.bytes = self.bytes - run.bytes + bytes;
        run.bytes = bytes;
        run.settled = Some(SettledOutcome {
            at,
            sequence,
            outcome,
        });
        self.by_age.insert((at, sequence), key.clone());
    }

    fn remove(&mut self, key: &AtMostOnceKey) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.bytes -= run.bytes;
        if let Some(settled) = run.settled {
            self.by_age.remove(&(settled.at, settled.sequence));
        }
    }

    fn drop_expired(&mut self, now: BootTime) {
        let Some(retention_start) = now.checked_sub(self.limits.retention) else {
            return;
        };
        while let Some((&(at, _), key)) = self.by_age.first_key_value() {
            if at >= retention_start {
                break;
            }
            let key = key.clone();
            self.remove(&key);
        }
        self.lost_at.retain(|_, at| *at >= retention_start);
    }

    fn record_loss(&mut self, shard: ShardId, at: BootTime) {
        let known = self.lost_at.entry(shard).or_insert(at);
        *known = at.max(*known);
    }

    /// Returns whether an entry for the request may have existed and been dropped or lost.
    fn may_have_dropped(&self, request: &AtMostOnceRequest, now: BootTime) -> bool {
        let lost_at = self.lost_at.get(&request.shard).copied();
        let lost_at = lost_at.filter(|at| now.saturating_sub(*at) < self.limits.retention);
        let dropped_before = now.checked_sub(self.limits.retention);
        let Some(first_sent) = request.first_sent else {
            return lost_at.is_some();
        };
        let cutoff = lost_at.max(dropped_before);
        cutoff.is_some_and(|cutoff| first_sent < cutoff + self.limits.clock_margin)
    }

    fn has_capacity(&self, entries: usize, bytes: usize) -> bool {
        self.runs.len() + entries <= self.limits.entries && self.bytes + bytes <= self.limits.bytes
    }
}

fn step_for_entry(run: &RunEntry, fingerprint: u64) -> RunDecision {
    if run.fingerprint != fingerprint {
        let refusal = RequestVerdict::NotRun(RefusalReason::KeyReused, KEY_REUSED_RETRY_AFTER);
        return RunDecision::Answer(refusal);
    }
    match run.settled.as_ref().map(|settled| &settled.outcome) {
        None => RunDecision::Join,
        Some(RunOutcome::Done(answer)) => RunDecision::Answer(RequestVerdict::Ran(answer.clone())),
        Some(RunOutcome::Unknown(reason)) => {
            RunDecision::Answer(RequestVerdict::MayHaveRun(*reason))
        }
    }
}

fn base_bytes(key: &AtMostOnceKey) -> usize {
    // The strings are counted once: the map and the index by age share one allocation.
    ENTRY_OVERHEAD_BYTES + key.key.len() + key.idempotency_key.len()
}

fn outcome_bytes(outcome: &RunOutcome) -> usize {
    match outcome {
        RunOutcome::Done(answer) => answer.body.len(),
        RunOutcome::Unknown(_) => 0,
    }
}

fn run_bytes(run: &ExportedRun) -> usize {
    base_bytes(&run.key) + outcome_bytes(&run.outcome)
}
