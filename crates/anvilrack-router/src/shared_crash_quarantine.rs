//! Quarantine for requests that crash targets, shared by all threads of this router.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use anvilrack_core::{
    BootTime, CrashQuarantine, CrashReport, RefusalReason, RequestFingerprint, RequestVerdict,
    events, fingerprint_of,
};
use anvilrack_wire::ForwardRequest;

use crate::{boot_clock, log_event};

/// The quarantine and the state for exchanging it with the coordinator and the cell's members.
pub struct SharedCrashQuarantine {
    quarantine: Mutex<CrashQuarantine>,
    /// `false` until the first crash is recorded or reported, so that the usual case needs no lock.
    in_use: AtomicBool,
    /// Digest of the coordinator's quarantine in its last reply.
    coordinator_digest: AtomicU64,
}

impl SharedCrashQuarantine {
    /// Creates an empty quarantine; `name` must be unique to this incarnation of the router.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            quarantine: Mutex::new(CrashQuarantine::new(name)),
            in_use: AtomicBool::new(false),
            coordinator_digest: AtomicU64::new(0),
        }
    }

    /// Checks whether a request is in quarantine.
    ///
    /// # Errors
    ///
    /// Returns `NotRun(Quarantined)` with the remaining time of the quarantine.
    pub fn check(&self, request: &ForwardRequest) -> Result<(), RequestVerdict> {
        if !self.in_use.load(Ordering::Relaxed) {
            return Ok(());
        }
        let fingerprint = request_fingerprint(request);
        let quarantined_for = self
            .quarantine()
            .remaining_quarantine(fingerprint, boot_clock::now());
        let Some(remaining) = quarantined_for else {
            return Ok(());
        };
        log_event!(
            Info,
            events::REQUEST_QUARANTINED,
            "request" = fingerprint,
            "left_s" = remaining.as_secs()
        );
        Err(RequestVerdict::NotRun(
            RefusalReason::Quarantined,
            remaining,
        ))
    }

    /// Records that the target crashed while it ran this request, which was sent to it at
    /// `sent_at`.
    pub fn on_crash(&self, request: &ForwardRequest, sent_at: BootTime) {
        let fingerprint = request_fingerprint(request);
        let crashes = self
            .quarantine()
            .on_crash(fingerprint, sent_at, boot_clock::now());
        self.in_use.store(true, Ordering::Relaxed);
        log_event!(
            Warn,
            events::CRASH_SUSPECTED,
            "service" = request.service,
            "key" = request.key,
            "request" = fingerprint,
            "crashes" = crashes
        );
    }

    /// Records that the target ran this request to its end.
    pub fn on_completed(&self, request: &ForwardRequest) {
        if self.in_use.load(Ordering::Relaxed) {
            let fingerprint = request_fingerprint(request);
            self.quarantine().on_completed(fingerprint);
        }
    }

    // --- exchange with other routers ------------------------------------------------------------

    /// Returns the report for the coordinator.
    pub fn report(&self) -> CrashReport {
        let known_digest = self.coordinator_digest.load(Ordering::Relaxed);
        self.quarantine().report(known_digest, boot_clock::now())
    }

    /// Merges the coordinator's reply and stores its digest.
    pub fn merge_coordinator_reply(&self, report: &CrashReport) {
        self.merge(report);
        self.coordinator_digest
            .store(report.digest, Ordering::Relaxed);
    }

    /// Merges a member's report; returns the entries that the member lacks.
    pub fn merge_member_report(&self, report: &CrashReport) -> CrashReport {
        self.merge(report);
        self.quarantine().report(report.digest, boot_clock::now())
    }

    fn merge(&self, report: &CrashReport) {
        if report.marks.is_empty() {
            return;
        }
        self.quarantine().merge(report, boot_clock::now());
        self.in_use.store(true, Ordering::Relaxed);
    }

    fn quarantine(&self) -> MutexGuard<'_, CrashQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a fingerprint that is the same for all resends of a request.
fn request_fingerprint(request: &ForwardRequest) -> RequestFingerprint {
    let body_fingerprint = fingerprint_of(&[&request.body.0]).to_le_bytes();
    let request_id = match &request.idempotency_key {
        Some(idempotency_key) => idempotency_key.as_bytes(),
        None => &body_fingerprint,
    };
    fingerprint_of(&[
        request.service.as_bytes(),
        request.method.as_bytes(),
        request.key.as_bytes(),
        request_id,
    ])
}
