//! Departures that a router keeps for other routers.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::{DEPARTURE_RETENTION, MAX_DEPARTURES, TargetDeparture};
use crate::{BootTime, NodeId};

/// Maximum number of routers whose departures are kept; the oldest are removed first.
const MAX_ROUTERS: usize = 1_024;

/// The departures of other routers' targets, kept in case such a router restarts while it cannot reach the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptDepartures {
    routers: HashMap<NodeId, KeptLog>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KeptLog {
    departures: Vec<TargetDeparture>,
    heard_at: BootTime,
}

impl KeptDepartures {
    /// Keeps departures of a router's targets, besides those that are already kept.
    pub fn keep(&mut self, router: &NodeId, departures: &[TargetDeparture], now: BootTime) {
        self.routers
            .retain(|_, kept| now < kept.heard_at + DEPARTURE_RETENTION);
        if !self.routers.contains_key(router) && self.routers.len() >= MAX_ROUTERS {
            let oldest = self.routers.iter().min_by_key(|(_, kept)| kept.heard_at);
            if let Some(oldest) = oldest.map(|(router, _)| router.clone()) {
                self.routers.remove(&oldest);
            }
        }
        let kept = self.routers.entry(router.clone()).or_insert(KeptLog {
            departures: Vec::new(),
            heard_at: now,
        });
        kept.heard_at = now;
        for departure in departures {
            if !kept.departures.contains(departure) {
                kept.departures.push(departure.clone());
            }
        }
        let surplus = kept.departures.len().saturating_sub(MAX_DEPARTURES);
        kept.departures.drain(..surplus);
    }

    /// Returns the departures that are kept for a router.
    #[must_use]
    pub fn of_router(&self, router: &str, now: BootTime) -> Vec<TargetDeparture> {
        let kept = self.routers.get(router);
        let kept = kept.filter(|kept| now < kept.heard_at + DEPARTURE_RETENTION);
        kept.map_or_else(Vec::new, |kept| kept.departures.clone())
    }
}

/// Returns the routers that keep the departures of the router named `node`, at most `count` of those at `addresses`.
///
/// Each process of a router selects the same ones, as far as it knows the same routers.
#[must_use]
pub fn departure_keepers<A: Copy + Ord + Hash>(
    node: &str,
    addresses: &[A],
    count: usize,
) -> Vec<A> {
    let weight = |address: &A| {
        let mut hasher = DefaultHasher::new();
        (node, address).hash(&mut hasher);
        hasher.finish()
    };
    let mut keepers = addresses.to_vec();
    keepers.sort_unstable_by_key(|address| Reverse((weight(address), *address)));
    keepers.truncate(count);
    keepers
}
