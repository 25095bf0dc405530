//! What the threads of a router share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{
    CellMember, CellRecord, ConfigRecord, CoordinatorState, Incarnation, LeaseTerms, MemberReport,
    NodeId, OwnerState, PlacementJournal, RecordDelta, ReportMark, RouteTable, ServiceName,
    StandbyState, events,
};
use anvilrack_peer::PeerLinks;
use anvilrack_settings::RouterSettings;
use anvilrack_store::HttpStore;
use anvilrack_wire::{TableDigest, TableUpdate};
use crossbeam::channel::{Receiver, Sender, bounded};
use crossbeam::sync::ShardedLock;
use tokio::runtime::Handle;

use crate::admission_control::AdmissionControl;
use crate::crash_keeper::CrashKeeper;
use crate::entry_shares::EntryShares;
use crate::load_meter::LoadMeter;
use crate::release_tracker::ReleaseTracker;
use crate::retry_keeper::RetryKeeper;
use crate::router_metrics::RouterMetrics;
use crate::run_keeper::RunKeeper;
use crate::spread_choices::SpreadChoices;
use crate::target_view::TargetView;
use crate::{boot_clock, log_event};

/// The state of one router process.
///
/// Each lock guards one small value and is held for a few steps only; no lock is held over I/O.
pub struct RouterContext {
    /// As read from the settings file.
    pub settings: RouterSettings,
    /// Which run of this router this is.
    pub incarnation: Incarnation,
    /// The deployment's times.
    pub terms: LeaseTerms,
    /// The platform's store.
    pub store: HttpStore,
    /// Links to other routers.
    pub links: PeerLinks,
    /// Counters for the operators' monitoring.
    pub metrics: RouterMetrics,
    /// Shards on their way to another owner.
    pub releases: ReleaseTracker,
    /// The at-most-once record.
    pub runs: RunKeeper,
    /// Room at the target beside this router.
    pub admission: AdmissionControl,
    /// Requests by shard, for placement.
    pub meter: LoadMeter,
    /// Callers' workers, shared by services and by callers.
    pub entry: EntryShares,
    /// Targets of services that are not divided by key.
    pub choices: SpreadChoices,
    /// The retry budget.
    pub retries: RetryKeeper,
    /// Requests that crash targets.
    pub crashes: CrashKeeper,
    owner: Mutex<OwnerState>,
    standby: Mutex<StandbyState>,
    coordinator: Mutex<Option<CoordinatorState>>,
    journal: Mutex<PlacementJournal>,
    target: Mutex<TargetView>,
    routes: ShardedLock<Arc<RouteTable>>,
    nudges: (Sender<()>, Receiver<()>),
    digest_wanted: AtomicBool,
    report_count: AtomicU64,
    leaving: AtomicBool,
    stopping: AtomicBool,
    ended: AtomicBool,
}

impl RouterContext {
    /// You give the settings and the runtime for links to other routers.
    #[must_use]
    pub fn new(settings: RouterSettings, runtime: Handle) -> Self {
        let terms = LeaseTerms::default();
        let incarnation = boot_clock::unix_ms();
        let node = settings.node.clone();
        let now = boot_clock::now();
        let own = member_of(&settings, incarnation, false);
        Self {
            choices: SpreadChoices::new(settings.policies.choice, own),
            store: HttpStore::new(settings.store),
            links: PeerLinks::new(runtime),
            releases: ReleaseTracker::default(),
            runs: RunKeeper::new(&settings.limits),
            admission: AdmissionControl::new(settings.policies.admission),
            meter: LoadMeter::new(settings.policies.placement),
            entry: EntryShares::new(settings.limits.caller_workers),
            retries: RetryKeeper::new(&settings.limits),
            crashes: CrashKeeper::new(&format!("{node}/{incarnation}")),
            owner: Mutex::new(OwnerState::new(node.clone(), incarnation, terms)),
            standby: Mutex::new(StandbyState::new(node, incarnation, terms, now)),
            coordinator: Mutex::new(None),
            journal: Mutex::default(),
            target: Mutex::default(),
            metrics: RouterMetrics::new(&settings.node),
            routes: ShardedLock::new(Arc::default()),
            nudges: bounded(1),
            digest_wanted: AtomicBool::new(true),
            report_count: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            settings,
            incarnation,
            terms,
        }
    }

    /// This router's name.
    pub fn node(&self) -> &NodeId {
        &self.settings.node
    }

    /// What this router owns.
    pub fn owner(&self) -> MutexGuard<'_, OwnerState> {
        lock(&self.owner)
    }

    /// This router as a possible successor of its coordinator.
    pub fn standby(&self) -> MutexGuard<'_, StandbyState> {
        lock(&self.standby)
    }

    /// The cell that this router coordinates, if it does.
    pub fn coordinator(&self) -> MutexGuard<'_, Option<CoordinatorState>> {
        lock(&self.coordinator)
    }

    /// The placement decisions of the cell that this router coordinates.
    pub fn journal(&self) -> MutexGuard<'_, PlacementJournal> {
        lock(&self.journal)
    }

    /// The target beside this router.
    pub fn target(&self) -> MutexGuard<'_, TargetView> {
        lock(&self.target)
    }

    /// The tables as they are now.
    pub fn routes(&self) -> Arc<RouteTable> {
        self.routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The service of the target beside this router, once it has announced itself.
    pub fn service(&self) -> Option<ServiceName> {
        self.target().service()
    }

    /// The record of this router's own cell.
    pub fn own_cell(&self) -> Option<Arc<CellRecord>> {
        let service = self.service()?;
        self.routes().cell(&service).cloned()
    }

    // --- tables ---------------------------------------------------------------------------------

    /// Which versions this router has.
    pub fn digest(&self) -> TableDigest {
        let routes = self.routes();
        TableDigest {
            cells: routes.digest(),
            revision: routes.config().revision,
            summary: None,
        }
    }

    /// The digest for a heartbeat: short, unless the last answer asked for all of it.
    pub fn beat_digest(&self, service: &str) -> TableDigest {
        let digest = self.digest();
        if self.digest_wanted.swap(false, Ordering::SeqCst) {
            digest
        } else {
            digest.shortened(service)
        }
    }

    /// What a peer with that digest lacks.
    pub fn update_for(&self, digest: &TableDigest) -> TableUpdate {
        let routes = self.routes();
        let changes = match digest.summary {
            None => routes.changes_since(&digest.cells),
            Some(hash) if hash == self.digest().hash() => return TableUpdate::default(),
            Some(_) => routes.changes_among(&digest.cells),
        };
        TableUpdate {
            cells: changes.cells,
            deltas: changes.deltas,
            config: routes.config_newer_than(digest.revision),
            wants_digest: digest.summary.is_some(),
        }
    }

    /// Takes what is newer than what this router has.
    pub fn accept_update(&self, update: TableUpdate) {
        for cell in update.cells {
            self.accept_cell(cell);
        }
        if !update.deltas.is_empty() {
            self.accept_deltas(&update.deltas);
        }
        if update.wants_digest {
            self.digest_wanted.store(true, Ordering::SeqCst);
            self.nudge();
        }
        if let Some(config) = update.config {
            self.accept_config(config);
        }
    }

    fn accept_deltas(&self, deltas: &[Arc<RecordDelta>]) {
        let mut records = Vec::new();
        self.change_routes(|routes| {
            records = routes.records_after(deltas);
            // A delta that does not fit is remembered, whether or not another one did.
            true
        });
        for record in records {
            self.accept_cell(record);
        }
    }

    /// Takes a cell's record if it is newer.
    ///
    /// The owner's own state follows in the same step, so that a route never points here before
    /// this router knows of its grant.
    pub fn accept_cell(&self, cell: Arc<CellRecord>) {
        if self.service().as_ref() == Some(&cell.service) {
            self.owner().on_record(&cell, boot_clock::now());
        }
        self.change_routes(|routes| routes.accept_cell(cell));
    }

    /// Takes a configuration if it is newer.
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

    /// This router as it describes itself to its cell.
    pub fn member(&self) -> CellMember {
        member_of(&self.settings, self.incarnation, self.is_leaving())
    }

    /// What this router says in its next heartbeat.
    pub fn report(&self) -> MemberReport {
        let epoch = self.owner().epoch();
        MemberReport {
            member: self.member(),
            mark: ReportMark {
                run: self.incarnation,
                number: self.report_count.fetch_add(1, Ordering::SeqCst),
            },
            epoch,
            ready: self.target().is_ready(boot_clock::now()),
            released: self.releases.reports(),
            sick: self.admission.is_sick(),
            loads: self.meter.report(boot_clock::now()),
            pace_us: 0,
        }
    }

    // --- stopping -------------------------------------------------------------------------------

    /// Begins a graceful stop or a drain.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Begins a graceful stop.
    pub fn stop(&self) {
        self.leave();
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// True once a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// True once a graceful stop or a drain has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Tells all threads to end.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Makes the next heartbeat go out now.
    pub fn nudge(&self) {
        // A full channel means that one is due already.
        let _ = self.nudges.0.try_send(());
    }

    /// Waits for a nudge or for `time`, and says whether the process goes on.
    pub fn pause_or_nudge(&self, time: Duration) -> bool {
        let _ = self.nudges.1.recv_timeout(time);
        !self.ended.load(Ordering::SeqCst)
    }

    /// Sleeps, and says whether the process goes on.
    pub fn pause(&self, time: Duration) -> bool {
        std::thread::sleep(time);
        !self.ended.load(Ordering::SeqCst)
    }
}

fn member_of(settings: &RouterSettings, incarnation: Incarnation, leaving: bool) -> CellMember {
    CellMember {
        node: settings.node.clone(),
        incarnation,
        peer_address: settings.announced_address(),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        leaving,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
