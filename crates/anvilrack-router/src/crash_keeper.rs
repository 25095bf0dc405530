//! What this router knows of crashing requests, shared by all its threads.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use anvilrack_core::{
    BootTime, CrashQuarantine, CrashReport, RefusalReason, RequestPrint, RequestVerdict, events,
    fingerprint_of,
};
use anvilrack_wire::ForwardRequest;

use crate::{boot_clock, log_event};

/// The quarantine with what is needed to spread it.
pub struct CrashKeeper {
    quarantine: Mutex<CrashQuarantine>,
    /// False while no crash is remembered, which is nearly always.
    in_use: AtomicBool,
    /// What the coordinator last said that it has.
    coordinator_digest: AtomicU64,
}

impl CrashKeeper {
    /// You give a name that no other run of a router has.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            quarantine: Mutex::new(CrashQuarantine::new(name)),
            in_use: AtomicBool::new(false),
            coordinator_digest: AtomicU64::new(0),
        }
    }

    /// Looks whether a request is kept off the targets.
    ///
    /// # Errors
    ///
    /// The refusal, with the time that is left.
    pub fn check(&self, request: &ForwardRequest) -> Result<(), RequestVerdict> {
        if !self.in_use.load(Ordering::Relaxed) {
            return Ok(());
        }
        let print = print_of(request);
        let kept_off = self.quarantine().kept_off(print, boot_clock::now());
        let Some(left) = kept_off else {
            return Ok(());
        };
        log_event!(
            Info,
            events::REQUEST_QUARANTINED,
            "request" = print,
            "left_s" = left.as_secs()
        );
        Err(RequestVerdict::NotRun(RefusalReason::Quarantined, left))
    }

    /// The target crashed with this request, which went to it at `began`.
    pub fn on_crash(&self, request: &ForwardRequest, began: BootTime) {
        let print = print_of(request);
        let crashes = self.quarantine().on_crash(print, began, boot_clock::now());
        self.in_use.store(true, Ordering::Relaxed);
        log_event!(
            Warn,
            events::CRASH_SUSPECTED,
            "service" = request.service,
            "key" = request.key,
            "request" = print,
            "crashes" = crashes
        );
    }

    // --- spreading ------------------------------------------------------------------------------

    /// What to tell the coordinator.
    pub fn report(&self) -> CrashReport {
        let known = self.coordinator_digest.load(Ordering::Relaxed);
        self.quarantine().report(known, boot_clock::now())
    }

    /// Takes what the coordinator told.
    pub fn on_reply(&self, report: &CrashReport) {
        self.merge(report);
        self.coordinator_digest
            .store(report.digest, Ordering::Relaxed);
    }

    /// Takes what a member told; returns what it lacks.
    pub fn on_report(&self, report: &CrashReport) -> CrashReport {
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

/// What is alike in all resends of a request.
fn print_of(request: &ForwardRequest) -> RequestPrint {
    let body_print = fingerprint_of(&[&request.body.0]).to_le_bytes();
    let own = match &request.idempotency_key {
        Some(idempotency_key) => idempotency_key.as_bytes(),
        None => &body_print,
    };
    fingerprint_of(&[
        request.service.as_bytes(),
        request.method.as_bytes(),
        request.key.as_bytes(),
        own,
    ])
}
