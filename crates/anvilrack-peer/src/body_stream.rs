//! Reads a complete body from an h2 stream.

use std::time::Duration;

use anvilrack_limits::{MemoryError, MemoryHold};
use bytes::BytesMut;
use h2::RecvStream;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Flow-control window of one stream, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 1024 * 1024;

/// Flow-control window of one link, in bytes.
pub(crate) const LINK_WINDOW: u32 = 16 * 1024 * 1024;

/// Path of the calls that run requests; other calls are between the routers alone.
pub(crate) const REQUEST_PATH: &str = "/request";

/// Maximum size of a body; reading a longer one fails.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Number of times that a body is in memory while it is decoded or encoded.
const BODY_COPIES: usize = 2;

/// Maximum time between two parts of a body.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a body was not read.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The stream ended early.
    #[error(transparent)]
    Stream(#[from] h2::Error),
    /// No part of the body arrived for a while.
    #[error("the body stalled")]
    Stalled,
    /// The body exceeds the maximum size.
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// There is no memory for the body.
    #[error(transparent)]
    Memory(#[from] MemoryError),
}

/// Reads to the end of the stream into the memory of `hold` and returns flow-control capacity to the peer after each
/// chunk; `on_chunk` is called for each chunk.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    hold: &MemoryHold,
    on_chunk: impl Fn(),
) -> Result<BytesMut, BodyError> {
    let mut body = BytesMut::new();
    loop {
        let until = Instant::now() + STALL_TIMEOUT;
        let chunk = tokio::select! {
            biased;
            () = hold.evicted() => return Err(MemoryError::Evicted.into()),
            chunk = timeout_at(until, stream.data()) => chunk.map_err(|_| BodyError::Stalled)?,
        };
        let Some(chunk) = chunk else {
            return Ok(body);
        };
        let chunk = chunk?;
        on_chunk();
        hold.grow(chunk.len() * BODY_COPIES, until).await?;
        body.extend_from_slice(&chunk);
        hold.on_received(body.len() * BODY_COPIES);
        stream.flow_control().release_capacity(chunk.len())?;
        if body.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
    }
}
