//! A bound that keeps one holder from taking everything.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A holder may take more while it has less than this many times what is free.
const FREE_FACTOR: usize = 2;

/// Places shared by holders who come and go.
///
/// Each may hold up to twice what is still free: one alone gets two thirds, two get two fifths
/// each. So there is always room for a newcomer, and nobody has to say how many there will be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FairShare {
    places: usize,
    taken: usize,
    held: BTreeMap<Arc<str>, usize>,
}

impl FairShare {
    /// You give the number of places.
    #[must_use]
    pub fn new(places: usize) -> Self {
        Self {
            places,
            taken: 0,
            held: BTreeMap::new(),
        }
    }

    /// Takes a place where the holder's share allows it.
    pub fn enter(&mut self, holder: &Arc<str>) -> bool {
        let free = self.places.saturating_sub(self.taken);
        let held = self.held.get(holder).copied().unwrap_or(0);
        let allowed = held < free * FREE_FACTOR;
        if allowed {
            self.taken += 1;
            self.held.insert(holder.clone(), held + 1);
        }
        allowed
    }

    /// Gives a place back.
    pub fn leave(&mut self, holder: &str) {
        let Some(held) = self.held.get_mut(holder) else {
            return;
        };
        *held -= 1;
        self.taken -= 1;
        if *held == 0 {
            self.held.remove(holder);
        }
    }

    /// Places that a holder has.
    #[must_use]
    pub fn held(&self, holder: &str) -> usize {
        self.held.get(holder).copied().unwrap_or(0)
    }
}
