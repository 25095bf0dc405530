//! Requests that a fake target executed.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One execution of a request at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// Key from the request's path.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Idempotency key that the caller sent, if any.
    pub idempotency_key: Option<String>,
    /// Fence that the request carried, if any.
    pub fence: Option<String>,
    /// Number of this run among the target's runs with the same method, key and idempotency key,
    /// starting at one.
    pub run: u32,
    /// Start of the run, in microseconds since the machine booted.
    pub began_us: u64,
    /// End of the run, in microseconds since the machine booted.
    pub ended_us: u64,
}

/// Method, key and idempotency key of a request.
type RunKey = (String, String, Option<String>);

/// All runs of one target, in the order in which they ended.
#[derive(Debug, Default)]
pub struct RunHistory {
    runs: Mutex<Vec<TargetRun>>,
    counts: Mutex<HashMap<RunKey, u32>>,
}

impl RunHistory {
    /// Counts a run that is about to start. Returns its number among the runs with the same method,
    /// key and idempotency key.
    pub fn count_start(&self, method: &str, key: &str, idempotency_key: Option<&str>) -> u32 {
        let run_key = (
            method.to_owned(),
            key.to_owned(),
            idempotency_key.map(str::to_owned),
        );
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(run_key).or_default();
        *count += 1;
        *count
    }

    /// Adds a finished run.
    pub fn add_finished(&self, run: TargetRun) {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }

    /// Returns the finished runs, one JSON object on each line.
    pub fn json_lines(&self) -> String {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = runs
            .iter()
            .filter_map(|run| serde_json::to_string(run).ok());
        lines.map(|line| line + "\n").collect()
    }
}
