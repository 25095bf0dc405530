//! Finds the keys with the most requests in bounded memory.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts requests per key with the space-saving algorithm.
///
/// A key that receives more than one in `capacity` of all requests is always among the keys kept, and its
/// count is too high by at most its [`KeyCount::error`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeySketch {
    capacity: usize,
    counts: BTreeMap<Arc<str>, KeyCount>,
}

/// Estimated number of requests for a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyCount {
    /// Upper bound on the number of requests seen.
    pub count: u64,
    /// Maximum amount by which `count` is too high.
    pub error: u64,
}

impl KeySketch {
    /// Creates a sketch that keeps at most `capacity` keys.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            counts: BTreeMap::new(),
        }
    }

    /// Counts one request for `key`.
    pub fn count(&mut self, key: &Arc<str>) {
        if let Some(known) = self.counts.get_mut(key) {
            known.count += 1;
            return;
        }
        let error = if self.counts.len() < self.capacity {
            0
        } else {
            self.evict_smallest()
        };
        let count = error + 1;
        self.counts.insert(key.clone(), KeyCount { count, error });
    }

    fn evict_smallest(&mut self) -> u64 {
        let smallest = self.counts.iter().min_by_key(|(_, known)| known.count);
        let Some((key, known)) = smallest.map(|(key, known)| (key.clone(), *known)) else {
            return 0;
        };
        self.counts.remove(&key);
        known.count
    }

    /// Halves all counts, so that keys without recent requests are eventually removed.
    pub fn decay(&mut self) {
        self.counts.retain(|_, known| {
            known.count /= 2;
            known.error /= 2;
            known.count > 0
        });
    }

    /// Returns up to `max` keys with their counts, ordered by the guaranteed count, greatest first.
    #[must_use]
    pub fn hottest(&self, max: usize) -> Vec<(Arc<str>, KeyCount)> {
        let known = self.counts.iter();
        let mut keys: Vec<_> = known.map(|(key, known)| (key.clone(), *known)).collect();
        keys.sort_by_key(|(_, known)| std::cmp::Reverse(known.count - known.error));
        keys.truncate(max);
        keys
    }
}
