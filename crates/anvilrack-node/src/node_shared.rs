//! What the parts of a router share.

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicIsize, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, LeaseTerms, MemberReport, NodeId,
    OwnerState, RecordDelta, ReportMark, RetryBudget, ServiceName, ShardId, SiteRoutes,
    StandbyState, TargetChoice, events,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use crate::directory::{
    BeatEffect, DirectoryEntry, DirectoryView, ReaderBeat, ReaderWatch, digest_of, place_in_line,
    pull_view, take_site,
};
use crate::guard::{LifeState, TargetDoor, TargetLife};
use crate::observe::NodeMetrics;
use crate::ownership::{
    GrantKeeper, PackedCell, PackedStep, RefreshTimes, SHARD_COUNT, lease_terms, refresh_cell,
    release_all,
};
use crate::peers::{
    CellUpdate, PeerCall, PeerLinks, PeerPlace, ReaderNews, RecordMark, TargetPlace,
};
use crate::state_lock::lock;
use crate::{KEY_SPACE, KeyNumber, NodeSettings, PlatformDialect, tell};

/// Retries that one router saves up at most, for the limit is shared by the fleet.
const SAVED_RETRIES: u32 = 2;

/// Retries for a thousand requests.
///
/// The deployments allow 200; calls that repeated runs make count as well, and nobody sees all.
const RETRY_SHARE: u32 = 140;

/// With more shards than this a step is no smaller than the packed record.
const STEP_LIMIT: usize = 600;

/// The store counts as reached for this long after an answer; the entry's lease is renewed more often.
const STORE_REACHED: std::time::Duration = std::time::Duration::from_millis(1_600);

/// Addresses of callers among routers that are remembered at most.
const MET_LIMIT: usize = 64;

/// Time for a word to another router that nobody waits for.
const TELL_LIMIT: std::time::Duration = std::time::Duration::from_millis(400);

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

    // --- the operators' document ----------------------------------------------------------------

    /// The document in force.
    #[must_use]
    pub fn site(&self) -> Option<Arc<SiteRoutes>> {
        lock(&self.site).clone()
    }

    /// Takes a document; an older one changes nothing.
    pub fn take_site(&self, site: SiteRoutes, document: Bytes) {
        let mut known = lock(&self.site);
        let version = site.version;
        if known.as_ref().is_some_and(|known| known.version >= version) {
            return;
        }
        tell!(
            Info,
            events::SITE_TAKEN,
            version = version,
            routes = site.route_count(),
            services = site.services.len()
        );
        *known = Some(Arc::new(site));
        drop(known);
        *lock(&self.document) = Some(document);
        self.member_news.notify_one();
    }

    /// The document in force as it stood in the store, for routers that do not reach it.
    #[must_use]
    pub fn site_document(&self) -> Option<Bytes> {
        lock(&self.document).clone()
    }

    /// True where each key of a service is held by one target.
    #[must_use]
    pub fn is_divided(&self, service: &str) -> bool {
        let site = self.site();
        let service = site.as_ref().and_then(|site| site.services.get(service));
        service.is_some_and(|service| service.divided_by_key)
    }

    /// The shard of a key, where its service is divided by key.
    #[must_use]
    pub fn shard_of(&self, service: &str, key: Option<KeyNumber>) -> Option<ShardId> {
        let key = key.filter(|_| self.is_divided(service))?;
        Some(u32::from(key) / (KEY_SPACE / SHARD_COUNT))
    }

    // --- directory ------------------------------------------------------------------------------

    /// Takes another router's entry from the store.
    pub fn take_entry(&self, entry: DirectoryEntry) {
        self.see_entry(entry, |directory, entry| directory.take(entry));
    }

    /// Takes an entry that its router has told itself, though the one in the store lapsed.
    pub fn confirm_entry(&self, entry: DirectoryEntry) {
        let now = boot_clock::now();
        self.see_entry(entry, |directory, entry| directory.confirm(entry, now));
    }

    fn see_entry(
        &self,
        entry: DirectoryEntry,
        take: impl FnOnce(&mut DirectoryView, DirectoryEntry) -> bool,
    ) {
        if entry.place.node == self.settings.node {
            return;
        }
        let service = entry.service.clone();
        let line = (entry.place.node.clone(), entry.is_ready(), entry.version);
        if take(&mut self.directory(), entry) {
            tell!(
                Info,
                events::ROUTER_SEEN,
                router = &*line.0,
                service = &*service,
                ready = line.1,
                version = line.2
            );
            self.refresh_choice(&service);
        }
    }

    /// Drops the routers whose entries lapsed and did not come back.
    pub fn expire_entries(&self) {
        let gone = self.directory().expire(boot_clock::now());
        if gone.is_empty() {
            return;
        }
        for router in &gone {
            tell!(Warn, events::ROUTER_LAPSED, router = &**router);
        }
        let services: Vec<_> = self.choices().keys().cloned().collect();
        for service in services {
            self.refresh_choice(&service);
        }
    }

    fn refresh_choice(&self, service: &ServiceName) {
        let own = self.own_entry();
        let members: Vec<CellMember> = {
            let directory = self.directory();
            let others = directory.of_service(service);
            let own = (own.service == *service).then_some(&own);
            let ready = others.chain(own).filter(|entry| entry.is_ready());
            ready.map(DirectoryEntry::as_member).collect()
        };
        let mut choices = self.choices();
        let choice = choices.entry(service.clone()).or_default();
        choice.set_members(&own.as_member(), members.iter(), boot_clock::now());
        drop(choices);
        self.route_news.notify_waiters();
    }

    /// Routers of a service whose target takes work.
    #[must_use]
    pub fn service_size(&self, service: &str) -> usize {
        let own = usize::from(*self.settings.service == *service && self.own_entry().is_ready());
        let directory = self.directory();
        own + directory
            .of_service(service)
            .filter(|e| e.is_ready())
            .count()
    }

    /// A router at that address has opened a link.
    pub fn meet(&self, ip: IpAddr) {
        let mut met = lock(&self.met);
        if met.len() < MET_LIMIT {
            met.insert(ip);
        }
    }

    /// Routers that may be asked: those of the directory and those that have called.
    ///
    /// All routers of a deployment listen for each other at the same port.
    #[must_use]
    pub fn met_peers(&self) -> Vec<SocketAddr> {
        let port = self.settings.listen.peers.port();
        let met = lock(&self.met);
        let met = met.iter().map(|ip| SocketAddr::new(*ip, port));
        let mut peers = self.peer_addresses();
        peers.extend(met);
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.settings.peer_address());
        peers
    }

    /// Where the routers beside a service's targets are reached, less this one.
    #[must_use]
    pub fn service_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let directory = self.directory();
        let entries = directory.of_service(service);
        entries.map(|entry| entry.place.address).collect()
    }

    /// True where this router has to watch the store: it reads for its failure domain, or stands in for
    /// a reader that is silent.
    #[must_use]
    pub fn watches_store(&self) -> bool {
        let place = {
            let directory = self.directory();
            let settings = &self.settings;
            place_in_line(
                &settings.node,
                &settings.failure_domain,
                directory.entries(),
            )
        };
        !lock(&self.reader).is_heard(place, boot_clock::now())
    }

    /// What this router tells its failure domain while it reads for it.
    #[must_use]
    pub fn reader_beat(&self) -> ReaderBeat {
        let own = self.own_entry();
        let directory = self.directory();
        ReaderBeat {
            reader: self.settings.node.clone(),
            site: self.site().map(|site| site.version),
            digest: digest_of(directory.entries().chain([&own])),
        }
    }

    /// The other routers of the failure domain.
    #[must_use]
    pub fn domain_peers(&self) -> Vec<SocketAddr> {
        let directory = self.directory();
        let domain = &self.settings.failure_domain;
        let near = directory
            .entries()
            .filter(|e| e.place.failure_domain == *domain);
        near.map(|entry| entry.place.address).collect()
    }

    /// Passes on what was read from the store.
    pub fn tell_domain(self: &Arc<Self>, news: ReaderNews) {
        if !self.watches_store() {
            return;
        }
        let node = self.clone();
        tokio::spawn(async move {
            let call = PeerCall::ReaderNews(news);
            node.links
                .call_all(node.domain_peers(), &call, TELL_LIMIT)
                .await;
        });
    }

    /// The reader of the failure domain lives; what it knows and this router does not is asked for.
    pub fn take_reader_beat(self: &Arc<Self>, beat: &ReaderBeat) {
        let own = self.reader_beat();
        let effect = lock(&self.reader).take(beat, &own, boot_clock::now());
        if effect == BeatEffect::Same {
            return;
        }
        let Some(reader) = self.directory().address(&beat.reader) else {
            return;
        };
        let (node, entries) = (self.clone(), effect == BeatEffect::EntriesMissing);
        tokio::spawn(async move { pull_view(&node, vec![reader], entries).await });
    }

    /// Takes what the reader of the failure domain has read.
    pub fn take_reader_news(self: &Arc<Self>, news: ReaderNews) {
        for entry in news.entries {
            self.take_entry(entry);
        }
        for entry in news.confirmed {
            self.confirm_entry(entry);
        }
        for node in news.lapsed {
            self.directory().lapse(&node, boot_clock::now());
        }
        if let Some(document) = news.document {
            take_site(self, &Bytes::from(document));
        }
    }

    /// Where the other routers are reached.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let directory = self.directory();
        directory
            .entries()
            .map(|entry| entry.place.address)
            .collect()
    }

    /// This router's entry as it should stand in the store.
    #[must_use]
    pub fn own_entry(&self) -> DirectoryEntry {
        let stopping = self.is_stopping();
        let target = self.door.life().map(|life| TargetPlace {
            incarnation: life.incarnation,
            slots: life.slots,
            ready: life.state == LifeState::Serving,
        });
        let mut kept = lock(&self.own_entry);
        if let Some(entry) = kept.as_ref()
            && entry.target == target
            && entry.stopping == stopping
        {
            return entry.clone();
        }
        let entry = DirectoryEntry {
            place: self.place(),
            run: self.run,
            version: self.entry_version.fetch_add(1, Ordering::Relaxed) + 1,
            service: self.settings.service.clone(),
            target,
            stopping,
        };
        *kept = Some(entry.clone());
        entry
    }

    /// Tells the store and the other routers that this router's entry has changed.
    pub fn publish_entry(self: &Arc<Self>) {
        self.entry_news.notify_one();
        let service = self.settings.service.clone();
        self.refresh_choice(&service);
        let entry = self.own_entry();
        if entry.is_ready() {
            return;
        }
        // Bad news travels at once; good news may take the way over the store.
        let node = self.clone();
        tokio::spawn(async move {
            let addresses = node.peer_addresses();
            let call = PeerCall::Entry(entry);
            node.links.call_all(addresses, &call, TELL_LIMIT).await;
        });
    }

    fn place(&self) -> PeerPlace {
        PeerPlace {
            node: self.settings.node.clone(),
            address: self.settings.peer_address(),
            failure_domain: self.settings.failure_domain.clone(),
            region: self.settings.region.clone(),
        }
    }

    // --- cells ----------------------------------------------------------------------------------

    /// The newest record of a service's cell that this router has.
    #[must_use]
    pub fn cell(&self, service: &str) -> Option<Arc<CellRecord>> {
        lock(&self.cells).get(service).cloned()
    }

    /// Takes a record; an older one changes nothing.
    pub fn take_cell(&self, record: CellRecord) {
        let service = record.service.clone();
        let record = Arc::new(record);
        {
            let mut cells = lock(&self.cells);
            let mark = RecordMark::new(&record);
            let known = cells.get(&service);
            if known.is_some_and(|known| RecordMark::new(known) >= mark) {
                return;
            }
            cells.insert(service.clone(), record.clone());
        }
        if service == self.settings.service {
            self.owner().on_record(&record, boot_clock::now());
            self.grant_news.notify_one();
        }
        self.route_news.notify_waiters();
    }

    /// Takes a newer record, in full or as a step from the one before.
    pub fn take_update(self: &Arc<Self>, update: CellUpdate) {
        let step = match update {
            CellUpdate::Full(packed) => return self.take_cell(packed.unpack()),
            CellUpdate::Step(step) => step.unpack(),
        };
        let known = self.cell(&step.service);
        let newest = known.as_ref().map(|known| RecordMark::new(known));
        let offered = RecordMark {
            epoch: step.stamp.epoch,
            version: step.stamp.version,
        };
        if newest >= Some(offered) {
            return;
        }
        let mut record = known.map(|known| (*known).clone()).unwrap_or_default();
        if step.apply_to(&mut record) {
            self.take_cell(record);
        } else {
            refresh_cell(self, &step.service);
        }
    }

    /// What somebody with the record `known` needs to have `record`.
    #[must_use]
    pub fn update_from(&self, known: RecordMark, record: &CellRecord) -> CellUpdate {
        let step = lock(&self.last_step);
        let fits = |step: &&RecordDelta| {
            step.stamp.is_of(record)
                && (step.base.epoch, step.base.version) == (known.epoch, known.version)
        };
        match step.as_ref().filter(fits) {
            Some(step) => CellUpdate::Step(Box::new(PackedStep::new(step))),
            None => CellUpdate::Full(PackedCell::new(record)),
        }
    }

    /// Remembers the step to a record that was just written, for those that have the one before.
    pub fn keep_step(&self, old: &CellRecord, new: &CellRecord) -> CellUpdate {
        let step = RecordDelta::new(old, new);
        if step.shards.len() > STEP_LIMIT {
            *lock(&self.last_step) = None;
            return CellUpdate::Full(PackedCell::new(new));
        }
        let packed = PackedStep::new(&step);
        *lock(&self.last_step) = Some(step);
        CellUpdate::Step(Box::new(packed))
    }

    /// The store has answered a call of this router.
    pub fn see_store(&self) {
        *lock(&self.store_seen_at) = boot_clock::now();
    }

    /// True where the store has answered this router lately.
    #[must_use]
    pub fn reaches_store(&self) -> bool {
        boot_clock::now() < *lock(&self.store_seen_at) + STORE_REACHED
    }

    /// This router as a member of its cell, once its target has been heard from.
    #[must_use]
    pub fn member(&self) -> Option<CellMember> {
        let entry = self.own_entry();
        entry.target.as_ref()?;
        Some(entry.as_member())
    }

    /// What this router tells its coordinator.
    #[must_use]
    pub fn member_report(&self) -> Option<MemberReport> {
        let member = self.member()?;
        Some(MemberReport {
            ready: !member.leaving,
            member,
            mark: ReportMark {
                run: self.run,
                number: self.report_count.fetch_add(1, Ordering::Relaxed),
            },
            epoch: self.owner().epoch(),
            released: self.grants.released(),
            sick: false,
            loads: self.door.shard_loads(),
            pace_us: self.door.pace_us(),
        })
    }

    /// What the previous owner of a shard handed over.
    #[must_use]
    pub fn handover_of(&self, shard: ShardId) -> Option<Arc<str>> {
        let cell = self.cell(&self.settings.service)?;
        cell.owner(shard)?.handover.clone()
    }

    /// The router beside the owner of a shard.
    #[must_use]
    pub fn owner_of(&self, service: &str, shard: ShardId) -> Option<(NodeId, SocketAddr)> {
        let cell = self.cell(service)?;
        let owner = cell.owner(shard)?;
        let member = cell.member(&owner.node)?;
        Some((member.node.clone(), member.peer_address))
    }

    // --- the target's life ----------------------------------------------------------------------

    /// A new life of the target began: it holds nothing.
    pub fn on_new_life(self: &Arc<Self>) {
        let Some(life) = self.door.life() else { return };
        tell!(
            Info,
            events::TARGET_SEEN,
            target = &*life.id,
            incarnation = life.incarnation,
            slots = life.slots
        );
        let node = self.settings.node.clone();
        let mut owner = OwnerState::new(node, life.incarnation, self.lease_terms);
        if let Some(cell) = self.cell(&self.settings.service) {
            owner.on_record(&cell, boot_clock::now());
        }
        *self.owner() = owner;
        self.standby().set_incarnation(life.incarnation);
        self.grants.clear();
        self.publish_entry();
        self.member_news.notify_one();
    }

    /// The target wants no new work; its keys go to others.
    pub fn on_target_leaving(self: &Arc<Self>) {
        if let Some(life) = self.door.life() {
            tell!(Info, events::TARGET_LEAVING, target = &*life.id);
        }
        self.publish_entry();
        release_all(self);
        self.member_news.notify_one();
    }

    /// The target has ended, and with it what it held.
    pub fn on_target_gone(&self, life: &TargetLife, shown_by: &str) {
        tell!(
            Warn,
            events::TARGET_GONE,
            target = &*life.id,
            incarnation = life.incarnation,
            shown_by = shown_by
        );
        let held: Vec<_> = self.owner().held().collect();
        for (shard, token) in held {
            self.owner().release(shard);
            self.grants.report(shard, token, None);
        }
        self.entry_news.notify_one();
        let service = self.settings.service.clone();
        self.refresh_choice(&service);
        self.member_news.notify_one();
    }
}
