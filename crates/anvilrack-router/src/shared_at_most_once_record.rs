//! The at-most-once record of this router, shared by the workers that run requests.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{
    AtMostOnceKey, AtMostOnceLimits, AtMostOnceRecord, AtMostOnceRequest, BootTime, ExportedShard,
    RefusalReason, RequestVerdict, RunDecision, ShardId, UncertainReason, events,
};
use anvilrack_settings::RouterLimits;

use crate::{boot_clock, log_event};

/// At most one request per this many guard workers may wait for the outcome of an earlier attempt.
const WORKERS_PER_JOIN_SLOT: usize = 4;

/// Maximum time between two checks by a request that waits for the outcome of an earlier attempt.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The at-most-once record, with a condition variable to wait for outcomes of running requests.
pub struct SharedAtMostOnceRecord {
    record: Mutex<AtMostOnceRecord>,
    /// Notified whenever the verdict of a request is recorded.
    settled: Condvar,
    limits: AtMostOnceLimits,
    /// Number of requests that wait for the outcome of an earlier attempt.
    joining: AtomicUsize,
    /// Maximum of `joining`.
    max_joining: usize,
}

/// Allows one run of a request. [`AtMostOnceTicket::settle`] records its verdict; if the ticket is
/// dropped instead, the request is recorded as one that may have run.
pub struct AtMostOnceTicket<'a> {
    shared: &'a SharedAtMostOnceRecord,
    key: Option<AtMostOnceKey>,
}

impl SharedAtMostOnceRecord {
    /// Creates an empty record with the limits of the router's settings.
    #[must_use]
    pub fn new(limits: &RouterLimits) -> Self {
        let record_limits = AtMostOnceLimits {
            entries: limits.record_entries,
            bytes: limits.record_bytes,
            retention: Duration::from_millis(limits.record_keep_ms),
            ..AtMostOnceLimits::default()
        };
        Self {
            record: Mutex::new(AtMostOnceRecord::new(record_limits)),
            settled: Condvar::new(),
            limits: record_limits,
            joining: AtomicUsize::new(0),
            max_joining: limits.guard_workers.div_ceil(WORKERS_PER_JOIN_SLOT),
        }
    }

    /// Returns the maximum assumed difference between callers' clocks and this router's clock.
    #[must_use]
    pub fn clock_margin(&self) -> Duration {
        self.limits.clock_margin
    }

    /// Adds a request to the record and returns the ticket to run it.
    ///
    /// If an earlier attempt of the same request is running, waits for its outcome until the
    /// deadline.
    ///
    /// # Errors
    ///
    /// Returns the verdict for the caller if the request must not run: the outcome of an earlier
    /// attempt, or the reason for a refusal.
    pub fn begin(
        &self,
        request: &AtMostOnceRequest,
        deadline: BootTime,
    ) -> Result<AtMostOnceTicket<'_>, RequestVerdict> {
        let mut record = self.record();
        loop {
            match record.begin(request, boot_clock::now()) {
                RunDecision::Run => return Ok(self.ticket(request)),
                RunDecision::Answer(verdict) => {
                    log_if_record_full(&verdict, record.entries(), record.bytes());
                    return Err(verdict);
                }
                RunDecision::Join => record = self.join(record, deadline)?,
            }
        }
    }

    /// Returns the outcome of an earlier attempt of a request that this router must not run; `None`
    /// if the record has no entry. Waits at most until the deadline for an attempt that is running.
    pub fn look_up(
        &self,
        key: &AtMostOnceKey,
        fingerprint: u64,
        deadline: BootTime,
    ) -> Option<RequestVerdict> {
        let mut record = self.record();
        loop {
            match record.look_up(key, fingerprint)? {
                RunDecision::Run => return None,
                RunDecision::Answer(verdict) => return Some(verdict),
                RunDecision::Join => match self.join(record, deadline) {
                    Ok(reacquired) => record = reacquired,
                    Err(verdict) => return Some(verdict),
                },
            }
        }
    }

    /// Returns the entries of a shard for its next owner.
    #[must_use]
    pub fn export(&self, shard: ShardId, record_lost_at: Option<BootTime>) -> ExportedShard {
        self.record()
            .export(shard, record_lost_at, boot_clock::now())
    }

    /// Adds the entries of a shard from its previous owner; returns `false` if they don't fit.
    pub fn import(&self, shard: ShardId, exported: ExportedShard) -> bool {
        self.record().import(shard, exported, boot_clock::now())
    }

    fn ticket(&self, request: &AtMostOnceRequest) -> AtMostOnceTicket<'_> {
        AtMostOnceTicket {
            shared: self,
            key: Some(request.key.clone()),
        }
    }

    /// Waits at most [`JOIN_CHECK_INTERVAL`] for the outcome of the running attempt. If the
    /// deadline has passed or too many requests are waiting, the verdict is `MayHaveRun`, never
    /// `NotRun`, because the running attempt is the same request.
    fn join<'a>(
        &'a self,
        record: MutexGuard<'a, AtMostOnceRecord>,
        deadline: BootTime,
    ) -> Result<MutexGuard<'a, AtMostOnceRecord>, RequestVerdict> {
        let remaining = deadline.saturating_sub(boot_clock::now());
        let joining_before = self.joining.fetch_add(1, Ordering::Relaxed);
        if remaining.is_zero() || joining_before >= self.max_joining {
            self.joining.fetch_sub(1, Ordering::Relaxed);
            let reason = if remaining.is_zero() {
                UncertainReason::TimedOut
            } else {
                UncertainReason::AtWork
            };
            return Err(RequestVerdict::MayHaveRun(reason));
        }
        let waited = self
            .settled
            .wait_timeout(record, remaining.min(JOIN_CHECK_INTERVAL));
        self.joining.fetch_sub(1, Ordering::Relaxed);
        Ok(waited.map_or_else(|error| error.into_inner().0, |(record, _)| record))
    }

    fn record(&self) -> MutexGuard<'_, AtMostOnceRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AtMostOnceTicket<'_> {
    /// Records the verdict of the request and wakes the requests that wait for it.
    pub fn settle(mut self, verdict: &RequestVerdict) {
        self.settle_if_open(verdict);
    }

    fn settle_if_open(&mut self, verdict: &RequestVerdict) {
        let Some(key) = self.key.take() else {
            return;
        };
        let now = boot_clock::now();
        self.shared.record().settle(&key, verdict, now);
        self.shared.settled.notify_all();
    }
}

impl Drop for AtMostOnceTicket<'_> {
    fn drop(&mut self) {
        self.settle_if_open(&RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost));
    }
}

fn log_if_record_full(verdict: &RequestVerdict, entries: usize, bytes: usize) {
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
