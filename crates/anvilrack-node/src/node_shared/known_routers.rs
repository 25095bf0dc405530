//! What a router knows of the others, and of the operators' document.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilrack_core::{CellMember, ServiceName, ShardId, SiteRoutes, events};
use anvilrack_router::boot_clock;
use bytes::Bytes;

use super::NodeShared;
use crate::directory::{
    BeatEffect, DirectoryEntry, DirectoryView, ReaderBeat, digest_of, place_in_line, pull_view,
    take_site,
};
use crate::guard::LifeState;
use crate::ownership::SHARD_COUNT;
use crate::peers::{PeerCall, PeerPlace, ReaderNews, TargetPlace};
use crate::state_lock::lock;
use crate::{KEY_SPACE, KeyNumber, PlatformDialect, tell};

/// Addresses of callers among routers that are remembered at most.
const MET_LIMIT: usize = 64;

/// Time for a word to another router that nobody waits for.
const TELL_LIMIT: Duration = Duration::from_millis(400);

impl<D: PlatformDialect> NodeShared<D> {
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
        self.see_entry(entry, DirectoryView::take);
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

    pub(super) fn refresh_choice(&self, service: &ServiceName) {
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
}
