//! The keys that bring most requests, in bounded memory.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts keys by the space-saving algorithm.
///
/// A key that brings more than one in `places` of all requests is always among those kept, and its
/// count is too high by at most `error`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySketch {
    places: usize,
    counts: BTreeMap<Arc<str>, KeyCount>,
}

/// How often a key was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyCount {
    /// No fewer than the requests seen.
    pub count: u64,
    /// By how much the count may be too high.
    pub error: u64,
}

impl KeySketch {
    /// You give the number of keys that are kept.
    #[must_use]
    pub fn new(places: usize) -> Self {
        Self {
            places: places.max(1),
            counts: BTreeMap::new(),
        }
    }

    /// Counts one request.
    pub fn count(&mut self, key: &Arc<str>) {
        if let Some(known) = self.counts.get_mut(key) {
            known.count += 1;
            return;
        }
        let error = if self.counts.len() < self.places {
            0
        } else {
            self.evict_least()
        };
        let count = error + 1;
        self.counts.insert(key.clone(), KeyCount { count, error });
    }

    fn evict_least(&mut self) -> u64 {
        let least = self.counts.iter().min_by_key(|(_, known)| known.count);
        let Some((key, known)) = least.map(|(key, known)| (key.clone(), *known)) else {
            return 0;
        };
        self.counts.remove(&key);
        known.count
    }

    /// Halves all counts, so that what was hot long ago is forgotten.
    pub fn decay(&mut self) {
        self.counts.retain(|_, known| {
            known.count /= 2;
            known.error /= 2;
            known.count > 0
        });
    }

    /// The keys that surely bring most, with their counts; the greatest first.
    #[must_use]
    pub fn hottest(&self, most: usize) -> Vec<(Arc<str>, KeyCount)> {
        let known = self.counts.iter();
        let mut keys: Vec<_> = known.map(|(key, known)| (key.clone(), *known)).collect();
        keys.sort_by_key(|(_, known)| std::cmp::Reverse(known.count - known.error));
        keys.truncate(most);
        keys
    }
}
