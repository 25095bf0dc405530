//! Which routers there are, as one router sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{BootTime, CellMember, NodeId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::peers::{PeerPlace, TargetPlace};

/// An entry that lapsed counts as there for this long, and for as long again after each answer of its
/// router.
///
/// After an outage of the store all entries may have lapsed; those whose router lives are back
/// within about two seconds. A router that alone does not reach the store lapses too, and serves on.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// What a router tells of itself and of the target beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The router.
    pub place: PeerPlace,
    /// Which run of the process, in milliseconds since the Unix epoch.
    pub run: u64,
    /// Goes up with each change in one run.
    pub version: u64,
    /// The service of the target beside it.
    pub service: ServiceName,
    /// The target, once it has been heard from.
    pub target: Option<TargetPlace>,
    /// True once the router is stopping.
    pub stopping: bool,
}

impl DirectoryEntry {
    /// True where the target takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.target.as_ref().is_some_and(|target| target.ready)
    }

    /// The router as a member of its service.
    #[must_use]
    pub fn as_member(&self) -> CellMember {
        CellMember {
            node: self.place.node.clone(),
            incarnation: self.target.as_ref().map_or(0, |target| target.incarnation),
            peer_address: self.place.address,
            failure_domain: self.place.failure_domain.clone(),
            region: self.place.region.clone(),
            leaving: !self.is_ready(),
        }
    }
}

/// The entries by router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryView {
    entries: BTreeMap<NodeId, SeenEntry>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct SeenEntry {
    entry: DirectoryEntry,
    lapsed_at: Option<BootTime>,
}

impl DirectoryView {
    /// Takes an entry; an older one changes nothing. Returns whether it is news.
    pub fn take(&mut self, entry: DirectoryEntry) -> bool {
        let known = self.entries.get_mut(&entry.place.node);
        if let Some(seen) = known {
            let older = (entry.run, entry.version) < (seen.entry.run, seen.entry.version);
            // The time of day may have been put back between two runs, so another run whose entry
            // follows a lapse counts.
            if older && (seen.lapsed_at.is_none() || entry.run == seen.entry.run) {
                return false;
            }
            seen.lapsed_at = None;
            if seen.entry == entry {
                return false;
            }
        }
        let seen = SeenEntry {
            entry,
            lapsed_at: None,
        };
        self.entries.insert(seen.entry.place.node.clone(), seen);
        true
    }

    /// An entry is gone from the store.
    pub fn lapse(&mut self, node: &str, now: BootTime) {
        if let Some(seen) = self.entries.get_mut(node) {
            seen.lapsed_at.get_or_insert(now);
        }
    }

    /// A router has told its entry itself; says whether that is news. Where its entry in the store lapsed
    /// it counts as there for a while longer.
    pub fn confirm(&mut self, entry: DirectoryEntry, now: BootTime) -> bool {
        let node = entry.place.node.clone();
        let lapsed = self.is_lapsed(&node);
        let is_news = self.take(entry);
        if lapsed && let Some(seen) = self.entries.get_mut(&node) {
            seen.lapsed_at = Some(now);
        }
        is_news
    }

    /// True for a router whose entry in the store lapsed and is not back.
    #[must_use]
    pub fn is_lapsed(&self, node: &str) -> bool {
        let seen = self.entries.get(node);
        seen.is_some_and(|seen| seen.lapsed_at.is_some())
    }

    /// Where the routers are reached whose entries lapsed.
    pub fn lapsed(&self) -> impl Iterator<Item = SocketAddr> {
        let seen = self.entries.values().filter(|s| s.lapsed_at.is_some());
        seen.map(|seen| seen.entry.place.address)
    }

    /// Takes a full list: what is missing has lapsed.
    pub fn retain_listed(&mut self, listed: &[NodeId], now: BootTime) {
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|n| !listed.contains(n))
            .cloned()
            .collect();
        for node in missing {
            self.lapse(&node, now);
        }
    }

    /// Drops what lapsed and did not come back; returns the routers that are gone.
    pub fn expire(&mut self, now: BootTime) -> Vec<NodeId> {
        let gone = |seen: &SeenEntry| seen.lapsed_at.is_some_and(|at| now >= at + LAPSE_GRACE);
        let names: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, seen)| gone(seen))
            .map(|(node, _)| node.clone())
            .collect();
        self.entries.retain(|_, seen| !gone(seen));
        names
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().map(|seen| &seen.entry)
    }

    /// The entries of the routers beside a service's targets.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.entries()
            .filter(move |entry| &*entry.service == service)
    }

    /// Where a router's peers reach it.
    #[must_use]
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        Some(self.entries.get(node)?.entry.place.address)
    }
}
