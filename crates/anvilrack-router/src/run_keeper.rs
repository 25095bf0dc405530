//! The at-most-once record of this router, shared by the guard's workers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{
    BootTime, ExportedShard, RecordKey, RecordLimits, RecordRequest, RecordStep, RefusalReason,
    RequestVerdict, RunRecord, ShardId, UncertainReason, events,
};
use anvilrack_settings::RouterLimits;

use crate::{boot_clock, log_event};

/// One in so many of the guard's workers may wait for a request that is at work already.
const JOIN_SHARE: usize = 4;

/// Longest time between two looks of a request that waits for another.
const JOIN_STEP: Duration = Duration::from_millis(50);

/// The record with what is needed to wait for it.
pub struct RunKeeper {
    record: Mutex<RunRecord>,
    settled: Condvar,
    limits: RecordLimits,
    joined: AtomicUsize,
    join_limit: usize,
}

/// Leave to run a request once. Settle it with its verdict; one that is dropped counts as one that
/// may have run.
pub struct RunTicket<'a> {
    keeper: &'a RunKeeper,
    key: Option<RecordKey>,
}

impl RunKeeper {
    /// You give the router's bounds.
    #[must_use]
    pub fn new(limits: &RouterLimits) -> Self {
        let record_limits = RecordLimits {
            entries: limits.record_entries,
            bytes: limits.record_bytes,
            keep: Duration::from_millis(limits.record_keep_ms),
            ..RecordLimits::default()
        };
        Self {
            record: Mutex::new(RunRecord::new(record_limits)),
            settled: Condvar::new(),
            limits: record_limits,
            joined: AtomicUsize::new(0),
            join_limit: limits.guard_workers.div_ceil(JOIN_SHARE),
        }
    }

    /// By how much callers' clocks and this router's may differ.
    #[must_use]
    pub fn clock_margin(&self) -> Duration {
        self.limits.clock_margin
    }

    /// Leave to run a request, or the verdict to tell in place of running it.
    ///
    /// Where the same request is at work, this waits for its outcome until the deadline.
    ///
    /// # Errors
    ///
    /// The verdict to tell.
    pub fn begin(
        &self,
        request: &RecordRequest,
        deadline: BootTime,
    ) -> Result<RunTicket<'_>, RequestVerdict> {
        let mut record = self.record();
        loop {
            match record.begin(request, boot_clock::now()) {
                RecordStep::Run => return Ok(self.ticket(request)),
                RecordStep::Answer(verdict) => {
                    tell_full(&verdict, record.entries(), record.bytes());
                    return Err(verdict);
                }
                RecordStep::Join => record = self.join(record, deadline)?,
            }
        }
    }

    /// What to tell of a request that will not run here: the outcome of the same request where one is
    /// known, waiting for one that is at work; `None` where nothing is known.
    pub fn look_up(
        &self,
        key: &RecordKey,
        fingerprint: u64,
        deadline: BootTime,
    ) -> Option<RequestVerdict> {
        let mut record = self.record();
        loop {
            match record.look_up(key, fingerprint)? {
                RecordStep::Run => return None,
                RecordStep::Answer(verdict) => return Some(verdict),
                RecordStep::Join => match self.join(record, deadline) {
                    Ok(later) => record = later,
                    Err(verdict) => return Some(verdict),
                },
            }
        }
    }

    /// The entries of a shard for its next owner.
    #[must_use]
    pub fn export(&self, shard: ShardId, record_lost_at: Option<BootTime>) -> ExportedShard {
        self.record()
            .export(shard, record_lost_at, boot_clock::now())
    }

    /// Takes the entries of a shard from its earlier owner; `false` where there is no room.
    pub fn import(&self, shard: ShardId, exported: ExportedShard) -> bool {
        self.record().import(shard, exported, boot_clock::now())
    }

    fn ticket(&self, request: &RecordRequest) -> RunTicket<'_> {
        RunTicket {
            keeper: self,
            key: Some(request.key.clone()),
        }
    }

    /// Waits a little for the request at work; the request that waits has run or will, as far as
    /// anyone can tell, so it is never told that it has not.
    fn join<'a>(
        &'a self,
        record: MutexGuard<'a, RunRecord>,
        deadline: BootTime,
    ) -> Result<MutexGuard<'a, RunRecord>, RequestVerdict> {
        let left = deadline.saturating_sub(boot_clock::now());
        let others = self.joined.fetch_add(1, Ordering::Relaxed);
        if left.is_zero() || others >= self.join_limit {
            self.joined.fetch_sub(1, Ordering::Relaxed);
            let reason = if left.is_zero() {
                UncertainReason::TimedOut
            } else {
                UncertainReason::AtWork
            };
            return Err(RequestVerdict::MayHaveRun(reason));
        }
        let waited = self.settled.wait_timeout(record, left.min(JOIN_STEP));
        self.joined.fetch_sub(1, Ordering::Relaxed);
        Ok(waited.map_or_else(|error| error.into_inner().0, |(record, _)| record))
    }

    fn record(&self) -> MutexGuard<'_, RunRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunTicket<'_> {
    /// Keeps what came of the request.
    pub fn settle(mut self, verdict: &RequestVerdict) {
        self.settle_once(verdict);
    }

    fn settle_once(&mut self, verdict: &RequestVerdict) {
        let Some(key) = self.key.take() else {
            return;
        };
        let now = boot_clock::now();
        self.keeper.record().settle(&key, verdict, now);
        self.keeper.settled.notify_all();
    }
}

impl Drop for RunTicket<'_> {
    fn drop(&mut self) {
        self.settle_once(&RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost));
    }
}

fn tell_full(verdict: &RequestVerdict, entries: usize, bytes: usize) {
    if matches!(
        verdict,
        RequestVerdict::NotRun(RefusalReason::RecordFull, _)
    ) {
        log_event!(
            Warn,
            events::RECORD_FULL,
            "entries" = entries,
            "bytes" = bytes
        );
    }
}
