//! The at-most-once record: which non-idempotent requests ran, or may have, and with what answer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::{
    BootTime, RefusalReason, RequestVerdict, ServiceName, ShardId, TargetAnswer, UncertainReason,
};

/// Bytes that an entry takes besides its texts and its answer.
const ENTRY_BYTES: usize = 320;

/// When to come back after the record was found full.
const FULL_RETRY: Duration = Duration::from_secs(5);

/// When to come back with another idempotency key.
const REUSED_RETRY: Duration = Duration::from_secs(1);

/// Bounds of a [`RunRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLimits {
    /// Entries kept at once.
    pub entries: usize,
    /// Bytes kept at once, over all entries.
    pub bytes: usize,
    /// Longest answer that is kept, in bytes; of a longer one only the outcome is kept.
    pub answer_bytes: usize,
    /// How long an outcome is kept; never shorter.
    pub keep: Duration,
    /// By how much callers' clocks and this router's may differ.
    pub clock_margin: Duration,
}

impl Default for RecordLimits {
    fn default() -> Self {
        Self {
            entries: 262_144,
            bytes: 128 * 1024 * 1024,
            answer_bytes: 256 * 1024,
            keep: Duration::from_mins(5),
            clock_margin: Duration::from_secs(2),
        }
    }
}

/// What makes two requests the same request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// The service asked for.
    pub service: ServiceName,
    /// The key asked for.
    pub key: Arc<str>,
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
}

/// A request as the record sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordRequest {
    /// Which request it is.
    pub key: RecordKey,
    /// The shard of its key.
    pub shard: ShardId,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// When the caller first sent it, where that can be told.
    pub first_sent: Option<BootTime>,
    /// When this owner's grant began, where an earlier owner's record is gone.
    pub record_lost_at: Option<BootTime>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordStep {
    /// Run it, then [`RunRecord::settle`] it.
    Run,
    /// The same request is at work: wait until it is settled, then ask again.
    Join,
    /// Tell this verdict; do not run it.
    Answer(RequestVerdict),
}

/// What came of a request that went to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran, and this is its answer.
    Done(TargetAnswer),
    /// It may have run.
    Unknown(UncertainReason),
}

/// One entry on its way to the next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportedRun {
    /// Which request it is.
    pub key: RecordKey,
    /// Fingerprint of method, path and body.
    pub fingerprint: u64,
    /// How long its outcome has been kept.
    pub age: Duration,
    /// What came of it.
    pub outcome: RunOutcome,
}

/// What an owner hands to the next one for a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExportedShard {
    /// The entries.
    pub runs: Vec<ExportedRun>,
    /// How long ago the record of the shard was last lost, where it was lost within the keeping time.
    pub lost_age: Option<Duration>,
}

#[derive(Clone, Debug)]
struct KeptRun {
    shard: ShardId,
    fingerprint: u64,
    bytes: usize,
    settled: Option<SettledRun>,
}

#[derive(Clone, Debug)]
struct SettledRun {
    at: BootTime,
    order: u64,
    outcome: RunOutcome,
}

/// The at-most-once record of one router.
///
/// Entries are never dropped before their time: where there is no room, new requests are refused.
/// A request that was first sent so long ago that its entry may have been dropped is not run
/// either, where its idempotency key tells its age.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    limits: RecordLimits,
    runs: HashMap<RecordKey, KeptRun>,
    by_age: BTreeMap<(BootTime, u64), RecordKey>,
    lost_at: BTreeMap<ShardId, BootTime>,
    bytes: usize,
    next_order: u64,
}

impl RunRecord {
    /// You give the bounds.
    #[must_use]
    pub fn new(limits: RecordLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Decides about a request that is about to go to the target.
    pub fn begin(&mut self, request: &RecordRequest, now: BootTime) -> RecordStep {
        self.drop_old(now);
        if let Some(run) = self.runs.get(&request.key) {
            return known_step(run, request.fingerprint);
        }
        if let Some(lost_at) = request.record_lost_at {
            self.note_loss(request.shard, lost_at);
        }
        if self.may_have_forgotten(request, now) {
            return RecordStep::Answer(RequestVerdict::MayHaveRun(UncertainReason::RecordLost));
        }
        // Room for the longest answer is set aside until the request is settled.
        let bytes = base_bytes(&request.key) + self.limits.answer_bytes;
        if !self.has_room(1, bytes) {
            let refusal = RequestVerdict::NotRun(RefusalReason::RecordFull, FULL_RETRY);
            return RecordStep::Answer(refusal);
        }
        self.bytes += bytes;
        let run = KeptRun {
            shard: request.shard,
            fingerprint: request.fingerprint,
            bytes,
            settled: None,
        };
        self.runs.insert(request.key.clone(), run);
        RecordStep::Run
    }

    /// What is known of a request that is not going to run here; `None` where nothing is.
    ///
    /// A router that may not serve the shard any more uses this, so that a resend is never told that it has
    /// not run while the first one is at work or kept.
    #[must_use]
    pub fn look_up(&self, key: &RecordKey, fingerprint: u64) -> Option<RecordStep> {
        self.runs.get(key).map(|run| known_step(run, fingerprint))
    }

    /// Keeps what came of a request that [`RecordStep::Run`] let go; one that surely has not run is
    /// forgotten.
    pub fn settle(&mut self, key: &RecordKey, verdict: &RequestVerdict, now: BootTime) {
        let outcome = match verdict {
            RequestVerdict::NotRun(..) => return self.remove(key),
            RequestVerdict::Ran(answer) if answer.body.len() > self.limits.answer_bytes => {
                RunOutcome::Unknown(UncertainReason::AnswerTooLarge)
            }
            RequestVerdict::Ran(answer) => RunOutcome::Done(answer.clone()),
            RequestVerdict::MayHaveRun(reason) => RunOutcome::Unknown(*reason),
        };
        self.keep(key, outcome, now);
    }

    /// Entries at work or kept.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.runs.len()
    }

    /// Bytes kept.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    // --- planned moves --------------------------------------------------------------------------

    /// What the next owner of a shard has to know; a request still at work counts as one that may
    /// have run.
    ///
    /// `record_lost_at` is when this owner's grant began, where an earlier owner's record was lost.
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
            lost_age: lost_age.filter(|age| *age < self.limits.keep),
        }
    }

    /// Takes what an earlier owner kept; `false` where there is no room, and then nothing is taken.
    pub fn import(&mut self, shard: ShardId, exported: ExportedShard, now: BootTime) -> bool {
        self.drop_old(now);
        let sizes = exported.runs.iter().map(run_bytes);
        if !self.has_room(exported.runs.len(), sizes.sum()) {
            return false;
        }
        if let Some(age) = exported.lost_age {
            self.note_loss(shard, now.saturating_sub(age));
        }
        for run in exported.runs {
            self.take_run(shard, run, now);
        }
        true
    }

    fn take_run(&mut self, shard: ShardId, run: ExportedRun, now: BootTime) {
        let known = self.runs.get(&run.key).and_then(|run| run.settled.as_ref());
        let keeps_answer = known.is_some_and(|run| matches!(run.outcome, RunOutcome::Done(_)));
        if keeps_answer {
            return;
        }
        self.remove(&run.key);
        let bytes = base_bytes(&run.key);
        self.bytes += bytes;
        let kept = KeptRun {
            shard,
            fingerprint: run.fingerprint,
            bytes,
            settled: None,
        };
        self.runs.insert(run.key.clone(), kept);
        self.keep(&run.key, run.outcome, now.saturating_sub(run.age));
    }

    // --- room and age ---------------------------------------------------------------------------

    fn keep(&mut self, key: &RecordKey, outcome: RunOutcome, at: BootTime) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.settled.is_some() {
            return;
        }
        let bytes = base_bytes(key) + outcome_bytes(&outcome);
        let order = self.next_order;
        self.next_order += 1;
        self.bytes = self.bytes - run.bytes + bytes;
        run.bytes = bytes;
        run.settled = Some(SettledRun { at, order, outcome });
        self.by_age.insert((at, order), key.clone());
    }

    fn remove(&mut self, key: &RecordKey) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.bytes -= run.bytes;
        if let Some(settled) = run.settled {
            self.by_age.remove(&(settled.at, settled.order));
        }
    }

    fn drop_old(&mut self, now: BootTime) {
        let Some(oldest_kept) = now.checked_sub(self.limits.keep) else {
            return;
        };
        while let Some((&(at, _), key)) = self.by_age.first_key_value() {
            if at >= oldest_kept {
                break;
            }
            let key = key.clone();
            self.remove(&key);
        }
        self.lost_at.retain(|_, at| *at >= oldest_kept);
    }

    fn note_loss(&mut self, shard: ShardId, at: BootTime) {
        let known = self.lost_at.entry(shard).or_insert(at);
        *known = at.max(*known);
    }

    /// True where an entry for the request may once have been kept and is gone.
    fn may_have_forgotten(&self, request: &RecordRequest, now: BootTime) -> bool {
        let lost_at = self.lost_at.get(&request.shard).copied();
        let lost_at = lost_at.filter(|at| now.saturating_sub(*at) < self.limits.keep);
        let dropped_before = now.checked_sub(self.limits.keep);
        let Some(first_sent) = request.first_sent else {
            return lost_at.is_some();
        };
        let horizon = lost_at.max(dropped_before);
        horizon.is_some_and(|horizon| first_sent < horizon + self.limits.clock_margin)
    }

    fn has_room(&self, entries: usize, bytes: usize) -> bool {
        self.runs.len() + entries <= self.limits.entries && self.bytes + bytes <= self.limits.bytes
    }
}

fn known_step(run: &KeptRun, fingerprint: u64) -> RecordStep {
    if run.fingerprint != fingerprint {
        let refusal = RequestVerdict::NotRun(RefusalReason::KeyReused, REUSED_RETRY);
        return RecordStep::Answer(refusal);
    }
    match run.settled.as_ref().map(|settled| &settled.outcome) {
        None => RecordStep::Join,
        Some(RunOutcome::Done(answer)) => RecordStep::Answer(RequestVerdict::Ran(answer.clone())),
        Some(RunOutcome::Unknown(reason)) => {
            RecordStep::Answer(RequestVerdict::MayHaveRun(*reason))
        }
    }
}

fn base_bytes(key: &RecordKey) -> usize {
    // Each text stands in the table and in the order of ages, as one shared allocation.
    ENTRY_BYTES + key.key.len() + key.idempotency_key.len()
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
