//! Keeps requests that crash targets away from them, and tells other routers about these requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anvilrack_core::{
    BootTime, CrashObservation, CrashQuarantine, CrashReport, RequestFingerprint,
};
use anvilrack_router::boot_clock;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::mutex_lock::lock;
use crate::peers::{CallError, PeerCall, PeerReply};
use crate::{NodeState, PlatformDialect};

/// How long an abandoned run counts as running: the target may not have noticed yet that its caller is
/// gone.
const ABANDONED_RETENTION: Duration = Duration::from_secs(1);

/// Maximum number of abandoned runs that are remembered; the oldest are removed first.
const MAX_ABANDONED: usize = 256;

/// Maximum age of the crashes that a router reports to the others of its service at once.
const RECENT_CRASH_AGE: Duration = Duration::from_secs(10);

/// Interval between two exchanges of crash reports with another router.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between two attempts to get the crashes that were observed before this router started.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time after its start for which a router that has reached neither the store nor a router that
/// knows earlier crashes sends no requests to its target.
const MAX_JOIN_TIME: Duration = Duration::from_secs(2);

/// Timeout of a call that exchanges crash reports.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// What this router knows about requests that were running when targets crashed.
#[derive(Debug)]
pub struct CrashMonitor {
    quarantine: Mutex<CrashQuarantine>,
    abandoned: Mutex<VecDeque<AbandonedRun>>,
    /// Held by the suspect that the local target runs.
    ///
    /// Suspects run one at a time, so that at most one of them can be at a second crash.
    suspect_turn: tokio::sync::Mutex<()>,
    /// Notified when the local target has crashed.
    crashed: Notify,
    /// Notified when observations were added, which may have completed a quarantine.
    observations_added: Notify,
    started_at: BootTime,
    /// Whether the crashes are known that were observed before this router started.
    knows_earlier: AtomicBool,
}

/// A run whose end this router has not seen.
#[derive(Clone, Copy, Debug)]
struct AbandonedRun {
    request: RequestFingerprint,
    started_at: BootTime,
    abandoned_at: BootTime,
}

/// A request that the local target runs; dropping it before [`Self::close`] abandons the run.
#[derive(Debug)]
pub struct MonitoredRun<'a> {
    monitor: &'a CrashMonitor,
    request: RequestFingerprint,
    started_at: BootTime,
    closed: bool,
}

/// The right of a suspect to run at the local target.
pub type SuspectTurn<'a> = tokio::sync::MutexGuard<'a, ()>;

impl CrashMonitor {
    /// Creates a monitor without observations; `name` must be unique among all runs of all routers.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            quarantine: Mutex::new(CrashQuarantine::new(name)),
            abandoned: Mutex::default(),
            suspect_turn: tokio::sync::Mutex::default(),
            crashed: Notify::new(),
            observations_added: Notify::new(),
            started_at: boot_clock::now(),
            knows_earlier: AtomicBool::new(false),
        }
    }

    /// Returns false while this router has just started and may not know of requests that crash targets.
    #[must_use]
    pub fn has_joined(&self) -> bool {
        self.knows_earlier_crashes() || boot_clock::now() >= self.started_at + MAX_JOIN_TIME
    }

    /// Returns true once this router has the crashes that were observed before it started, from the store
    /// or from a router that has them.
    #[must_use]
    pub fn knows_earlier_crashes(&self) -> bool {
        self.knows_earlier.load(Ordering::Relaxed)
    }

    /// Merges observations of another router or the store.
    pub fn merge(&self, report: &CrashReport) {
        self.quarantine().merge(report, boot_clock::now());
        self.observations_added.notify_one();
    }

    /// Merges a report with all crashes that were observed before this router started.
    pub fn merge_earlier_crashes(&self, report: &CrashReport) {
        self.merge(report);
        self.knows_earlier.store(true, Ordering::Relaxed);
    }

    /// Merges the reply of a router; only one that knows the crashes before its own start can tell those
    /// before the start of this one.
    pub fn merge_reply(&self, report: &CrashReport, knows_earlier: bool) {
        if knows_earlier {
            self.merge_earlier_crashes(report);
        } else {
            self.merge(report);
        }
    }

    /// Completes when observations were added after the last call.
    pub async fn observations_added(&self) {
        self.observations_added.notified().await;
    }

    /// Returns the crashes of quarantined requests.
    #[must_use]
    pub fn quarantined_crashes(&self) -> Vec<CrashObservation> {
        self.quarantine().quarantined_crashes(boot_clock::now())
    }

    /// Returns the crashes of quarantined requests that this router has detected itself.
    #[must_use]
    pub fn detected_quarantined_crashes(&self) -> Vec<CrashObservation> {
        let now = boot_clock::now();
        self.quarantine().detected_quarantined_crashes(now)
    }

    /// Returns the remaining quarantine of a request, or `None` if it may run.
    #[must_use]
    pub fn remaining_quarantine(&self, request: RequestFingerprint) -> Option<Duration> {
        let now = boot_clock::now();
        self.quarantine().remaining_quarantine(request, now)
    }

    /// Returns true if the request was running at a crash and may have caused it.
    #[must_use]
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        self.quarantine().is_suspect(request)
    }

    /// Waits until no other suspect runs at the local target.
    pub async fn suspect_turn(&self) -> SuspectTurn<'_> {
        self.suspect_turn.lock().await
    }

    /// Records that the local target begins to run a request.
    #[must_use]
    pub fn begin_run(&self, request: RequestFingerprint) -> MonitoredRun<'_> {
        MonitoredRun {
            monitor: self,
            request,
            started_at: boot_clock::now(),
            closed: false,
        }
    }

    /// Merges the observations of another router and returns those that it lacks.
    pub fn exchange(&self, report: &CrashReport) -> CrashReport {
        self.merge(report);
        self.quarantine().report(report.digest, boot_clock::now())
    }

    fn on_crash(&self, request: RequestFingerprint, started_at: BootTime) -> usize {
        let now = boot_clock::now();
        let mut quarantine = self.quarantine();
        for run in lock(&self.abandoned).drain(..) {
            if now < run.abandoned_at + ABANDONED_RETENTION {
                quarantine.on_crash(run.request, run.started_at, now);
            }
        }
        let crashes = quarantine.on_crash(request, started_at, now);
        self.crashed.notify_one();
        self.observations_added.notify_one();
        crashes
    }

    fn abandon(&self, run: AbandonedRun) {
        let mut abandoned = lock(&self.abandoned);
        if abandoned.len() >= MAX_ABANDONED {
            abandoned.pop_front();
        }
        abandoned.push_back(run);
    }

    fn quarantine(&self) -> MutexGuard<'_, CrashQuarantine> {
        lock(&self.quarantine)
    }
}

impl MonitoredRun<'_> {
    /// Records that the target has crashed, and returns the number of crashes at which the request was
    /// running.
    #[must_use]
    pub fn close_crashed(mut self) -> usize {
        self.closed = true;
        self.monitor.on_crash(self.request, self.started_at)
    }

    /// Records that the target has responded.
    pub fn close_completed(mut self) {
        self.closed = true;
        self.monitor.quarantine().on_completed(self.request);
    }

    /// Records that the target has ended the run without a response, and did not crash.
    pub fn close(mut self) {
        self.closed = true;
    }
}

impl Drop for MonitoredRun<'_> {
    fn drop(&mut self) {
        if !self.closed {
            self.monitor.abandon(AbandonedRun {
                request: self.request,
                started_at: self.started_at,
                abandoned_at: boot_clock::now(),
            });
        }
    }
}

/// Reports each crash of the local target to the other routers of its service at once, before the request
/// can come again through one of them.
pub async fn report_crashes<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let monitor = &node.crash_monitor;
    loop {
        monitor.crashed.notified().await;
        let report = monitor
            .quarantine()
            .recent_report(RECENT_CRASH_AGE, boot_clock::now());
        let routers = node.service_addresses(&node.settings.service);
        let call = PeerCall::Crashes(report);
        let replies = node.links.call_all(routers, &call, EXCHANGE_TIMEOUT).await;
        for reply in replies.into_iter().flatten() {
            merge_reply(&node, &reply);
        }
    }
}

/// Exchanges crash reports with routers selected at random, so that all learn of a crash in time, also
/// those that were out of reach or not yet running.
pub async fn exchange_crashes<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let monitor = &node.crash_monitor;
    loop {
        let interval = if monitor.has_joined() {
            EXCHANGE_INTERVAL
        } else {
            JOIN_INTERVAL
        };
        sleep(interval).await;
        if monitor.knows_earlier_crashes() && monitor.quarantine().is_empty() {
            continue;
        }
        // Without the store, routers that have opened a link to this one are known first.
        let routers = node.known_router_addresses();
        let Some(router) = routers.choose(&mut rand::rng()).copied() else {
            continue;
        };
        if let Err(error) = exchange_with(&node, router).await {
            log::debug!("cannot exchange crash reports with {router}: {error}");
        }
    }
}

/// Gets the observations that this router lacks, and sends those that the other one lacks.
async fn exchange_with<D: PlatformDialect>(
    node: &NodeState<D>,
    router: SocketAddr,
) -> Result<(), CallError> {
    let monitor = &node.crash_monitor;
    let digest = CrashReport {
        digest: monitor.quarantine().digest(),
        marks: Vec::new(),
    };
    let call = PeerCall::Crashes(digest);
    let (reply, _) = node.links.call(router, &call, EXCHANGE_TIMEOUT).await?;
    let known = merge_reply(node, &reply);
    let missing = monitor.quarantine().report(known, boot_clock::now());
    if !missing.marks.is_empty() {
        let call = PeerCall::Crashes(missing);
        node.links.call(router, &call, EXCHANGE_TIMEOUT).await?;
    }
    Ok(())
}

/// Merges the observations in a reply and returns the digest of the router that sent it.
fn merge_reply<D: PlatformDialect>(node: &NodeState<D>, reply: &PeerReply) -> u64 {
    let PeerReply::Crashes(report, knows_earlier) = reply else {
        return 0;
    };
    node.crash_monitor.merge_reply(report, *knows_earlier);
    report.digest
}
