//! Request counters and latency histograms in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Upper bounds of the histogram buckets for request latency, in milliseconds.
const BUCKETS_MS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/// Maximum number of series of each kind; further label values are counted as `other`.
const MAX_SERIES: usize = 400;

/// Counters by name and labels, and latency histograms by service.
#[derive(Debug, Default)]
pub struct NodeMetrics {
    series: Mutex<MetricSeries>,
}

#[derive(Debug, Default)]
struct MetricSeries {
    counters: BTreeMap<(&'static str, String), u64>,
    histograms: BTreeMap<String, LatencyHistogram>,
}

#[derive(Debug, Default)]
struct LatencyHistogram {
    counts: [u64; BUCKETS_MS.len() + 1],
    sum: Duration,
}

impl NodeMetrics {
    /// Increments a counter; `labels` are written as `key="value",…`.
    pub fn count(&self, name: &'static str, labels: String) {
        self.add(name, labels, 1);
    }

    /// Adds `amount` to a counter; `labels` are written as `key="value",…`.
    pub fn add(&self, name: &'static str, labels: String, amount: u64) {
        let mut series = self.series();
        let full = series.counters.len() >= MAX_SERIES;
        let labels = if full && !series.counters.contains_key(&(name, labels.clone())) {
            "other=\"yes\"".to_owned()
        } else {
            labels
        };
        *series.counters.entry((name, labels)).or_default() += amount;
    }

    /// Records the latency of a request to a service.
    pub fn record(&self, service: &str, duration: Duration) {
        let mut series = self.series();
        let key = if series.histograms.len() < MAX_SERIES {
            service
        } else {
            "other"
        };
        let histogram = series.histograms.entry(key.to_owned()).or_default();
        let bucket = BUCKETS_MS
            .iter()
            .position(|bound| duration <= Duration::from_millis(*bound));
        histogram.counts[bucket.unwrap_or(BUCKETS_MS.len())] += 1;
        histogram.sum += duration;
    }

    /// Returns all series in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let series = self.series();
        let mut text = String::new();
        for ((name, labels), count) in &series.counters {
            let _ = writeln!(text, "anvilrack_{name}_total{{{labels}}} {count}");
        }
        for (service, histogram) in &series.histograms {
            let name = "anvilrack_request_duration_seconds";
            let mut total = 0;
            for (count, bound) in histogram.counts.iter().zip(BUCKETS_MS) {
                total += count;
                let bound = Duration::from_millis(bound).as_secs_f64();
                let _ = writeln!(
                    text,
                    "{name}_bucket{{service=\"{service}\",le=\"{bound}\"}} {total}"
                );
            }
            total += histogram.counts[BUCKETS_MS.len()];
            let sum = histogram.sum.as_secs_f64();
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
