//! What a load showed.

use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{LoadHistory, ToldVerdict};

/// Longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 600_000_000;

/// The figures of one load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Told "ran", with the right answer.
    pub ran: u64,
    /// Told "not run".
    pub not_run: u64,
    /// Told "may have run", or not told anything.
    pub may_have_run: u64,
    /// Claims that ran more than once.
    pub run_twice: u64,
    /// Answers that do not belong to their request.
    pub wrong_answer: u64,
    /// Told "not run", yet it ran.
    pub not_run_but_ran: u64,
    /// Pairs of runs of one key that no single owner can explain.
    pub two_owners: u64,
    /// Median latency of requests that ran, in microseconds.
    pub p50_us: u64,
    /// Latency that 99 in 100 keep, in microseconds.
    pub p99_us: u64,
    /// Greatest latency, in microseconds.
    pub max_us: u64,
    /// Requests that ran, by the second.
    pub requests_per_second: f64,
}

impl LoadReport {
    /// True where nothing was lost, run twice or answered wrongly.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let faults = [
            self.run_twice,
            self.wrong_answer,
            self.not_run_but_ran,
            self.two_owners,
        ];
        faults.iter().all(|fault| *fault == 0)
    }

    /// Adds the figures that come from latencies.
    #[must_use]
    pub fn with_latencies(mut self, history: &LoadHistory) -> Self {
        let Ok(mut latencies) = Histogram::<u64>::new_with_max(LATENCY_LIMIT_US, 3) else {
            return self;
        };
        let ran = history
            .records
            .iter()
            .filter(|record| record.told == ToldVerdict::Ran);
        for record in ran {
            let us = u64::try_from(record.latency.as_micros()).unwrap_or(LATENCY_LIMIT_US);
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
            "ran, by the second", self.requests_per_second
        )
    }
}
