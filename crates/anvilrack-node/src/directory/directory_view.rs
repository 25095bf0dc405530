//! The routers that one router knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{BootTime, CellMember, NodeId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::peers::{PeerLocation, TargetStatus};

/// An expired entry is kept for this long after it expired, and for this long after each reply of its
/// router.
///
/// After a store outage all entries may have expired; those of live routers are back within about two
/// seconds. The entry of a single router that cannot reach the store expires too, although the router
/// still serves requests.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_500);

/// A router's directory entry, which describes the router and its local target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name, address and location of the router.
    pub place: PeerLocation,
    /// Start time of the router process, in milliseconds since the Unix epoch; identifies one run.
    pub run: u64,
    /// Rises with each change of the entry within one run.
    pub version: u64,
    /// Service of the local target.
    pub service: ServiceName,
    /// State of the local target; `None` until the target has sent a notification.
    pub target: Option<TargetStatus>,
    /// True once the router is stopping and sends no new requests to its target.
    pub stopping: bool,
}

impl DirectoryEntry {
    /// Returns whether the target accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.target.as_ref().is_some_and(|target| target.ready)
    }

    /// Returns the router as a member of the cell of its service.
    ///
    /// A stop of the router does not make the member leave: its target keeps its keys.
    #[must_use]
    pub fn as_member(&self) -> CellMember {
        CellMember {
            node: self.place.node.clone(),
            incarnation: self.target.as_ref().map_or(0, |target| target.incarnation),
            peer_address: self.place.address,
            failure_domain: self.place.failure_domain.clone(),
            region: self.place.region.clone(),
            leaving: !self.target.as_ref().is_some_and(|target| target.ready),
        }
    }
}

/// Directory entries by router name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryView {
    entries: BTreeMap<NodeId, KnownEntry>,
}

/// An entry, and whether it is still in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownEntry {
    entry: DirectoryEntry,
    /// When the entry expired in the store, or when its router last confirmed it since; `None` while it
    /// is in the store.
    expired_at: Option<BootTime>,
}

impl DirectoryView {
    /// Inserts an entry unless a newer one is known. Returns whether this changed the view.
    pub fn insert_newer(&mut self, entry: DirectoryEntry) -> bool {
        let known = self.entries.get_mut(&entry.place.node);
        if let Some(known) = known {
            let older = (entry.run, entry.version) < (known.entry.run, known.entry.version);
            // The wall clock may have been set back between two runs, so after the known entry has
            // expired, an entry of any other run is accepted.
            if older && (known.expired_at.is_none() || entry.run == known.entry.run) {
                return false;
            }
            known.expired_at = None;
            if known.entry == entry {
                return false;
            }
        }
        let known = KnownEntry {
            entry,
            expired_at: None,
        };
        self.entries.insert(known.entry.place.node.clone(), known);
        true
    }

    /// Marks an entry as expired, because it is gone from the store.
    pub fn mark_expired(&mut self, node: &str, now: BootTime) {
        if let Some(known) = self.entries.get_mut(node) {
            known.expired_at.get_or_insert(now);
        }
    }

    /// Applies an entry that its router sent directly; returns whether this changed the view.
    ///
    /// An entry that had expired in the store stays marked as expired, and its grace period starts
    /// again.
    pub fn confirm(&mut self, entry: DirectoryEntry, now: BootTime) -> bool {
        let node = entry.place.node.clone();
        let was_expired = self.is_expired(&node);
        let is_changed = self.insert_newer(entry);
        if was_expired && let Some(known) = self.entries.get_mut(&node) {
            known.expired_at = Some(now);
        }
        is_changed
    }

    /// Returns whether a router's entry in the store has expired and is not back.
    #[must_use]
    pub fn is_expired(&self, node: &str) -> bool {
        let known = self.entries.get(node);
        known.is_some_and(|known| known.expired_at.is_some())
    }

    /// Returns the peer addresses of the routers whose entries have expired.
    pub fn expired_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self
            .entries
            .values()
            .filter(|known| known.expired_at.is_some());
        known.map(|known| known.entry.place.address)
    }

    /// Applies a full list of routers: entries that are missing from it expire.
    pub fn mark_unlisted_expired(&mut self, listed: &[NodeId], now: BootTime) {
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|n| !listed.contains(n))
            .cloned()
            .collect();
        for node in missing {
            self.mark_expired(&node, now);
        }
    }

    /// Removes the entries whose grace period has ended and returns the names of their routers.
    pub fn remove_expired(&mut self, now: BootTime) -> Vec<NodeId> {
        let gone = |e: &KnownEntry| e.expired_at.is_some_and(|at| now >= at + EXPIRY_GRACE);
        let names: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, known)| gone(known))
            .map(|(node, _)| node.clone())
            .collect();
        self.entries.retain(|_, known| !gone(known));
        names
    }

    /// Returns all entries, including expired ones within their grace period.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values().map(|known| &known.entry)
    }

    /// Returns the number of entries, including expired ones within their grace period.
    #[must_use]
    pub fn router_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entries of the routers whose local target belongs to the service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.entries()
            .filter(move |entry| &*entry.service == service)
    }

    /// Returns the address at which peers reach a router; `None` if the router is unknown.
    #[must_use]
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        Some(self.entries.get(node)?.entry.place.address)
    }
}
