//! Imbalance of runs between targets, and gaps in which a key got no response.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::{LoadHistory, LoadOutcome};

/// Imbalance of the numbers of runs between the targets of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunImbalance {
    /// Maximum number of runs of a target, divided by the mean.
    pub max_over_mean: f64,
    /// 99th percentile of the number of runs of a target, divided by the mean.
    pub p99_over_mean: f64,
}

impl RunImbalance {
    /// Computes the imbalance from the number of runs of each target; zero if there were none.
    #[must_use]
    pub fn new(runs: &[u64]) -> Self {
        let sum: u64 = runs.iter().sum();
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for runs in runs {
            histogram.saturating_record(*runs);
        }
        if sum == 0 {
            return Self::default();
        }
        let mean = sum as f64 / runs.len() as f64;
        Self {
            max_over_mean: histogram.max() as f64 / mean,
            p99_over_mean: histogram.value_at_quantile(0.99) as f64 / mean,
        }
    }
}

/// Returns for each key the longest time between consecutive responses to requests that ran.
///
/// A key that is rarely requested has long gaps even without a failure, so compare with a load
/// without faults.
#[must_use]
pub fn longest_response_gaps(history: &LoadHistory) -> BTreeMap<String, Duration> {
    let mut times: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let ran = |outcome| outcome == LoadOutcome::Ran;
    for record in history.records.iter().filter(|record| ran(record.told)) {
        let responded_at = record.sent_at + record.latency;
        times.entry(&record.key).or_default().push(responded_at);
    }
    let gaps = times.into_iter().map(|(key, mut times)| {
        times.sort();
        let pairs = times.windows(2);
        let longest = pairs.map(|pair| pair[1].saturating_sub(pair[0])).max();
        (key.to_owned(), longest.unwrap_or_default())
    });
    gaps.collect()
}
