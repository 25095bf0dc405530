//! Shares a fixed capacity fairly between a changing set of holders.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A holder may acquire another unit while it holds less than this many times the free capacity.
const MAX_HELD_PER_FREE: usize = 2;

/// Fixed capacity shared by holders that come and go.
///
/// Each holder may have up to twice the capacity that is still free: a single holder gets two thirds, two
/// holders get two fifths each. A new holder therefore always finds free capacity, and the number of
/// holders need not be known in advance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FairShare {
    capacity: usize,
    used: usize,
    held: BTreeMap<Arc<str>, usize>,
}

impl FairShare {
    /// Creates a share of `capacity` units, all of them free.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            held: BTreeMap::new(),
        }
    }

    /// Acquires one unit if the share of `holder` allows it; returns false otherwise.
    pub fn try_acquire(&mut self, holder: &Arc<str>) -> bool {
        let free = self.capacity.saturating_sub(self.used);
        let held = self.held.get(holder).copied().unwrap_or(0);
        let allowed = held < free * MAX_HELD_PER_FREE;
        if allowed {
            self.used += 1;
            self.held.insert(holder.clone(), held + 1);
        }
        allowed
    }

    /// Releases one unit of `holder`.
    pub fn release(&mut self, holder: &str) {
        let Some(held) = self.held.get_mut(holder) else {
            return;
        };
        *held -= 1;
        self.used -= 1;
        if *held == 0 {
            self.held.remove(holder);
        }
    }

    /// Returns the number of units that `holder` has.
    #[must_use]
    pub fn held(&self, holder: &str) -> usize {
        self.held.get(holder).copied().unwrap_or(0)
    }
}
