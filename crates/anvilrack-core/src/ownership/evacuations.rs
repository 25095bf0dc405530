//! The failure domains that operators evacuate.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BootTime, DomainName, bounded_duration};

/// Part of the bound, in percent, for which owners may serve their keys after the evacuation was requested.
///
/// The rest is for the way of the request to the last router, and for messages that are in flight.
const HANDOVER_PERCENT: u32 = 60;

/// The same part if this router has read the request in a list, and so does not know when it was written.
///
/// Until a failed reader of the store is replaced, the others may miss a request for up to 3 s of 5 s.
const LATE_HANDOVER_PERCENT: u32 = 20;

/// State of the store at which a set was read, ordered by era and then by revision.
///
/// A store that was restored from a copy has a newer era and may have a smaller revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreStamp {
    /// Rises with each restore of the store.
    pub era: u64,
    /// Rises with each change within one era.
    pub revision: u64,
}

/// The set of evacuated failure domains, as routers send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// State of the store at which the set was read.
    pub stamp: StoreStamp,
    /// The evacuated failure domains.
    pub domains: Vec<EvacuatedDomain>,
}

/// A failure domain that is evacuated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EvacuatedDomain {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Time for which owners in the domain may still serve their keys.
    #[serde(deserialize_with = "bounded_duration")]
    pub keys_left: Duration,
}

/// How a router has read a set from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReading {
    /// By a watch, which reports a change as soon as it is written.
    Watch,
    /// By a list; what is new in it may have been written some time ago.
    List,
}

/// What a newer set has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Failure domains that are evacuated from now on.
    pub begun: Vec<DomainName>,
    /// Failure domains that are not evacuated any more.
    pub ended: Vec<DomainName>,
    /// Whether no set was known before.
    pub is_first: bool,
}

impl EvacuationChange {
    /// Returns whether the new set has the same failure domains as the one before.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty() && !self.is_first
    }
}

/// The evacuated failure domains that one router knows, and since when.
///
/// The newest set wins, by era and then by revision. An empty set is news as well: it ends the evacuations
/// of an older one.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::{Evacuations, StoreReading, StoreStamp};
///
/// let mut evacuations = Evacuations::new("north-a".into(), Duration::from_secs(5));
/// let set = evacuations.stored_set(StoreStamp::default(), ["north-a".into()], StoreReading::Watch);
/// assert!(evacuations.apply(&set, Duration::ZERO).is_some());
/// assert!(evacuations.is_evacuated("north-a"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuations {
    own_domain: DomainName,
    bound: Duration,
    /// State of the store at which the set was read; `None` while no set is known.
    stamp: Option<StoreStamp>,
    /// Until when the owners in each evacuated domain may serve their keys.
    keys_until: BTreeMap<DomainName, BootTime>,
    own_ended_at: Option<BootTime>,
}

impl Evacuations {
    /// Creates the view of a router in `own_domain` that knows no set; `bound` is the time within which
    /// targets in an evacuated domain must get no more requests.
    #[must_use]
    pub fn new(own_domain: DomainName, bound: Duration) -> Self {
        Self {
            own_domain,
            bound,
            stamp: None,
            keys_until: BTreeMap::new(),
            own_ended_at: None,
        }
    }

    /// Returns the set of `domains` that were read from the store, with the time that this leaves for the
    /// keys of each.
    ///
    /// A router that has just started leaves no time: the evacuation may have been requested long ago.
    pub fn stored_set(
        &self,
        stamp: StoreStamp,
        domains: impl IntoIterator<Item = DomainName>,
        reading: StoreReading,
    ) -> EvacuationSet {
        let keys_left = match reading {
            StoreReading::Watch => self.handover_time(),
            StoreReading::List if self.stamp.is_some() => self.bound * LATE_HANDOVER_PERCENT / 100,
            StoreReading::List => Duration::ZERO,
        };
        let domains = domains.into_iter();
        EvacuationSet {
            stamp,
            domains: domains
                .map(|domain| EvacuatedDomain { domain, keys_left })
                .collect(),
        }
    }

    /// Applies a set if it is newer than the known one, and returns what that changes.
    ///
    /// A domain that was evacuated before keeps its time for keys.
    pub fn apply(&mut self, set: &EvacuationSet, now: BootTime) -> Option<EvacuationChange> {
        if self.stamp >= Some(set.stamp) {
            return None;
        }
        let is_first = self.stamp.replace(set.stamp).is_none();
        let handover_time = self.handover_time();
        let until = |evacuated: &EvacuatedDomain| now + evacuated.keys_left.min(handover_time);
        let earlier = std::mem::take(&mut self.keys_until);
        self.keys_until = set
            .domains
            .iter()
            .map(|evacuated| {
                let known = earlier.get(&evacuated.domain).copied();
                let until = known.unwrap_or_else(|| until(evacuated));
                (evacuated.domain.clone(), until)
            })
            .collect();
        let only_in = |this: &BTreeMap<DomainName, BootTime>, other: &BTreeMap<_, _>| {
            let domains = this.keys().filter(|domain| !other.contains_key(*domain));
            domains.cloned().collect::<Vec<_>>()
        };
        let change = EvacuationChange {
            begun: only_in(&self.keys_until, &earlier),
            ended: only_in(&earlier, &self.keys_until),
            is_first,
        };
        if change.ended.contains(&self.own_domain) {
            self.own_ended_at = Some(now);
        } else if change.begun.contains(&self.own_domain) {
            self.own_ended_at = None;
        }
        Some(change)
    }

    /// Returns the known set, as it is sent to other routers; `None` while none is known.
    #[must_use]
    pub fn set(&self, now: BootTime) -> Option<EvacuationSet> {
        let domains = self.keys_until.iter();
        let evacuated = |(domain, until): (&DomainName, &BootTime)| EvacuatedDomain {
            domain: domain.clone(),
            keys_left: until.saturating_sub(now),
        };
        Some(EvacuationSet {
            stamp: self.stamp?,
            domains: domains.map(evacuated).collect(),
        })
    }

    /// Returns whether a set is known, from the store or from another router.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.stamp.is_some()
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.keys_until.contains_key(domain)
    }

    /// Returns the evacuated failure domains.
    #[must_use]
    pub fn domains(&self) -> BTreeSet<DomainName> {
        self.keys_until.keys().cloned().collect()
    }

    /// Returns until when the local target may serve keys; `None` while its domain is not evacuated.
    #[must_use]
    pub fn own_keys_until(&self) -> Option<BootTime> {
        self.keys_until.get(&self.own_domain).copied()
    }

    /// Returns whether the local target must refuse a request that has a shard, or one that has none.
    #[must_use]
    pub fn refuses(&self, has_shard: bool, now: BootTime) -> bool {
        let keys_until = self.own_keys_until();
        keys_until.is_some_and(|until| !has_shard || now >= until)
    }

    /// Returns when the latest evacuation of this router's own failure domain ended; `None` if there was
    /// none, or while it is evacuated.
    #[must_use]
    pub fn own_ended_at(&self) -> Option<BootTime> {
        self.own_ended_at
    }

    /// Returns for how long owners may serve their keys after the evacuation was requested.
    fn handover_time(&self) -> Duration {
        self.bound * HANDOVER_PERCENT / 100
    }
}
