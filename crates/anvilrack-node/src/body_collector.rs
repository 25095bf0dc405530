//! Reads message bodies whose size is not known beforehand.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

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
    /// The body is too long.
    #[error("body is longer than {0} bytes")]
    TooLong(usize),
}

/// Reads a complete body of at most `max_bytes` bytes.
///
/// # Errors
///
/// A [`BodyError`] if the body is late, incomplete or too long.
pub async fn collect_body(
    mut body: Incoming,
    max_bytes: usize,
    deadline: BodyDeadline,
) -> Result<Bytes, BodyError> {
    let mut collected = BytesMut::new();
    let mut until = deadline.at;
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Err(_) => return Err(BodyError::Timeout),
            Ok(None) => return Ok(collected.freeze()),
            Ok(Some(Err(error))) => return Err(BodyError::Broken(error.to_string().into())),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            if collected.len() + data.len() > max_bytes {
                return Err(BodyError::TooLong(max_bytes));
            }
            collected.extend_from_slice(&data);
        }
        if let Some(stall) = deadline.stall {
            until = until.max(Instant::now() + stall);
        }
    }
}
