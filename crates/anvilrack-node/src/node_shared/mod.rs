//! What the parts of a router share.

mod known_cells;
mod known_routers;

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicIsize, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, LeaseTerms, OwnerState, RecordDelta, RetryBudget,
    ServiceName, SiteRoutes, StandbyState, TargetChoice,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use crate::directory::{DirectoryEntry, DirectoryView, ReaderWatch};
use crate::guard::TargetDoor;
use crate::observe::NodeMetrics;
use crate::ownership::{GrantKeeper, RefreshTimes, lease_terms, release_all};
use crate::peers::PeerLinks;
use crate::state_lock::lock;
use crate::{NodeSettings, PlatformDialect};

/// Retries that one router saves up at most, for the limit is shared by the fleet.
const SAVED_RETRIES: u32 = 2;

/// Retries for a thousand requests.
///
/// The deployments allow 200; calls that repeated runs make count as well, and nobody sees all.
const RETRY_SHARE: u32 = 140;

/// State of one router process.
pub struct NodeShared<D: PlatformDialect> {
    /// Its settings.
    pub settings: NodeSettings,
    /// The platform's words.
    pub dialect: D,
    /// The platform's store.
    pub store: D::Store,
    /// Links to other routers.
    pub links: PeerLinks,
    /// The door to the target beside this router.
    pub door: TargetDoor,
    /// The grants at that target.
    pub grants: GrantKeeper,
    /// The times that ownership hangs on.
    pub lease_terms: LeaseTerms,
    /// Which run of the process this is, in milliseconds since the Unix epoch.
    pub run: u64,
    /// Counters and latencies.
    pub metrics: NodeMetrics,
    /// A member has something to tell its coordinator.
    pub member_news: Notify,
    /// The coordinator has something to decide.
    pub coordinator_news: Notify,
    /// Grants may be due.
    pub grant_news: Notify,
    /// This router's entry may have changed.
    pub entry_news: Notify,
    /// A cell's record, or the directory, has changed.
    pub route_news: Notify,
    stopping: AtomicBool,
    closing: watch::Sender<bool>,
    ending: watch::Sender<bool>,
    parting: watch::Sender<bool>,
    open: AtomicIsize,
    entry_version: AtomicU64,
    own_entry: Mutex<Option<DirectoryEntry>>,
    site: Mutex<Option<Arc<SiteRoutes>>>,
    document: Mutex<Option<Bytes>>,
    /// Routers that have opened a link to this one.
    met: Mutex<BTreeSet<IpAddr>>,
    reader: Mutex<ReaderWatch>,
    directory: Mutex<DirectoryView>,
    cells: Mutex<HashMap<ServiceName, Arc<CellRecord>>>,
    last_step: Mutex<Option<RecordDelta>>,
    report_count: AtomicU64,
    store_seen_at: Mutex<BootTime>,
    choices: Mutex<HashMap<ServiceName, TargetChoice>>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    refreshes: Mutex<HashMap<ServiceName, RefreshTimes>>,
    owner: Mutex<OwnerState>,
    standby: Mutex<StandbyState>,
    coordinator: Mutex<Option<CoordinatorState>>,
}

impl<D: PlatformDialect> NodeShared<D> {
    /// You give the settings, the platform's words and its store.
    #[must_use]
    pub fn new(settings: NodeSettings, dialect: D, store: D::Store) -> Self {
        let terms = lease_terms();
        let node = settings.node.clone();
        let now = boot_clock::now();
        Self {
            door: TargetDoor::new(settings.target, settings.link_mbps),
            dialect,
            store,
            links: PeerLinks::default(),
            grants: GrantKeeper::default(),
            lease_terms: terms,
            run: boot_clock::unix_ms(),
            metrics: NodeMetrics::default(),
            member_news: Notify::new(),
            coordinator_news: Notify::new(),
            grant_news: Notify::new(),
            entry_news: Notify::new(),
            route_news: Notify::new(),
            stopping: AtomicBool::new(false),
            closing: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            parting: watch::Sender::new(false),
            open: AtomicIsize::new(0),
            entry_version: AtomicU64::new(0),
            own_entry: Mutex::default(),
            site: Mutex::default(),
            document: Mutex::default(),
            met: Mutex::default(),
            reader: Mutex::new(ReaderWatch::new(now)),
            directory: Mutex::default(),
            cells: Mutex::default(),
            last_step: Mutex::default(),
            report_count: AtomicU64::new(0),
            store_seen_at: Mutex::default(),
            choices: Mutex::default(),
            budgets: Mutex::default(),
            refreshes: Mutex::default(),
            owner: Mutex::new(OwnerState::new(node.clone(), 0, terms)),
            standby: Mutex::new(StandbyState::new(node, 0, terms, now)),
            coordinator: Mutex::default(),
            settings,
        }
    }

    // --- parts ----------------------------------------------------------------------------------

    /// What this router may serve.
    pub fn owner(&self) -> MutexGuard<'_, OwnerState> {
        lock(&self.owner)
    }

    /// This router as a possible successor of its coordinator.
    pub fn standby(&self) -> MutexGuard<'_, StandbyState> {
        lock(&self.standby)
    }

    /// The office, while this router holds it.
    pub fn coordinator(&self) -> MutexGuard<'_, Option<CoordinatorState>> {
        lock(&self.coordinator)
    }

    /// The other routers.
    pub fn directory(&self) -> MutexGuard<'_, DirectoryView> {
        lock(&self.directory)
    }

    /// The targets of each service, as this router sees them.
    pub fn choices(&self) -> MutexGuard<'_, HashMap<ServiceName, TargetChoice>> {
        lock(&self.choices)
    }

    /// Runs `work` on the retry budget of a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new()
                .with_saved(SAVED_RETRIES)
                .with_share(RETRY_SHARE)
        });
        work(budget)
    }

    /// Runs `work` on the times at which records of a service's cell were asked for.
    pub fn with_refresh<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RefreshTimes) -> T,
    ) -> T {
        work(lock(&self.refreshes).entry(service.clone()).or_default())
    }

    /// True once a stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request that came, or one that ended.
    pub fn open_requests(&self, change: isize) {
        self.open.fetch_add(change, Ordering::Relaxed);
    }

    /// Requests of callers between their head and their answer.
    #[must_use]
    pub fn open_count(&self) -> usize {
        usize::try_from(self.open.load(Ordering::Relaxed)).unwrap_or(0)
    }

    /// A stop begins: the target's keys go to other targets, and no new work comes here.
    pub fn begin_stop(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::Relaxed);
        self.publish_entry();
        // While the store is away nobody could be given what is released. The target goes on holding
        // its keys, and the next run of this router serves them again.
        if self.reaches_store() {
            self.hand_over();
        }
        self.member_news.notify_one();
    }

    /// Gives back all keys that are still held; true while some have no next owner.
    pub fn hand_over(self: &Arc<Self>) -> bool {
        release_all(self);
        self.owner().held().next().is_some() || !self.grants.released().is_empty()
    }

    /// No connection of a caller takes another request; those under way are finished.
    pub fn begin_close(&self) {
        self.closing.send_replace(true);
        self.door.wake_all();
    }

    /// True once [`Self::begin_close`] was called.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Ends once [`Self::begin_close`] was called.
    pub async fn closed(&self) {
        let mut closing = self.closing.subscribe();
        // The sender lives as long as this does.
        closing.wait_for(|closing| *closing).await.ok();
    }

    /// The process ends in a moment: callers whose requests have not begun are told so.
    pub fn begin_end(&self) {
        self.ending.send_replace(true);
    }

    /// True once [`Self::begin_end`] was called.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Ends once [`Self::begin_end`] was called.
    pub async fn ended(&self) {
        let mut ending = self.ending.subscribe();
        // The sender lives as long as this does.
        ending.wait_for(|ending| *ending).await.ok();
    }

    /// No link takes another call; answers that are on their way are finished.
    pub fn begin_part(&self) {
        self.parting.send_replace(true);
    }

    /// Ends once [`Self::begin_part`] was called.
    pub async fn parted(&self) {
        let mut parting = self.parting.subscribe();
        // The sender lives as long as this does.
        parting.wait_for(|parting| *parting).await.ok();
    }
}
