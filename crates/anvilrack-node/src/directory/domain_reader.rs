//! Which router of a failure domain watches the store for all of it.
//!
//! A watch that wakes is a call to the store, so if every router watched, a change would cost as many
//! calls as there are routers. Words inside a failure domain cost next to nothing.
//!
//! A reader may lose the store while the others reach it. The next router by name then reads in its
//! place, and the others go on listening.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use anvilrack_core::{BootTime, NodeId, SiteVersion};
use serde::{Deserialize, Serialize};

use crate::directory::DirectoryEntry;

/// Time between two signs of life of a reader.
pub const READER_BEAT: Duration = Duration::from_millis(300);

/// A reader that is silent for so long is not waited for: the next router in line reads.
///
/// Three beats, and less than half of the two seconds in which a document has to be in force.
const READER_SILENCE: Duration = Duration::from_millis(900);

/// Each router in line waits so much longer than the one before: a watch is set up and a beat sent in
/// that time.
const STAND_IN_STEP: Duration = Duration::from_millis(350);

/// Routers that wait one after the other; all further ones wait as long as the last of them, so that
/// none knows for long that it hears nothing.
const STAND_INS: usize = 2;

/// Unlike digests one after another that mean that news was lost, and not that it is on its way.
const UNLIKE_LIMIT: u32 = 2;

/// What a reader tells with each sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReaderBeat {
    /// The router that reads.
    pub reader: NodeId,
    /// The operators' document that it has.
    pub site: Option<SiteVersion>,
    /// Tells its view of the routers from another one.
    pub digest: u64,
}

/// What a router makes of its domain's reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderWatch {
    heard_at: BootTime,
    unlike: u32,
}

/// What a sign of life calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeatEffect {
    /// Nothing: this router knows what its reader knows.
    Same,
    /// The reader has a newer document.
    SiteMissing,
    /// The views of the routers stay unlike.
    EntriesMissing,
}

impl ReaderWatch {
    /// A router that starts gives a reader some time to be heard.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            heard_at: now,
            unlike: 0,
        }
    }

    /// Takes a sign of life; `own` is what this router would tell.
    ///
    /// Of two that read, the one that comes later by name does not count for the other.
    pub fn take(&mut self, beat: &ReaderBeat, own: &ReaderBeat, now: BootTime) -> BeatEffect {
        if beat.reader > own.reader {
            return BeatEffect::Same;
        }
        self.heard_at = now;
        self.unlike = if beat.digest == own.digest {
            0
        } else {
            self.unlike + 1
        };
        if beat.site > own.site {
            BeatEffect::SiteMissing
        } else if self.unlike >= UNLIKE_LIMIT {
            self.unlike = 0;
            BeatEffect::EntriesMissing
        } else {
            BeatEffect::Same
        }
    }

    /// True while a reader can be relied on by the router with that place in line.
    ///
    /// The reader itself has place zero and relies on nobody.
    #[must_use]
    pub fn is_heard(&self, place: usize, now: BootTime) -> bool {
        let Some(before) = place.checked_sub(1) else {
            return false;
        };
        let step = u32::try_from(before.min(STAND_INS)).unwrap_or(u32::MAX);
        now < self.heard_at + READER_SILENCE + STAND_IN_STEP * step
    }
}

/// The place in line of a router of a failure domain: zero for the one that reads, the first by name of
/// those that are not stopping.
#[must_use]
pub fn place_in_line<'a>(
    node: &str,
    domain: &str,
    entries: impl Iterator<Item = &'a DirectoryEntry>,
) -> usize {
    let of_domain = entries.filter(|e| *e.place.failure_domain == *domain && !e.stopping);
    of_domain.filter(|entry| *entry.place.node < *node).count()
}

/// Tells one view of the routers from another, whatever the order.
#[must_use]
pub fn digest_of<'a>(entries: impl Iterator<Item = &'a DirectoryEntry>) -> u64 {
    entries
        .map(|entry| {
            let mut hasher = DefaultHasher::new();
            (&entry.place.node, entry.run, entry.version).hash(&mut hasher);
            hasher.finish()
        })
        .fold(0, u64::wrapping_add)
}
