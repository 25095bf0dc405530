//! Reads message bodies whose size is not known beforehand.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::held_body::{BodyBuffer, HeldBody};
use anvilrack_limits::{MemoryError, MemoryHold};

/// Until when a body is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDeadline {
    /// Time by which the body has to be complete, unless `stall` extends it.
    pub at: Instant,
    /// If set, the body may take longer as long as no two parts of it are further apart than this.
    pub stall: Option<Duration>,
}

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body was not complete in time, or stalled.
    #[error("timed out while the body was received")]
    Timeout,
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(Arc<str>),
    /// The body is longer than allowed.
    #[error("body is longer than {0} bytes")]
    TooLong(u64),
    /// There is no memory for the body.
    #[error(transparent)]
    Memory(#[from] MemoryError),
}

impl BodyDeadline {
    /// Creates a deadline for a complete body.
    #[must_use]
    pub fn new(at: Instant) -> Self {
        Self { at, stall: None }
    }
}

/// Reads a complete body of at most `max_bytes` bytes into the memory of `hold`; calls `on_part` for each part.
///
/// # Errors
///
/// A [`BodyError`] if the body is late, incomplete or too long, or if there is no memory for it.
pub async fn collect_body(
    body: &mut Incoming,
    hold: Arc<MemoryHold>,
    max_bytes: u64,
    deadline: BodyDeadline,
    on_part: impl Fn(),
) -> Result<HeldBody, BodyError> {
    let mut buffer = BodyBuffer::new(hold, body.size_hint().exact());
    let mut until = deadline.at;
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.hold().evicted() => return Err(MemoryError::Evicted.into()),
            frame = timeout_at(until, body.frame()) => frame,
        };
        let frame = match frame {
            Err(_) => return Err(BodyError::Timeout),
            Ok(None) => return Ok(buffer.finish()),
            Ok(Some(Err(error))) => return Err(BodyError::Broken(error.to_string().into())),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            if (buffer.received() + data.len()) as u64 > max_bytes {
                return Err(BodyError::TooLong(max_bytes));
            }
            buffer.write(&data, until).await?;
            on_part();
        }
        if let Some(stall) = deadline.stall {
            until = until.max(Instant::now() + stall);
        }
    }
}
