//! Requests of a load and the outcomes that callers observed.

use std::io::{self, Write};
use std::time::Duration;

use serde::Serialize;

/// Outcome of one request as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadOutcome {
    /// The request ran, and the response belongs to it.
    Ran,
    /// The verdict is neither "not run" nor "may have run", but the response is not the expected
    /// one for this request.
    WrongAnswer,
    /// The request did not run.
    NotRun,
    /// The request may have run, or no complete response arrived.
    MayHaveRun,
}

/// One request and its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct LoadRecord {
    /// HTTP method.
    pub method: &'static str,
    /// Key that the request is for.
    pub key: String,
    /// Unique id, sent as the idempotency key.
    pub id: String,
    /// Outcome as the caller observed it.
    pub told: LoadOutcome,
    /// Time from the start of the load to sending; in an open-loop load to the scheduled sending
    /// time.
    pub sent_at: Duration,
    /// Time from `sent_at` to the complete response.
    pub latency: Duration,
}

/// All requests of one load.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    /// The requests, in no particular order.
    pub records: Vec<LoadRecord>,
    /// Duration of the load.
    pub elapsed: Duration,
}

impl LoadHistory {
    /// Writes one JSON line for each request.
    ///
    /// # Errors
    ///
    /// Returns the error of `output` when a write fails.
    pub fn write_lines(&self, output: &mut impl Write) -> io::Result<()> {
        for record in &self.records {
            serde_json::to_writer(&mut *output, record)?;
            output.write_all(b"\n")?;
        }
        output.flush()
    }
}
