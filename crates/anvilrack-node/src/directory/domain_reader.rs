//! Selects the reader of a failure domain: the router that watches the store for the whole domain.
//!
//! A watch that wakes up is a call to the store, so if every router watched, each change would cost as
//! many calls as there are routers. Messages within a failure domain cost next to nothing.
//!
//! A reader may lose the store while the others still reach it. The next router by name then becomes
//! the reader, and the others keep listening.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use anvilrack_core::{BootTime, EvacuationSet};
use serde::{Deserialize, Serialize};

use crate::directory::DirectoryEntry;

/// Interval between two heartbeats of a reader.
pub const READER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// If a reader is silent for this long, the router of the next rank becomes the reader.
///
/// Three heartbeat intervals, and less than half of the two seconds within which a document has to be
/// in force.
const READER_SILENCE: Duration = Duration::from_millis(900);

/// A router waits this much longer than the one of the rank before it, which is enough time for that one
/// to set up a watch and send a heartbeat.
const FAILOVER_STEP: Duration = Duration::from_millis(350);

/// Maximum number of steps added to the wait of a router, so that no router stays without a reader for
/// long.
const FAILOVER_STEPS: usize = 2;

/// Number of consecutive digest mismatches that mean that a change was lost rather than still in
/// transit.
const MISMATCH_THRESHOLD: u32 = 2;

/// Content of a reader's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderHeartbeat {
    /// The reader's own directory entry, without which its failure domain could not call it.
    pub entry: DirectoryEntry,
    /// Digest of the reader's directory entries, from [`entries_digest`].
    pub digest: u64,
    /// The evacuated failure domains that the reader knows; `None` if it knows no set.
    pub evacuations: Option<EvacuationSet>,
}

/// A router's record of the heartbeats from its domain's reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderMonitor {
    heard_at: BootTime,
    /// Number of consecutive heartbeats whose digest differed.
    mismatches: u32,
}

/// What a router has to do after a heartbeat of its reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// Nothing: no change is known to be missing.
    Same,
    /// Ask for the directory entries, because the digests differed repeatedly.
    EntriesMissing,
}

impl ReaderMonitor {
    /// Creates a monitor that counts `now` as a heartbeat, so that a starting router waits for a reader.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            heard_at: now,
            mismatches: 0,
        }
    }

    /// Applies a heartbeat; `own` is the heartbeat that this router itself would send.
    ///
    /// If two routers act as readers, the one that is first by name ignores the other.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &ReaderHeartbeat,
        own: &ReaderHeartbeat,
        now: BootTime,
    ) -> HeartbeatEffect {
        if heartbeat.entry.place.node > own.entry.place.node {
            return HeartbeatEffect::Same;
        }
        self.heard_at = now;
        self.mismatches = if heartbeat.digest == own.digest {
            0
        } else {
            self.mismatches + 1
        };
        if self.mismatches >= MISMATCH_THRESHOLD {
            self.mismatches = 0;
            HeartbeatEffect::EntriesMissing
        } else {
            HeartbeatEffect::Same
        }
    }

    /// Returns whether the router of the given rank can still rely on a reader.
    ///
    /// Rank zero is the reader itself, for which this is always false.
    #[must_use]
    pub fn has_live_reader(&self, rank: usize, now: BootTime) -> bool {
        let Some(before) = rank.checked_sub(1) else {
            return false;
        };
        let steps = u32::try_from(before.min(FAILOVER_STEPS)).unwrap_or(u32::MAX);
        now < self.heard_at + READER_SILENCE + FAILOVER_STEP * steps
    }
}

/// Returns the rank of a router in its failure domain, by name among the routers that are not stopping.
/// The router of rank zero is the reader.
#[must_use]
pub fn reader_rank<'a>(
    node: &str,
    domain: &str,
    entries: impl Iterator<Item = &'a DirectoryEntry>,
) -> usize {
    let of_domain = entries.filter(|e| *e.place.failure_domain == *domain && !e.stopping);
    of_domain.filter(|entry| *entry.place.node < *node).count()
}

/// Returns a digest of a set of directory entries that does not depend on their order.
#[must_use]
pub fn entries_digest<'a>(entries: impl Iterator<Item = &'a DirectoryEntry>) -> u64 {
    entries
        .map(|entry| {
            let mut hasher = DefaultHasher::new();
            (&entry.place.node, entry.run, entry.version).hash(&mut hasher);
            hasher.finish()
        })
        .fold(0, u64::wrapping_add)
}
