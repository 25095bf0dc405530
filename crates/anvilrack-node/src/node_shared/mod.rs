//! State shared by the parts of a router process.

mod cell_records;
mod evacuated_domains;
mod leaving_targets;
mod region_rules;
mod router_directory;
mod stop_rules;
mod withdrawn_routers;

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicIsize, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use anvilrack_core::{
    BootTime, CallCosts, CellRecord, CoordinatorState, EntryAdmission, Evacuations, KeptDepartures,
    LeaseTerms, OwnerState, RecentDurations, RecordDelta, RecordHistory, RetryBudgets, RetryTerms,
    ServiceName, SiteRoutes, StandbyState, StopAdmission, TargetSelector, TransitMeter,
    UploadPacer, events,
};
use anvilrack_router::boot_clock;
use tokio::sync::{Notify, watch};

use leaving_targets::LeavingTargets;
use withdrawn_routers::WithdrawnRouters;

use crate::connection_gates::ConnectionGates;
use crate::directory::{DirectoryEntry, DirectoryView, ReaderMonitor, SiteArchive, SiteTracker};
use crate::guard::{CrashMonitor, DepartureKeeping, IncarnationState, TargetGateway};
use crate::mutex_lock::lock;
use crate::observe::NodeMetrics;
use crate::ownership::{RefreshTimes, TargetGrants, lease_terms, release_all};
use crate::peers::{PeerLinks, RunReply};
use crate::{NodeSettings, PlatformDialect, emit_event};
use anvilrack_limits::MemoryPool;

/// Maximum number of routers whose calls are measured; if there are more, the measurement starts anew.
const MAX_TRANSIT_METERS: usize = 4_096;

/// One in this many successful replies names the calls of a run.
const CALL_COSTS_SAMPLING: u32 = 16;

/// Shared state of one router process.
pub struct NodeState<D: PlatformDialect> {
    /// Settings read at startup.
    pub settings: NodeSettings,
    /// Names and formats of the platform.
    pub dialect: D,
    /// Client of the platform's metadata store.
    pub store: D::Store,
    /// Memory for the bodies of requests and responses.
    pub memory: MemoryPool,
    /// Connections to the ports of this router.
    pub gates: ConnectionGates,
    /// Links to other routers.
    pub links: PeerLinks,
    /// Versions of the site document that this router and others have.
    pub site_tracker: Arc<SiteTracker>,
    /// The gateway to the local target.
    pub gateway: TargetGateway,
    /// Requests that were running when targets crashed.
    pub crash_monitor: CrashMonitor,
    /// Where the departures of the local target are kept.
    pub departures: DepartureKeeping,
    /// Departures that this router keeps for others.
    kept_departures: Mutex<KeptDepartures>,
    /// The grants that the local target holds.
    pub grants: TargetGrants,
    /// Durations and margins of ownership leases.
    pub lease_terms: LeaseTerms,
    /// Start of this process in milliseconds since the Unix epoch; identifies this run of the router.
    pub run: u64,
    /// Start of this process by the clock that the deadlines use.
    pub started_at: BootTime,
    /// Metrics of this router.
    pub metrics: NodeMetrics,
    /// Notified when this member has to report a change to its coordinator.
    pub member_updates: Notify,
    /// Notified when the coordinator has to reconsider its decisions.
    pub coordinator_updates: Notify,
    /// Notified when grants may have to be sent or renewed.
    pub grant_updates: Notify,
    /// Notified when this router's directory entry may have changed.
    pub entry_updates: Notify,
    /// Notified when the local target has said in a response that it is leaving.
    pub leaving_said: Notify,
    /// Notified when a cell's record or the directory has changed.
    pub route_updates: Notify,
    stopping: AtomicBool,
    /// Which requests are sent while the router stops; not set before.
    stop_admission: OnceLock<StopAdmission>,
    /// Durations of recent requests that entered at this router, by route.
    entry_durations: Mutex<RecentDurations>,
    withdrawn: AtomicBool,
    closing: watch::Sender<bool>,
    closing_listener: watch::Sender<bool>,
    ending: watch::Sender<bool>,
    closing_links: watch::Sender<bool>,
    open_requests: AtomicIsize,
    caller_connections: AtomicIsize,
    entry_version: AtomicU64,
    /// Whether the store has lost this router's directory entry, or has that of a former process.
    entry_replaced: AtomicBool,
    own_entry: Mutex<Option<DirectoryEntry>>,
    site: Mutex<Option<Arc<SiteRoutes>>>,
    /// Whether the site document restricts a route to some regions.
    restricts_regions: AtomicBool,
    /// Version of the last site document whose regions were compared with those of the routers.
    checked_regions_of: AtomicU64,
    site_archive: Mutex<SiteArchive>,
    upload_pacer: Mutex<UploadPacer>,
    /// Addresses of routers that have opened a link to this one.
    linked_routers: Mutex<BTreeSet<IpAddr>>,
    /// Delays of the calls of other routers, by their addresses.
    transit_meters: Mutex<HashMap<IpAddr, TransitMeter>>,
    reader: Mutex<ReaderMonitor>,
    directory: Mutex<DirectoryView>,
    /// Whether the reader's directory entries are being fetched.
    pulling_entries: AtomicBool,
    cells: Mutex<HashMap<ServiceName, Arc<CellRecord>>>,
    /// Locked while `cells` is.
    cell_histories: Mutex<HashMap<ServiceName, RecordHistory>>,
    last_delta: Mutex<Option<RecordDelta>>,
    report_count: AtomicU64,
    store_seen_at: Mutex<BootTime>,
    target_choices: Mutex<HashMap<ServiceName, TargetSelector>>,
    leaving_targets: Mutex<LeavingTargets>,
    withdrawn_routers: Mutex<WithdrawnRouters>,
    /// The evacuated failure domains; `None` if the deployment evacuates none.
    evacuations: Option<Mutex<Evacuations>>,
    /// Whether the evacuated failure domains are being fetched from another router.
    fetching_evacuations: AtomicBool,
    entry_admission: Mutex<EntryAdmission>,
    retry_budgets: Mutex<RetryBudgets>,
    refresh_times: Mutex<HashMap<ServiceName, RefreshTimes>>,
    owner: Mutex<OwnerState>,
    standby: Mutex<StandbyState>,
    coordinator: Mutex<Option<CoordinatorState>>,
}

impl<D: PlatformDialect> NodeState<D> {
    /// Creates the state from the settings, the platform's dialect and a client of its store.
    #[must_use]
    pub fn new(settings: NodeSettings, dialect: D, store: D::Store) -> Self {
        let terms = lease_terms();
        let node = settings.node.clone();
        let now = boot_clock::now();
        let run = boot_clock::unix_ms();
        let site_tracker = Arc::new(SiteTracker::default());
        let memory = MemoryPool::of_process(settings.memory_bytes());
        Self {
            gateway: TargetGateway::new(settings.target, settings.link_mbps, memory.clone()),
            gates: ConnectionGates::new(&settings),
            dialect,
            store,
            links: PeerLinks::new(site_tracker.clone()).with_memory(memory.clone()),
            memory,
            site_tracker,
            crash_monitor: CrashMonitor::new(&format!("{node}/{run}")),
            departures: DepartureKeeping::new(now),
            kept_departures: Mutex::default(),
            grants: TargetGrants::new(now, terms.owner_lease().min(settings.terms.longest_hold)),
            lease_terms: terms,
            run,
            started_at: now,
            metrics: NodeMetrics::default(),
            member_updates: Notify::new(),
            coordinator_updates: Notify::new(),
            grant_updates: Notify::new(),
            entry_updates: Notify::new(),
            leaving_said: Notify::new(),
            route_updates: Notify::new(),
            stopping: AtomicBool::new(false),
            stop_admission: OnceLock::new(),
            entry_durations: Mutex::default(),
            withdrawn: AtomicBool::new(false),
            closing: watch::Sender::new(false),
            closing_listener: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            closing_links: watch::Sender::new(false),
            open_requests: AtomicIsize::new(0),
            caller_connections: AtomicIsize::new(0),
            entry_version: AtomicU64::new(0),
            entry_replaced: AtomicBool::new(false),
            own_entry: Mutex::default(),
            site: Mutex::default(),
            restricts_regions: AtomicBool::new(false),
            checked_regions_of: AtomicU64::new(0),
            site_archive: Mutex::default(),
            upload_pacer: Mutex::new(UploadPacer::new(settings.link_mbps)),
            linked_routers: Mutex::default(),
            transit_meters: Mutex::default(),
            reader: Mutex::new(ReaderMonitor::new(now)),
            directory: Mutex::default(),
            pulling_entries: AtomicBool::new(false),
            cells: Mutex::default(),
            cell_histories: Mutex::default(),
            last_delta: Mutex::default(),
            report_count: AtomicU64::new(0),
            store_seen_at: Mutex::default(),
            target_choices: Mutex::default(),
            leaving_targets: Mutex::default(),
            withdrawn_routers: Mutex::default(),
            evacuations: evacuated_domains::new_view(&settings),
            fetching_evacuations: AtomicBool::new(false),
            entry_admission: Mutex::default(),
            retry_budgets: Mutex::new(RetryBudgets::new(retry_terms(&settings), now)),
            refresh_times: Mutex::default(),
            owner: Mutex::new(OwnerState::new(node.clone(), 0, terms)),
            standby: Mutex::new(StandbyState::new(node, 0, terms, now)),
            coordinator: Mutex::default(),
            settings,
        }
    }

    // --- state -----------------------------------------------------------------------------------

    /// Locks the ownership state of the local target.
    pub fn owner(&self) -> MutexGuard<'_, OwnerState> {
        lock(&self.owner)
    }

    /// Locks the state of this router as a standby for its coordinator.
    pub fn standby(&self) -> MutexGuard<'_, StandbyState> {
        lock(&self.standby)
    }

    /// Locks the coordinator's state; `None` unless this router is the coordinator of its cell.
    pub fn coordinator(&self) -> MutexGuard<'_, Option<CoordinatorState>> {
        lock(&self.coordinator)
    }

    /// Locks the site documents that are sent to other routers.
    pub fn site_archive(&self) -> MutexGuard<'_, SiteArchive> {
        lock(&self.site_archive)
    }

    /// Locks the limit on data that is sent in addition to requests.
    pub fn upload_pacer(&self) -> MutexGuard<'_, UploadPacer> {
        lock(&self.upload_pacer)
    }

    /// Locks the directory of the other routers.
    pub fn directory(&self) -> MutexGuard<'_, DirectoryView> {
        lock(&self.directory)
    }

    /// Locks the load and health of each service's targets, from which targets are selected.
    pub fn target_choices(&self) -> MutexGuard<'_, HashMap<ServiceName, TargetSelector>> {
        lock(&self.target_choices)
    }

    /// Locks what is known about the load that services can take.
    pub fn entry_admission(&self) -> MutexGuard<'_, EntryAdmission> {
        lock(&self.entry_admission)
    }

    /// Returns the share of all ready routers that stand beside targets of a service, from 0 to 1.
    #[must_use]
    pub fn router_share(&self, service: &str) -> f64 {
        let count = |selector: &TargetSelector| u32::try_from(selector.target_count()).unwrap_or(0);
        let selectors = self.target_choices();
        let total: u32 = selectors.values().map(count).sum();
        let of_service = selectors.get(service).map_or(0, count);
        f64::from(of_service.max(1)) / f64::from(total.max(1))
    }

    /// Calls `update` with the retry budgets and the time.
    pub fn with_retry_budget<T>(&self, update: impl FnOnce(&mut RetryBudgets, BootTime) -> T) -> T {
        // Each router may get callers' requests for any service, so all of them share each limit.
        let routers = self.directory().router_count() + 1;
        let now = boot_clock::now();
        let mut budgets = lock(&self.retry_budgets);
        budgets.set_routers(routers, now);
        update(&mut budgets, now)
    }

    /// Returns the calls that a run at the local target makes if the reply is to name them.
    ///
    /// A refusal or an error may be repeated at once, so it names them; other replies seldom do.
    #[must_use]
    pub fn call_costs_to_report(&self, reply: &RunReply) -> Option<CallCosts> {
        let is_success = matches!(reply, RunReply::Ran { status, .. } if *status < 500);
        let is_named = !is_success || rand::random_range(0..CALL_COSTS_SAMPLING) == 0;
        is_named
            .then(|| self.with_retry_budget(|budgets, _| budgets.calls_per_run()))
            .flatten()
    }

    /// Calls `update` with the times at which the record of a service's cell was last requested.
    pub fn with_refresh_times<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut RefreshTimes) -> T,
    ) -> T {
        update(
            lock(&self.refresh_times)
                .entry(service.clone())
                .or_default(),
        )
    }

    /// Locks the departures that this router keeps for others.
    pub fn kept_departures(&self) -> MutexGuard<'_, KeptDepartures> {
        lock(&self.kept_departures)
    }

    /// Returns for how long a call of another router was delayed on its way.
    #[must_use]
    pub fn transit_delay(&self, router: IpAddr, sent_at: BootTime) -> Duration {
        let mut meters = lock(&self.transit_meters);
        if meters.len() >= MAX_TRANSIT_METERS && !meters.contains_key(&router) {
            meters.clear();
        }
        let meter = meters.entry(router).or_default();
        meter.record(sent_at, boot_clock::now())
    }

    /// Returns whether this process has been running for at least `duration`.
    ///
    /// Its former process may have sent requests to the target of which this one does not know.
    #[must_use]
    pub fn has_run_for(&self, duration: Duration) -> bool {
        boot_clock::now().saturating_sub(self.started_at) >= duration
    }

    /// Returns true once the router is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Adds `change` to the number of callers' requests in progress.
    pub fn add_open_requests(&self, change: isize) {
        self.open_requests.fetch_add(change, Ordering::Relaxed);
    }

    /// Returns the number of callers' requests in progress, from head to response.
    #[must_use]
    pub fn open_request_count(&self) -> usize {
        usize::try_from(self.open_requests.load(Ordering::Relaxed)).unwrap_or(0)
    }

    /// Begins to stop: tells callers to go to other routers. The target is still served.
    ///
    /// Requests that might still run at the end of the stop are refused.
    pub fn begin_stop(&self, admission: StopAdmission) {
        self.set_stop_admission(admission);
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Announces that the target gets no new requests, and refuses those that wait for it.
    ///
    /// The target keeps its keys, and the next process serves them again.
    pub fn withdraw_target(self: &Arc<Self>) {
        self.withdrawn.store(true, Ordering::Relaxed);
        emit_event!(
            Info,
            events::TARGET_WITHDRAWN,
            running = self.gateway.load().0,
            held = self.owner().held().count(),
            stays = self.is_target_serving()
        );
        self.publish_entry();
        self.gateway.wake_waiting_requests();
    }

    /// Returns true once [`Self::withdraw_target`] was called.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Relaxed)
    }

    /// Releases the keys that a target which is leaving or has ended still holds; returns true while some
    /// have no next owner.
    ///
    /// While the store is unreachable, released keys cannot be granted to another target, so nothing is
    /// released.
    pub fn hand_over_ended_target(self: &Arc<Self>) -> bool {
        if self.is_target_serving() || !self.is_store_reachable() {
            return false;
        }
        release_all(self);
        self.owner().held().next().is_some() || !self.grants.released().is_empty()
    }

    /// Returns true if the target accepts requests.
    #[must_use]
    pub fn is_target_serving(&self) -> bool {
        let target = self.gateway.current_incarnation();
        target.is_some_and(|target| target.state == IncarnationState::Serving)
    }

    /// Adds `change` to the number of callers' connections.
    pub fn add_caller_connections(&self, change: isize) {
        self.caller_connections.fetch_add(change, Ordering::Relaxed);
    }

    /// Returns the number of callers' connections.
    #[must_use]
    pub fn caller_connection_count(&self) -> usize {
        usize::try_from(self.caller_connections.load(Ordering::Relaxed)).unwrap_or(0)
    }

    /// Closes callers' connections once they are idle; new ones are closed after one request.
    pub fn begin_closing_callers(&self) {
        self.closing.send_replace(true);
    }

    /// Completes once [`Self::begin_closing_callers`] was called.
    pub async fn callers_closed(&self) {
        let mut closing = self.closing.subscribe();
        // This cannot fail: `self` owns the sender.
        closing.wait_for(|closing| *closing).await.ok();
    }

    /// Closes the listener for callers.
    pub fn begin_closing_listener(&self) {
        self.closing_listener.send_replace(true);
    }

    /// Completes once [`Self::begin_closing_listener`] was called.
    pub async fn listener_closed(&self) {
        let mut closing = self.closing_listener.subscribe();
        // This cannot fail: `self` owns the sender.
        closing.wait_for(|closing| *closing).await.ok();
    }

    /// Announces the imminent end of the process, so that requests that have not started are refused.
    pub fn begin_process_end(&self) {
        self.ending.send_replace(true);
    }

    /// Returns true once [`Self::begin_process_end`] was called.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Completes once [`Self::begin_process_end`] was called.
    pub async fn process_ending(&self) {
        let mut ending = self.ending.subscribe();
        // This cannot fail: `self` owns the sender.
        ending.wait_for(|ending| *ending).await.ok();
    }

    /// Stops accepting calls on links from other routers; pending replies are still sent.
    pub fn begin_closing_links(&self) {
        self.closing_links.send_replace(true);
    }

    /// Completes once [`Self::begin_closing_links`] was called.
    pub async fn links_closed(&self) {
        let mut closing_links = self.closing_links.subscribe();
        // This cannot fail: `self` owns the sender.
        closing_links
            .wait_for(|closing_links| *closing_links)
            .await
            .ok();
    }
}

/// Returns the deployment's limit on repeated requests; `None` if the settings have none.
fn retry_terms(settings: &NodeSettings) -> Option<RetryTerms> {
    let limits = settings.terms.retries?;
    Some(RetryTerms::new(limits.ratio, limits.slack, limits.window))
}
