//! The other routers known to this one, and the site document.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilrack_core::{CellMember, ColdRules, ServiceName, ShardId, SiteRoutes, events};
use anvilrack_router::boot_clock;
use bytes::Bytes;

use super::NodeState;
use super::region_rules::find_route;
use crate::directory::{
    DirectoryEntry, DirectoryView, HeartbeatEffect, ReaderHeartbeat, entries_digest, pull_entries,
    reader_rank, send_reader_heartbeat,
};
use crate::guard::IncarnationState;
use crate::mutex_lock::lock;
use crate::ownership::SHARD_COUNT;
use crate::peers::{PeerCall, PeerLocation, ReaderChanges, RunCall, TargetStatus};
use crate::{KEY_SPACE, KeyNumber, PlatformDialect, emit_event};

/// Maximum number of remembered addresses of routers that have opened a link to this one.
const MAX_LINKED_ROUTERS: usize = 64;

/// Time after the start for which a router without other routers counts as not ready.
const MAX_ALONE_TIME: Duration = Duration::from_secs(2);

/// Timeout for messages to other routers that are sent in the background.
const BACKGROUND_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which requests that were routed by the previous site document are still run.
///
/// It is half of the two seconds within which a document has to be in force.
const MAX_ROUTE_LAG: Duration = Duration::from_secs(1);

impl<D: PlatformDialect> NodeState<D> {
    // --- site document ---------------------------------------------------------------------------

    /// Returns the routes and limits of the current site document; `None` until one was read.
    #[must_use]
    pub fn site(&self) -> Option<Arc<SiteRoutes>> {
        lock(&self.site).clone()
    }

    /// Stores a site document unless one of the same or a later version is known; `source` names where
    /// it came from.
    pub fn store_site_document(self: &Arc<Self>, site: SiteRoutes, document: Bytes, source: &str) {
        let version = site.version;
        {
            let mut known = lock(&self.site);
            if known.as_ref().is_some_and(|known| known.version >= version) {
                return;
            }
            emit_event!(
                Info,
                events::SITE_TAKEN,
                version = version,
                routes = site.route_count(),
                services = site.services.len(),
                bytes = document.len(),
                source = source
            );
            let restricts_regions = site.restricts_regions();
            self.restricts_regions
                .store(restricts_regions, Ordering::Relaxed);
            let service = site.services.get(&self.settings.service);
            self.gateway.set_cold_rules(service.and_then(ColdRules::of));
            *known = Some(Arc::new(site));
        }
        self.site_archive().insert(version, document);
        self.site_tracker.on_applied(version);
        self.member_updates.notify_one();
        if self.restricts_regions.load(Ordering::Relaxed) {
            // Requests that wait for the target may not be allowed here any more.
            self.gateway.wake_waiting_requests();
        }
        let node = self.clone();
        // A heartbeat names the new version at once.
        tokio::spawn(async move { send_reader_heartbeat(&node).await });
    }

    /// Applies a site document from the store; if it is invalid, the previous one stays in force.
    pub fn apply_stored_document(self: &Arc<Self>, document: &Bytes) {
        let archive = self.site_archive();
        let is_known = archive.current().is_some_and(|d| d.content == *document);
        drop(archive);
        if is_known {
            return;
        }
        match self.dialect.read_site(document) {
            Ok(site) => self.store_site_document(site, document.clone(), "store"),
            Err(error) => emit_event!(Warn, events::SITE_REFUSED, fault = error.to_string()),
        }
    }

    /// Returns whether a request was routed by an old site document to a service to which its route does
    /// not lead any more.
    ///
    /// For a second after this router applied its document, no request counts as such: other routers may
    /// still be applying it.
    #[must_use]
    pub fn is_outdated_route(&self, call: &RunCall) -> bool {
        let in_force_for = {
            let progress = self.site_tracker.progress();
            progress.in_force_for(boot_clock::now())
        };
        let Some(site) = self.site().filter(|site| site.version > call.site) else {
            return false;
        };
        if in_force_for < Some(MAX_ROUTE_LAG) {
            return false;
        }
        if !call.headers.iter().any(|(name, _)| name == "host") {
            return false;
        }
        let route = find_route(&site, &call.headers, &call.path);
        !route.is_some_and(|route| route.splits.iter().any(|split| split.0 == call.service))
    }

    /// Returns true if each key of a service is owned by a single target.
    #[must_use]
    pub fn is_divided_by_key(&self, service: &str) -> bool {
        let site = self.site();
        let service = site.as_ref().and_then(|site| site.services.get(service));
        service.is_some_and(|service| service.divided_by_key)
    }

    /// Returns true if a service limits the requests to its cold targets.
    #[must_use]
    pub fn limits_cold_targets(&self, service: &str) -> bool {
        let site = self.site();
        let service = site.as_ref().and_then(|site| site.services.get(service));
        service.is_some_and(|service| service.cold_rate.is_some())
    }

    /// Returns the path of the local target's health check; `None` if the site document has none.
    #[must_use]
    pub fn health_path(&self) -> Option<Arc<str>> {
        let site = self.site()?;
        let path = &site.services.get(&self.settings.service)?.health_path;
        (!path.is_empty()).then(|| path.clone())
    }

    /// Returns the shard of a key; `None` without a key or if the service is not divided by key.
    #[must_use]
    pub fn shard_of(&self, service: &str, key: Option<KeyNumber>) -> Option<ShardId> {
        let key = key.filter(|_| self.is_divided_by_key(service))?;
        Some(u32::from(key) / (KEY_SPACE / SHARD_COUNT))
    }

    // --- directory -------------------------------------------------------------------------------

    /// Stores an entry unless a newer one is known.
    pub fn store_entry(&self, entry: DirectoryEntry) {
        self.store_entries([entry]);
    }

    /// Stores entries unless newer ones are known.
    pub fn store_entries(&self, entries: impl IntoIterator<Item = DirectoryEntry>) {
        self.update_directory(entries, DirectoryView::insert_newer);
    }

    /// Stores entries that their routers have confirmed themselves after their leases in the store
    /// expired.
    pub fn store_confirmed_entries(&self, entries: impl IntoIterator<Item = DirectoryEntry>) {
        let now = boot_clock::now();
        self.update_directory(entries, |directory, entry| directory.confirm(entry, now));
    }

    /// Applies entries together, so that the targets of a service are selected anew once for all of them.
    fn update_directory(
        &self,
        entries: impl IntoIterator<Item = DirectoryEntry>,
        apply: impl Fn(&mut DirectoryView, DirectoryEntry) -> bool,
    ) {
        let others = entries
            .into_iter()
            .filter(|entry| entry.place.node != self.settings.node);
        let mut changed = Vec::new();
        {
            let mut directory = self.directory();
            for entry in others {
                if apply(&mut directory, entry.clone()) {
                    changed.push(entry);
                }
            }
        }
        let now = boot_clock::now();
        for entry in &changed {
            lock(&self.withdrawn_routers).apply(entry, now);
        }
        match &changed[..] {
            [] => return,
            [entry] => emit_event!(
                Info,
                events::ROUTER_SEEN,
                router = &*entry.place.node,
                service = &*entry.service,
                ready = entry.is_ready(),
                version = entry.version
            ),
            entries => emit_event!(
                Info,
                events::ROUTERS_SEEN,
                routers = entries.len(),
                ready = entries.iter().filter(|entry| entry.is_ready()).count()
            ),
        }
        let services: BTreeSet<&ServiceName> = changed.iter().map(|entry| &entry.service).collect();
        for service in services {
            self.refresh_selector(service);
        }
        for entry in &changed {
            self.expect_cold_start(entry);
        }
    }

    /// Keeps requests away from the target of a router that was cold when it started, until it reports its load.
    fn expect_cold_start(&self, entry: &DirectoryEntry) {
        let cold_ms = entry.target.as_ref().map_or(0, |target| target.cold_ms);
        if cold_ms == 0 || !self.limits_cold_targets(&entry.service) {
            return;
        }
        if let Some(selector) = self.target_choices().get_mut(&entry.service) {
            let cold_for = Duration::from_millis(cold_ms.into());
            selector.expect_cold(&entry.place.node, cold_for, boot_clock::now());
        }
    }

    /// Removes the routers whose entries have expired and did not come back within the grace period.
    pub fn expire_entries(&self) {
        let expired = self.directory().remove_expired(boot_clock::now());
        if expired.is_empty() {
            return;
        }
        for router in &expired {
            emit_event!(Warn, events::ROUTER_LAPSED, router = &**router);
        }
        let services: Vec<_> = self.target_choices().keys().cloned().collect();
        for service in services {
            self.refresh_selector(&service);
        }
    }

    pub(super) fn refresh_selector(&self, service: &ServiceName) {
        let own = self.own_entry();
        let members: Vec<CellMember> = {
            let directory = self.directory();
            let others = directory.of_service(service);
            let own = (own.service == *service).then_some(&own);
            let ready = others.chain(own).filter(|entry| entry.is_ready());
            let members = ready.map(DirectoryEntry::as_member);
            members
                .filter(|member| self.leaving_for(&member.node, member.incarnation).is_none())
                .filter(|member| !self.is_domain_evacuated(&member.failure_domain))
                .collect()
        };
        let mut selectors = self.target_choices();
        let selector = selectors.entry(service.clone()).or_default();
        selector.set_members(&own.as_member(), members.iter(), boot_clock::now());
        drop(selectors);
        self.route_updates.notify_waiters();
    }

    /// Returns the number of routers of a service whose targets accept requests.
    #[must_use]
    pub fn service_size(&self, service: &str) -> usize {
        let own = usize::from(*self.settings.service == *service && self.own_entry().is_ready());
        let directory = self.directory();
        own + directory
            .of_service(service)
            .filter(|e| e.is_ready())
            .count()
    }

    /// Returns false while this router has just started and knows no other router, so that it could serve
    /// nothing but requests for its own target.
    #[must_use]
    pub fn knows_routers(&self) -> bool {
        let alone = || boot_clock::now() >= self.started_at + MAX_ALONE_TIME;
        self.directory().entries().next().is_some() || alone()
    }

    /// Remembers the address of a router that has opened a link to this one.
    pub fn remember_linked_router(&self, ip: IpAddr) {
        let mut linked = lock(&self.linked_routers);
        if linked.len() < MAX_LINKED_ROUTERS {
            linked.insert(ip);
        }
    }

    /// Returns the addresses of all known routers: those in the directory and those that have
    /// opened a link to this one.
    ///
    /// All routers of a deployment use the same port for other routers.
    #[must_use]
    pub fn known_router_addresses(&self) -> Vec<SocketAddr> {
        let port = self.settings.listen.peers.port();
        let linked = lock(&self.linked_routers);
        let linked = linked.iter().map(|ip| SocketAddr::new(*ip, port));
        let mut peers = self.peer_addresses();
        peers.extend(linked);
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != self.settings.peer_address());
        peers
    }

    /// Returns the addresses of the other routers of a service.
    #[must_use]
    pub fn service_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let directory = self.directory();
        let entries = directory.of_service(service);
        entries.map(|entry| entry.place.address).collect()
    }

    /// Returns true if this router has to watch the store.
    ///
    /// It does if it is the reader of its failure domain, or replaces a reader whose heartbeats are
    /// missing.
    #[must_use]
    pub fn watches_store(&self) -> bool {
        let rank = {
            let directory = self.directory();
            let settings = &self.settings;
            reader_rank(
                &settings.node,
                &settings.failure_domain,
                directory.entries(),
            )
        };
        !lock(&self.reader).has_live_reader(rank, boot_clock::now())
    }

    /// Builds the heartbeat that this router sends to its failure domain while it is the reader.
    #[must_use]
    pub fn reader_heartbeat(&self) -> ReaderHeartbeat {
        let own = self.own_entry();
        let directory = self.directory();
        ReaderHeartbeat {
            digest: entries_digest(directory.entries().chain([&own])),
            entry: own,
            evacuations: self.evacuation_set(),
        }
    }

    /// Returns the addresses of the other routers in the failure domain.
    #[must_use]
    pub fn domain_peers(&self) -> Vec<SocketAddr> {
        let directory = self.directory();
        let domain = &self.settings.failure_domain;
        let domain_entries = directory
            .entries()
            .filter(|e| e.place.failure_domain == *domain);
        domain_entries.map(|entry| entry.place.address).collect()
    }

    /// Returns the addresses of the routers in other failure domains.
    #[must_use]
    pub fn other_domain_peers(&self) -> Vec<SocketAddr> {
        let directory = self.directory();
        let domain = &self.settings.failure_domain;
        let others = directory
            .entries()
            .filter(|e| e.place.failure_domain != *domain);
        others.map(|entry| entry.place.address).collect()
    }

    /// Returns all known directory entries, this router's own included.
    #[must_use]
    pub fn known_entries(&self) -> Vec<DirectoryEntry> {
        let own = self.own_entry();
        let directory = self.directory();
        directory.entries().cloned().chain([own]).collect()
    }

    /// Sends updates to the failure domain if this router watches the store for it.
    pub fn broadcast_to_domain(self: &Arc<Self>, updates: ReaderChanges) {
        if !self.watches_store() {
            return;
        }
        let node = self.clone();
        tokio::spawn(async move {
            let call = PeerCall::ReaderNews(updates);
            node.links
                .call_all(node.domain_peers(), &call, BACKGROUND_CALL_TIMEOUT)
                .await;
        });
    }

    /// Handles a heartbeat of the failure domain's reader, and requests entries that this router lacks.
    pub fn handle_reader_heartbeat(self: &Arc<Self>, heartbeat: &ReaderHeartbeat) {
        // The store may have expired the entry, and the reader may be new.
        self.store_confirmed_entries([heartbeat.entry.clone()]);
        if let Some(set) = &heartbeat.evacuations {
            self.apply_peer_evacuations(set, &heartbeat.entry.place.failure_domain);
        }
        let own = self.reader_heartbeat();
        let effect = lock(&self.reader).on_heartbeat(heartbeat, &own, boot_clock::now());
        // A large directory may take longer than the next heartbeats.
        if effect == HeartbeatEffect::EntriesMissing
            && !self.pulling_entries.swap(true, Ordering::Relaxed)
        {
            let (node, reader) = (self.clone(), heartbeat.entry.place.address);
            tokio::spawn(async move {
                pull_entries(&node, reader).await;
                node.pulling_entries.store(false, Ordering::Relaxed);
            });
        }
    }

    /// Has this router's directory entry written again if changes in the store have removed or replaced it.
    ///
    /// A write of the former process may take effect late, under a lease that ends soon.
    pub fn check_own_entry(&self, updates: &ReaderChanges) {
        let own = &self.settings.node;
        let mut entries = updates.entries.iter();
        let is_replaced = entries.any(|entry| entry.place.node == *own && entry.run != self.run);
        if is_replaced || updates.lapsed.contains(own) {
            self.entry_replaced.store(true, Ordering::Relaxed);
            self.entry_updates.notify_one();
        }
    }

    /// Returns whether [`Self::check_own_entry`] has found that the entry must be written again since the last call.
    #[must_use]
    pub fn take_entry_replaced(&self) -> bool {
        self.entry_replaced.swap(false, Ordering::Relaxed)
    }

    /// Applies updates that the failure domain's reader has read from the store.
    pub fn apply_reader_updates(self: &Arc<Self>, updates: ReaderChanges) {
        self.check_own_entry(&updates);
        self.store_entries(updates.entries);
        self.store_confirmed_entries(updates.confirmed);
        for node in updates.lapsed {
            self.directory().mark_expired(&node, boot_clock::now());
        }
    }

    /// Returns the addresses of the routers in the directory.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let directory = self.directory();
        directory
            .entries()
            .map(|entry| entry.place.address)
            .collect()
    }

    /// Returns this router's current directory entry.
    ///
    /// A change of the target, or its withdrawal by a stop of the router, raises the entry's version.
    #[must_use]
    pub fn own_entry(&self) -> DirectoryEntry {
        let stopping = self.is_withdrawn();
        let target = self
            .gateway
            .current_incarnation()
            .map(|current| TargetStatus {
                incarnation: current.incarnation,
                slots: current.slots,
                ready: current.state == IncarnationState::Serving,
                cold_ms: u32::try_from(current.cold_at_start.as_millis()).unwrap_or(u32::MAX),
            });
        let mut current = lock(&self.own_entry);
        if let Some(entry) = current.as_ref()
            && entry.target == target
            && entry.stopping == stopping
        {
            return entry.clone();
        }
        let entry = DirectoryEntry {
            place: self.peer_location(),
            run: self.run,
            version: self.entry_version.fetch_add(1, Ordering::Relaxed) + 1,
            service: self.settings.service.clone(),
            target,
            stopping,
        };
        *current = Some(entry.clone());
        entry
    }

    /// Publishes a change of this router's entry to the store and the other routers.
    pub fn publish_entry(self: &Arc<Self>) {
        self.entry_updates.notify_one();
        let service = self.settings.service.clone();
        self.refresh_selector(&service);
        let entry = self.own_entry();
        if entry.is_ready() {
            return;
        }
        // Other routers must stop sending requests at once if the target is not ready. Readiness may
        // reach them through the store.
        let node = self.clone();
        tokio::spawn(async move {
            let addresses = node.peer_addresses();
            let call = PeerCall::Entry(entry);
            node.links
                .call_all(addresses, &call, BACKGROUND_CALL_TIMEOUT)
                .await;
        });
    }

    fn peer_location(&self) -> PeerLocation {
        PeerLocation {
            node: self.settings.node.clone(),
            address: self.settings.peer_address(),
            failure_domain: self.settings.failure_domain.clone(),
            region: self.settings.region.clone(),
        }
    }
}
