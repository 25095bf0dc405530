//! What a stand-in target has run.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One run of a request at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// The key in the path.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The fence that came with the request.
    pub fence: Option<String>,
    /// Which run of this method, key and idempotency key at this target; from one.
    pub run: u32,
    /// When it began, in microseconds since this machine started.
    pub began_us: u64,
    /// When it ended, in microseconds since this machine started.
    pub ended_us: u64,
}

/// Method, key and idempotency key.
type AlikeRuns = (String, String, Option<String>);

/// All runs of one target, in the order in which they ended.
#[derive(Debug, Default)]
pub struct RunHistory {
    runs: Mutex<Vec<TargetRun>>,
    counts: Mutex<HashMap<AlikeRuns, u32>>,
}

impl RunHistory {
    /// Counts a run as it begins; returns its number among those alike.
    pub fn begin(&self, method: &str, key: &str, idempotency_key: Option<&str>) -> u32 {
        let alike = (
            method.to_owned(),
            key.to_owned(),
            idempotency_key.map(str::to_owned),
        );
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(alike).or_default();
        *count += 1;
        *count
    }

    /// Keeps a run.
    pub fn keep(&self, run: TargetRun) {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }

    /// One JSON line for each run.
    pub fn json_lines(&self) -> String {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = runs
            .iter()
            .filter_map(|run| serde_json::to_string(run).ok());
        lines.map(|line| line + "\n").collect()
    }
}
