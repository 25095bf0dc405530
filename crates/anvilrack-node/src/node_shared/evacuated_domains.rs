//! The failure domains that operators evacuate, as this router knows them, and what follows from that.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anvilrack_core::{
    BootTime, DomainName, EvacuationChange, EvacuationSet, Evacuations, NodeId, ServiceName,
    ShardId, StoreReading, StoreStamp, events,
};
use anvilrack_router::boot_clock;

use super::NodeState;
use crate::directory::{fetch_evacuations, spread_evacuations};
use crate::mutex_lock::lock;
use crate::ownership::leave_domain;
use crate::{NodeSettings, PlatformDialect, emit_event, observe, spawn_supervised};

/// Maximum time after its start for which a router that has learned no set, neither from the store nor from
/// another router, sends no requests to its target and assigns no shards.
const MAX_JOIN_TIME: Duration = Duration::from_secs(2);

/// Where a set came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EvacuationSource {
    Store,
    SameDomain,
    OtherDomain,
}

impl EvacuationSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::SameDomain => "same-domain",
            Self::OtherDomain => "other-domain",
        }
    }
}

/// Creates the view of a router that has just started; `None` if the deployment evacuates no domains.
pub(super) fn new_view(settings: &NodeSettings) -> Option<Mutex<Evacuations>> {
    let bound = settings.terms.evacuate_within?;
    let domain = settings.failure_domain.clone();
    Some(Mutex::new(Evacuations::new(domain, bound)))
}

impl<D: PlatformDialect> NodeState<D> {
    /// Returns whether operators may evacuate failure domains of this deployment.
    #[must_use]
    pub fn evacuates(&self) -> bool {
        self.evacuations.is_some()
    }

    /// Returns the known set, as it is sent to other routers; `None` if no set is known.
    #[must_use]
    pub fn evacuation_set(&self) -> Option<EvacuationSet> {
        self.view()?.set(boot_clock::now())
    }

    /// Applies the set of failure domains that was read from the store.
    pub fn apply_stored_evacuations(
        self: &Arc<Self>,
        stamp: StoreStamp,
        domains: &BTreeSet<DomainName>,
        reading: StoreReading,
    ) {
        let domains = domains.iter().cloned();
        let set = self
            .view()
            .map(|view| view.stored_set(stamp, domains, reading));
        if let Some(set) = set {
            self.apply_evacuations(&set, EvacuationSource::Store);
        }
    }

    /// Applies a set that a router of the failure domain `sender` has sent.
    pub fn apply_peer_evacuations(self: &Arc<Self>, set: &EvacuationSet, sender: &str) {
        let source = if *sender == *self.settings.failure_domain {
            EvacuationSource::SameDomain
        } else {
            EvacuationSource::OtherDomain
        };
        self.apply_evacuations(set, source);
    }

    /// Applies a set that another router has sent on request.
    ///
    /// It was asked because the store does not respond, so the others of the failure domain may not know
    /// the set either.
    pub fn apply_fetched_evacuations(self: &Arc<Self>, set: &EvacuationSet) {
        self.apply_evacuations(set, EvacuationSource::OtherDomain);
    }

    fn apply_evacuations(self: &Arc<Self>, set: &EvacuationSet, source: EvacuationSource) {
        let now = boot_clock::now();
        let change = self.view().and_then(|mut view| view.apply(set, now));
        let Some(change) = change.filter(|change| !change.is_empty()) else {
            return;
        };
        self.log_evacuations(set, &change, source);
        if change.ended.contains(&self.settings.failure_domain) {
            // Targets may have become cold while they got no requests.
            self.gateway.expect_cold(now);
        }
        let services: Vec<_> = self.target_choices().keys().cloned().collect();
        for service in services {
            self.refresh_selector(&service);
        }
        self.gateway.wake_waiting_requests();
        self.coordinator_updates.notify_one();
        if change.begun.contains(&self.settings.failure_domain) {
            let node = self.clone();
            spawn_supervised("leave_domain", move || leave_domain(node.clone()));
        }
        // A router that starts tells nothing new: the others have read the store before or read it now.
        if source != EvacuationSource::SameDomain && !change.is_first {
            let is_from_store = source == EvacuationSource::Store;
            tokio::spawn(spread_evacuations(self.clone(), is_from_store));
        }
    }

    fn log_evacuations(
        &self,
        set: &EvacuationSet,
        change: &EvacuationChange,
        source: EvacuationSource,
    ) {
        let StoreStamp { era, revision } = set.stamp;
        for evacuated in &set.domains {
            if change.begun.contains(&evacuated.domain) {
                emit_event!(
                    Warn,
                    events::EVACUATION_BEGAN,
                    domain = &*evacuated.domain,
                    own = evacuated.domain == self.settings.failure_domain,
                    era = era,
                    revision = revision,
                    source = source.as_str(),
                    keys_left_ms = observe::millis(evacuated.keys_left)
                );
            }
        }
        for domain in &change.ended {
            emit_event!(
                Info,
                events::EVACUATION_ENDED,
                domain = &**domain,
                own = *domain == self.settings.failure_domain,
                era = era,
                revision = revision,
                source = source.as_str()
            );
        }
    }

    /// Returns false while this router has just started and may not know which domains are evacuated.
    #[must_use]
    pub fn has_joined_evacuations(&self) -> bool {
        let is_known = self.view().is_none_or(|view| view.is_known());
        is_known || self.has_run_for(MAX_JOIN_TIME)
    }

    /// Returns the evacuated failure domains.
    #[must_use]
    pub fn evacuated_domains(&self) -> BTreeSet<DomainName> {
        self.view().map(|view| view.domains()).unwrap_or_default()
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn is_domain_evacuated(&self, domain: &str) -> bool {
        self.view().is_some_and(|view| view.is_evacuated(domain))
    }

    /// Returns whether all targets of a service that accept requests are in evacuated failure domains.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        let domains = self.evacuated_domains();
        if domains.is_empty() {
            return false;
        }
        let own = self.own_entry();
        let directory = self.directory();
        let entries = directory.of_service(service);
        let own = (own.service == *service).then_some(&own);
        let mut ready = entries
            .chain(own)
            .filter(|entry| entry.is_ready())
            .peekable();
        ready.peek().is_some() && ready.all(|e| domains.contains(&e.place.failure_domain))
    }

    /// Returns whether the local target gets no requests of this kind because its domain is evacuated.
    #[must_use]
    pub fn refuses_evacuated(&self, shard: Option<ShardId>, now: BootTime) -> bool {
        let view = self.view();
        view.is_some_and(|view| view.refuses(shard.is_some(), now))
    }

    /// Returns whether the local target must hold no more keys because its domain is evacuated.
    #[must_use]
    pub fn must_release_keys(&self, now: BootTime) -> bool {
        self.own_keys_until().is_some_and(|until| now >= until)
    }

    /// Returns until when the local target may serve keys; `None` while its domain is not evacuated.
    #[must_use]
    pub fn own_keys_until(&self) -> Option<BootTime> {
        self.view()?.own_keys_until()
    }

    /// Returns when the latest evacuation of this router's own failure domain ended; `None` if there was
    /// none since this router started, or while the domain is evacuated.
    #[must_use]
    pub fn evacuation_ended_at(&self) -> Option<BootTime> {
        self.view()?.own_ended_at()
    }

    /// Fetches the set from a router that has refused a request because its domain is evacuated, unless
    /// this router knows of that.
    pub fn on_evacuated_refusal(self: &Arc<Self>, router: &NodeId, address: SocketAddr) {
        let domain = {
            let directory = self.directory();
            let mut entries = directory.entries();
            let entry = entries.find(|entry| entry.place.node == *router);
            entry.map(|entry| entry.place.failure_domain.clone())
        };
        let is_known = domain.is_some_and(|domain| self.is_domain_evacuated(&domain));
        let is_own = *router == self.settings.node;
        if is_known || is_own || self.fetching_evacuations.swap(true, Ordering::Relaxed) {
            return;
        }
        let node = self.clone();
        tokio::spawn(async move {
            fetch_evacuations(&node, address).await;
            node.fetching_evacuations.store(false, Ordering::Relaxed);
        });
    }

    fn view(&self) -> Option<MutexGuard<'_, Evacuations>> {
        self.evacuations.as_ref().map(lock)
    }
}
