//! Results of a load.

use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{LoadHistory, LoadOutcome};

/// Maximum latency that the histogram records, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts, violations and latencies of one load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests with the verdict "ran" and the response that belongs to them.
    pub ran: u64,
    /// Requests with the verdict "not run".
    pub not_run: u64,
    /// Requests with the verdict "may have run", or without a complete response.
    pub may_have_run: u64,
    /// Claims (POST) that ran more than once.
    pub run_twice: u64,
    /// Responses that belong to another request or are incomplete, and requests with the verdict
    /// "ran" that no target ran.
    pub wrong_answer: u64,
    /// Requests with the verdict "not run" that did run.
    pub not_run_but_ran: u64,
    /// Conflicts between runs of one key on two targets, which show that the key had two owners.
    pub two_owners: u64,
    /// Median latency of requests that ran, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of requests that ran, in microseconds.
    pub p99_us: u64,
    /// Maximum latency of requests that ran, in microseconds.
    pub max_us: u64,
    /// Requests that ran, per second.
    pub requests_per_second: f64,
}

impl LoadReport {
    /// Returns whether the load had no violation: no claim ran twice, no request that was reported
    /// as not run did run, no response was wrong, and no key had two owners.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let violations = [
            self.run_twice,
            self.wrong_answer,
            self.not_run_but_ran,
            self.two_owners,
        ];
        violations.iter().all(|violation| *violation == 0)
    }

    /// Fills in the latencies and the throughput from `history`.
    #[must_use]
    pub fn with_latencies(mut self, history: &LoadHistory) -> Self {
        let Ok(mut latencies) = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3) else {
            return self;
        };
        let ran = history
            .records
            .iter()
            .filter(|record| record.told == LoadOutcome::Ran);
        for record in ran {
            let us = u64::try_from(record.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            latencies.saturating_record(us);
        }
        self.p50_us = latencies.value_at_quantile(0.5);
        self.p99_us = latencies.value_at_quantile(0.99);
        self.max_us = latencies.max();
        self.requests_per_second = self.ran as f64 / history.elapsed.as_secs_f64().max(1e-9);
        self
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("sent", self.sent),
            ("ran", self.ran),
            ("not run", self.not_run),
            ("may have run", self.may_have_run),
            ("run twice", self.run_twice),
            ("wrong answer", self.wrong_answer),
            ("not run but ran", self.not_run_but_ran),
            ("two owners", self.two_owners),
            ("p50, us", self.p50_us),
            ("p99, us", self.p99_us),
            ("max, us", self.max_us),
        ];
        for (name, value) in rows {
            writeln!(formatter, "{name:<20}{value:>12}")?;
        }
        write!(
            formatter,
            "{:<20}{:>12.0}",
            "ran, per second", self.requests_per_second
        )
    }
}
