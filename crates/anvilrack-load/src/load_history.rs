//! What the callers were told.

use std::io::{self, Write};
use std::time::Duration;

use serde::Serialize;

/// What a caller was told of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToldVerdict {
    /// It ran, and the answer is the right one.
    Ran,
    /// It ran, but the answer belongs to something else or is not whole.
    WrongAnswer,
    /// It did not run.
    NotRun,
    /// It may have run, or there was no answer at all.
    MayHaveRun,
}

/// One request and what came of it.
#[derive(Clone, Debug, Serialize)]
pub struct LoadRecord {
    /// HTTP method.
    pub method: &'static str,
    /// The key.
    pub key: String,
    /// Unique id, sent as the idempotency key.
    pub id: String,
    /// What the caller was told.
    pub told: ToldVerdict,
    /// When it was sent, or was due in an open load, since the load began.
    pub sent_at: Duration,
    /// Time from sending to the whole answer.
    pub latency: Duration,
}

/// All requests of one load.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    /// In no particular order.
    pub records: Vec<LoadRecord>,
    /// How long the load lasted.
    pub elapsed: Duration,
}

impl LoadHistory {
    /// Writes one JSON line for each request.
    ///
    /// # Errors
    ///
    /// Where the output takes no more.
    pub fn write_lines(&self, output: &mut impl Write) -> io::Result<()> {
        for record in &self.records {
            serde_json::to_writer(&mut *output, record)?;
            output.write_all(b"\n")?;
        }
        output.flush()
    }
}
