//! Durations of recent requests of each kind.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of durations that are kept for each kind.
///
/// If three in a thousand requests take seven times as long as the others, the longest of 256 misses them half
/// of the time, and the longest of 1,024 one time in twenty.
const MAX_SAMPLES: usize = 1_024;

/// Minimum number of durations from which a median and a tail are derived.
const MIN_SAMPLES: usize = 256;

/// Maximum number of kinds; together they take 512 KiB at most.
const MAX_KINDS: usize = 128;

/// The durations of the latest requests of each kind, such as a route.
#[derive(Clone, Debug, Default)]
pub struct RecentDurations {
    kinds: BTreeMap<Arc<str>, KindSamples>,
    recorded: u64,
}

/// How long requests of one kind take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindDurations {
    /// Half of the requests take at most this long.
    pub median: Duration,
    /// The longest of the recent requests took this long.
    pub tail: Duration,
}

#[derive(Clone, Debug, Default)]
struct KindSamples {
    millis: Vec<u32>,
    /// Index of the oldest duration once all places are taken.
    oldest: usize,
    /// Number of the latest duration among those of all kinds.
    latest: u64,
}

impl RecentDurations {
    /// Adds the duration of a request that was answered or timed out.
    ///
    /// If there are too many kinds, the one that was absent longest is forgotten.
    pub fn record(&mut self, kind: &Arc<str>, took: Duration) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            let absent_longest = self.kinds.iter().min_by_key(|(_, samples)| samples.latest);
            if let Some(forgotten) = absent_longest.map(|(kind, _)| kind.clone()) {
                self.kinds.remove(&forgotten);
            }
        }
        self.recorded += 1;
        let samples = self.kinds.entry(kind.clone()).or_default();
        samples.latest = self.recorded;
        samples.add(u32::try_from(took.as_millis() + 1).unwrap_or(u32::MAX));
    }

    /// Returns how long requests of a kind take; `None` if too few of them were recorded.
    #[must_use]
    pub fn of_kind(&self, kind: &str) -> Option<KindDurations> {
        let samples = self.kinds.get(kind)?;
        if samples.millis.len() < MIN_SAMPLES {
            return None;
        }
        let mut millis = samples.millis.clone();
        let middle = (millis.len() - 1) / 2;
        let (_, median, longer) = millis.select_nth_unstable(middle);
        let longest = longer.iter().max().unwrap_or(median);
        Some(KindDurations {
            median: Duration::from_millis((*median).into()),
            tail: Duration::from_millis((*longest).into()),
        })
    }
}

impl KindSamples {
    fn add(&mut self, millis: u32) {
        if self.millis.len() < MAX_SAMPLES {
            self.millis.push(millis);
            return;
        }
        self.millis[self.oldest] = millis;
        self.oldest = (self.oldest + 1) % MAX_SAMPLES;
    }
}
