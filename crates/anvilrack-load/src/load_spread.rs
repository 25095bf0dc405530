//! How evenly targets were used, and how long keys were without an answer.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::{LoadHistory, ToldVerdict};

/// Runs of the targets of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunSpread {
    /// The greatest number of runs over the mean.
    pub max_over_mean: f64,
    /// The number that 99 in 100 targets keep, over the mean.
    pub p99_over_mean: f64,
}

impl RunSpread {
    /// You give the number of runs of each target.
    #[must_use]
    pub fn new(runs: &[u64]) -> Self {
        let sum: u64 = runs.iter().sum();
        let Ok(mut spread) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for runs in runs {
            spread.saturating_record(*runs);
        }
        if sum == 0 {
            return Self::default();
        }
        let mean = sum as f64 / runs.len() as f64;
        Self {
            max_over_mean: spread.max() as f64 / mean,
            p99_over_mean: spread.value_at_quantile(0.99) as f64 / mean,
        }
    }
}

/// The longest time that each key went without an answer, from its first to its last.
///
/// A key that is asked seldom has long gaps by itself: compare with a run without a fault.
#[must_use]
pub fn longest_gaps(history: &LoadHistory) -> BTreeMap<String, Duration> {
    let mut times: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let ran = |told| told == ToldVerdict::Ran;
    for record in history.records.iter().filter(|record| ran(record.told)) {
        let answered = record.sent_at + record.latency;
        times.entry(&record.key).or_default().push(answered);
    }
    let gaps = times.into_iter().map(|(key, mut times)| {
        times.sort();
        let pairs = times.windows(2);
        let longest = pairs.map(|pair| pair[1].saturating_sub(pair[0])).max();
        (key.to_owned(), longest.unwrap_or_default())
    });
    gaps.collect()
}
