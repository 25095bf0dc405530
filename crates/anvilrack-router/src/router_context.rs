//! The state that the threads of a router share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{
    CellMember, CellRecord, ConfigRecord, ConnectionShares, CoordinatorState, Incarnation,
    LeaseTerms, MemberReport, NodeId, OwnerState, PlacementHistory, RecordDelta, ReleaseReport,
    ReportSequence, RouteTable, ServiceName, StandbyState, events,
};
use anvilrack_limits::{ConnectionGate, MemoryPool, descriptor_limit};
use anvilrack_peer::PeerLinks;
use anvilrack_settings::RouterSettings;
use anvilrack_store::HttpStore;
use anvilrack_wire::{TableDigest, TableUpdate};
use crossbeam::channel::{Receiver, Sender, bounded};
use crossbeam::sync::ShardedLock;
use tokio::runtime::Handle;

use crate::admission_control::AdmissionControl;
use crate::announced_target::AnnouncedTarget;
use crate::load_meter::LoadMeter;
use crate::release_tracker::ReleaseTracker;
use crate::retry_limiter::RetryLimiter;
use crate::router_metrics::RouterMetrics;
use crate::service_selectors::ServiceSelectors;
use crate::shared_at_most_once_record::SharedAtMostOnceRecord;
use crate::shared_crash_quarantine::SharedCrashQuarantine;
use crate::worker_shares::WorkerShares;
use crate::{boot_clock, log_event};

/// Bytes in a megabyte of the settings.
const MEGABYTE: usize = 1_000_000;

/// The state of one router process.
///
/// Each lock guards one value and is held only briefly; no lock is held during I/O.
pub struct RouterContext {
    /// The settings, as read from the settings file.
    pub settings: RouterSettings,
    /// Identifies this run of the router process: its start time in milliseconds since the Unix
    /// epoch.
    pub incarnation: Incarnation,
    /// Lease, heartbeat and timeout durations of the deployment.
    pub terms: LeaseTerms,
    /// Client of the platform's key-value store.
    pub store: HttpStore,
    /// Memory for the bodies of requests and replies.
    pub memory: MemoryPool,
    /// Connections of callers.
    pub caller_gate: Arc<ConnectionGate>,
    /// Links from other routers.
    pub peer_gate: Arc<ConnectionGate>,
    /// Connections to other routers.
    pub links: PeerLinks,
    /// Metrics for the operators' monitoring.
    pub metrics: RouterMetrics,
    /// Requests in flight by shard, and the shards that this router has released.
    pub releases: ReleaseTracker,
    /// The at-most-once record: outcomes of non-idempotent requests by idempotency key.
    pub at_most_once_record: SharedAtMostOnceRecord,
    /// Admission control for the local target.
    pub admission: AdmissionControl,
    /// Request load by shard, reported to the coordinator for placement.
    pub meter: LoadMeter,
    /// Fair shares of the caller workers among services and callers.
    pub worker_shares: WorkerShares,
    /// Target selection for services that are not divided by key.
    pub service_selectors: ServiceSelectors,
    /// The budget that limits retries.
    pub retries: RetryLimiter,
    /// Detects and quarantines requests that crash targets.
    pub crash_quarantine: SharedCrashQuarantine,
    owner: Mutex<OwnerState>,
    standby: Mutex<StandbyState>,
    coordinator: Mutex<Option<CoordinatorState>>,
    placement_history: Mutex<PlacementHistory>,
    target: Mutex<AnnouncedTarget>,
    routes: ShardedLock<Arc<RouteTable>>,
    heartbeat_triggers: (Sender<()>, Receiver<()>),
    full_digest_wanted: AtomicBool,
    next_report_number: AtomicU64,
    leaving: AtomicBool,
    stopping: AtomicBool,
    threads_ended: AtomicBool,
}

impl RouterContext {
    /// Creates the state of a router; links to other routers run on `runtime`.
    #[must_use]
    pub fn new(settings: RouterSettings, runtime: Handle) -> Self {
        let terms = LeaseTerms::default();
        let incarnation = boot_clock::unix_ms();
        let node = settings.node.clone();
        let now = boot_clock::now();
        let own = member_of(&settings, incarnation, false);
        let limits = &settings.limits;
        let memory = limits.memory_mb * MEGABYTE;
        let descriptors = limits.max_descriptors.unwrap_or_else(descriptor_limit);
        let shares = ConnectionShares::new(descriptors as usize, memory);
        let memory = MemoryPool::of_process(memory.saturating_sub(limits.record_bytes));
        Self {
            caller_gate: ConnectionGate::new(shares.callers),
            peer_gate: ConnectionGate::new(shares.routers),
            service_selectors: ServiceSelectors::new(settings.policies.choice, own),
            store: HttpStore::new(settings.store),
            links: PeerLinks::with_memory(runtime, memory.clone()),
            memory,
            releases: ReleaseTracker::default(),
            at_most_once_record: SharedAtMostOnceRecord::new(&settings.limits),
            admission: AdmissionControl::new(settings.policies.admission),
            meter: LoadMeter::new(settings.policies.placement),
            worker_shares: WorkerShares::new(settings.limits.caller_workers),
            retries: RetryLimiter::new(&settings.limits),
            crash_quarantine: SharedCrashQuarantine::new(&format!("{node}/{incarnation}")),
            owner: Mutex::new(OwnerState::new(node.clone(), incarnation, terms)),
            standby: Mutex::new(StandbyState::new(node, incarnation, terms, now)),
            coordinator: Mutex::new(None),
            placement_history: Mutex::default(),
            target: Mutex::default(),
            metrics: RouterMetrics::new(&settings.node),
            routes: ShardedLock::new(Arc::default()),
            heartbeat_triggers: bounded(1),
            full_digest_wanted: AtomicBool::new(true),
            next_report_number: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            threads_ended: AtomicBool::new(false),
            settings,
            incarnation,
            terms,
        }
    }

    /// Returns this router's name.
    pub fn node(&self) -> &NodeId {
        &self.settings.node
    }

    /// Locks the state of the shards that this router owns.
    pub fn owner(&self) -> MutexGuard<'_, OwnerState> {
        lock(&self.owner)
    }

    /// Locks the state of this router as a possible successor of its coordinator.
    pub fn standby(&self) -> MutexGuard<'_, StandbyState> {
        lock(&self.standby)
    }

    /// Locks the coordinator state, which is `None` while another router coordinates the cell.
    pub fn coordinator(&self) -> MutexGuard<'_, Option<CoordinatorState>> {
        lock(&self.coordinator)
    }

    /// Locks the history of the placement decisions that this router made as coordinator.
    pub fn placement_history(&self) -> MutexGuard<'_, PlacementHistory> {
        lock(&self.placement_history)
    }

    /// Locks the state of the local target.
    pub fn target(&self) -> MutexGuard<'_, AnnouncedTarget> {
        lock(&self.target)
    }

    /// Returns a snapshot of the routing tables.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the service of the local target, or `None` until the target has announced itself.
    pub fn service(&self) -> Option<ServiceName> {
        self.target().service()
    }

    /// Returns the record of this router's own cell, or `None` while it is unknown.
    pub fn own_cell(&self) -> Option<Arc<CellRecord>> {
        let service = self.service()?;
        self.routes().cell(&service).cloned()
    }

    // --- tables ---------------------------------------------------------------------------------

    /// Returns the versions of all records that this router has.
    pub fn digest(&self) -> TableDigest {
        let routes = self.routes();
        TableDigest {
            cells: routes.digest(),
            revision: routes.config().revision,
            summary: None,
        }
    }

    /// Returns the digest for a heartbeat: shortened, unless the last reply requested a full one.
    pub fn heartbeat_digest(&self, service: &str) -> TableDigest {
        let digest = self.digest();
        if self.full_digest_wanted.swap(false, Ordering::SeqCst) {
            digest
        } else {
            digest.shortened(service)
        }
    }

    /// Returns the records that are newer than those of a peer with this digest.
    pub fn update_for(&self, digest: &TableDigest) -> TableUpdate {
        let routes = self.routes();
        let changes = match digest.summary {
            None => routes.changes_since(&digest.cells),
            Some(hash) if hash == self.digest().hash() => return TableUpdate::default(),
            Some(_) => routes.changes_for_cells(&digest.cells),
        };
        TableUpdate {
            cells: changes.cells,
            deltas: changes.deltas,
            config: routes.config_newer_than(digest.revision),
            wants_digest: digest.summary.is_some(),
        }
    }

    /// Applies every record in the update that is newer than this router's.
    pub fn accept_update(&self, update: TableUpdate) {
        for cell in update.cells {
            self.accept_cell(cell);
        }
        if !update.deltas.is_empty() {
            self.accept_deltas(&update.deltas);
        }
        if update.wants_digest {
            self.full_digest_wanted.store(true, Ordering::SeqCst);
            self.trigger_heartbeat();
        }
        if let Some(config) = update.config {
            self.accept_config(config);
        }
    }

    fn accept_deltas(&self, deltas: &[Arc<RecordDelta>]) {
        let mut records = Vec::new();
        self.change_routes(|routes| {
            records = routes.records_from_deltas(deltas);
            // Deltas that do not apply are stored in the table too, so the table always changes.
            true
        });
        for record in records {
            self.accept_cell(record);
        }
    }

    /// Stores a cell's record if it is newer.
    ///
    /// The owner state is updated first, so that no route points to this router before the router
    /// knows of its grant.
    pub fn accept_cell(&self, cell: Arc<CellRecord>) {
        if self.service().as_ref() == Some(&cell.service) {
            self.owner().on_record(&cell, boot_clock::now());
        }
        self.change_routes(|routes| routes.accept_cell(cell));
    }

    /// Stores a configuration if it is newer, and logs one that is older.
    pub fn accept_config(&self, config: Arc<ConfigRecord>) {
        let known = self.routes().config().revision;
        let revision = config.revision;
        if self.change_routes(|routes| routes.accept_config(config)) {
            log_event!(Info, events::CONFIG_TAKEN, "revision" = revision);
        } else if revision < known {
            let offered = revision;
            log_event!(
                Warn,
                events::CONFIG_REFUSED,
                "offered" = offered,
                "known" = known
            );
        }
    }

    fn change_routes(&self, change: impl FnOnce(&mut RouteTable) -> bool) -> bool {
        let mut shared = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        let mut table = RouteTable::clone(&shared);
        let changed = change(&mut table);
        if changed {
            *shared = Arc::new(table);
        }
        changed
    }

    // --- this router as a member ----------------------------------------------------------------

    /// Returns the description of this router that goes into the cell's record.
    pub fn member(&self) -> CellMember {
        member_of(&self.settings, self.incarnation, self.is_leaving())
    }

    /// Creates the report for the next heartbeat, with the next sequence number.
    pub fn report(&self) -> MemberReport {
        let (epoch, former) = {
            let owner = self.owner();
            (owner.epoch(), owner.former().collect::<Vec<_>>())
        };
        let mut released = self.releases.reports();
        // The former process is the only one that served these shards, and it has ended.
        let former = former.into_iter();
        released.extend(former.map(|(shard, token)| ReleaseReport::new(shard, token)));
        MemberReport {
            member: self.member(),
            mark: ReportSequence {
                run: self.incarnation,
                number: self.next_report_number.fetch_add(1, Ordering::SeqCst),
            },
            epoch,
            ready: self.target().is_ready(boot_clock::now()),
            released,
            sick: self.admission.is_unhealthy(),
            loads: self.meter.report(boot_clock::now()),
            pace_us: 0,
            cold_rate: None,
        }
    }

    // --- stopping -------------------------------------------------------------------------------

    /// Starts a drain: the coordinator moves this router's shards to other members.
    pub fn begin_drain(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Starts a graceful stop, which includes a drain.
    pub fn stop(&self) {
        self.begin_drain();
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether a graceful stop has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns whether a graceful stop or a drain has started.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Makes all background threads end; they check for it after each pause.
    pub fn end_threads(&self) {
        self.threads_ended.store(true, Ordering::SeqCst);
    }

    /// Triggers the next heartbeat immediately.
    pub fn trigger_heartbeat(&self) {
        // A full channel means that a heartbeat is already triggered.
        let _ = self.heartbeat_triggers.0.try_send(());
    }

    /// Waits until a heartbeat is triggered or `time` has passed; returns false once the threads
    /// must end.
    pub fn wait_for_trigger(&self, time: Duration) -> bool {
        let _ = self.heartbeat_triggers.1.recv_timeout(time);
        !self.threads_ended.load(Ordering::SeqCst)
    }

    /// Sleeps for `time`; returns false once the threads must end.
    pub fn pause(&self, time: Duration) -> bool {
        std::thread::sleep(time);
        !self.threads_ended.load(Ordering::SeqCst)
    }
}

fn member_of(settings: &RouterSettings, incarnation: Incarnation, leaving: bool) -> CellMember {
    CellMember {
        node: settings.node.clone(),
        incarnation,
        peer_address: settings.advertised_peer_address(),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        leaving,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
