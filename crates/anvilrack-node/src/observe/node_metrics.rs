//! Counters and latencies, in the text form that Prometheus reads.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Upper bounds of the latency buckets, in milliseconds.
const BUCKETS_MS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/// Series that are kept; further label values are counted as `other`.
const SERIES_LIMIT: usize = 400;

/// What a router counts.
#[derive(Debug, Default)]
pub struct NodeMetrics {
    series: Mutex<MetricSeries>,
}

#[derive(Debug, Default)]
struct MetricSeries {
    counters: BTreeMap<(&'static str, String), u64>,
    latencies: BTreeMap<String, LatencyBuckets>,
}

#[derive(Debug, Default)]
struct LatencyBuckets {
    counts: [u64; BUCKETS_MS.len() + 1],
    sum: Duration,
}

impl NodeMetrics {
    /// Counts one under a name and its labels, written as `key="value",…`.
    pub fn count(&self, name: &'static str, labels: String) {
        let mut series = self.series();
        let full = series.counters.len() >= SERIES_LIMIT;
        let labels = if full && !series.counters.contains_key(&(name, labels.clone())) {
            "other=\"yes\"".to_owned()
        } else {
            labels
        };
        *series.counters.entry((name, labels)).or_default() += 1;
    }

    /// Records how long a request to a service took.
    pub fn record(&self, service: &str, took: Duration) {
        let mut series = self.series();
        let key = if series.latencies.len() < SERIES_LIMIT {
            service
        } else {
            "other"
        };
        let buckets = series.latencies.entry(key.to_owned()).or_default();
        let bucket = BUCKETS_MS
            .iter()
            .position(|bound| took <= Duration::from_millis(*bound));
        buckets.counts[bucket.unwrap_or(BUCKETS_MS.len())] += 1;
        buckets.sum += took;
    }

    /// All series as text.
    #[must_use]
    pub fn text(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        for ((name, labels), count) in &series.counters {
            let _ = writeln!(text, "anvilrack_{name}_total{{{labels}}} {count}");
        }
        for (service, buckets) in &series.latencies {
            let name = "anvilrack_request_duration_seconds";
            let mut total = 0;
            for (count, bound) in buckets.counts.iter().zip(BUCKETS_MS) {
                total += count;
                let bound = Duration::from_millis(bound).as_secs_f64();
                let _ = writeln!(
                    text,
                    "{name}_bucket{{service=\"{service}\",le=\"{bound}\"}} {total}"
                );
            }
            total += buckets.counts[BUCKETS_MS.len()];
            let sum = buckets.sum.as_secs_f64();
            let _ = writeln!(
                text,
                "{name}_bucket{{service=\"{service}\",le=\"+Inf\"}} {total}"
            );
            let _ = writeln!(text, "{name}_sum{{service=\"{service}\"}} {sum}");
            let _ = writeln!(text, "{name}_count{{service=\"{service}\"}} {total}");
        }
        text
    }

    fn series(&self) -> std::sync::MutexGuard<'_, MetricSeries> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
