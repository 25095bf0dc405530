//! Reads callers' request bodies with limits on size, time and total memory.

use std::time::Duration;

use anvilrack_core::{RefusalReason, RequestVerdict};
use anvilrack_wire::BodyBytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::peer_handler::overloaded;
use crate::stages::RETRY_SOON;

/// Maximum total size of the bodies that are being read at once, over all callers, in bytes.
pub const BODY_CAPACITY_BYTES: usize = 256 * 1024 * 1024;

/// Timeout for reading a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the rest of a refused body is read and discarded, so that the caller gets the
/// response instead of a connection reset.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Reads a whole body. A truncated body is an error, with `Content-Length` and with chunked
/// encoding.
///
/// # Errors
///
/// Returns `NotRun` if the body is larger than `limit`, truncated or too slow, or if all capacity
/// is in use.
pub async fn read(
    mut body: Incoming,
    limit: usize,
    capacity: &Semaphore,
) -> Result<BodyBytes, RequestVerdict> {
    if body.is_end_stream() {
        return Ok(BodyBytes(Vec::new().into()));
    }
    let frames = read_frames(&mut body, limit, capacity);
    let result = tokio::time::timeout(BODY_TIMEOUT, frames).await;
    let verdict = match result {
        Ok(Ok(bytes)) => return Ok(BodyBytes(bytes.into())),
        Ok(Err(verdict)) => verdict,
        Err(_) => refuse(RefusalReason::BadRequest),
    };
    // The response is the same whether or not the rest of the body arrives.
    let _ = tokio::time::timeout(DRAIN_TIME, drain(&mut body)).await;
    Err(verdict)
}

async fn read_frames(
    body: &mut Incoming,
    limit: usize,
    capacity: &Semaphore,
) -> Result<Vec<u8>, RequestVerdict> {
    if body.size_hint().lower() > limit as u64 {
        return Err(refuse(RefusalReason::BodyTooLarge));
    }
    let mut reserved: Option<SemaphorePermit<'_>> = None;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| refuse(RefusalReason::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(refuse(RefusalReason::BodyTooLarge));
        }
        reserve_capacity(&mut reserved, &data, capacity)?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

fn reserve_capacity<'a>(
    reserved: &mut Option<SemaphorePermit<'a>>,
    data: &Bytes,
    capacity: &'a Semaphore,
) -> Result<(), RequestVerdict> {
    let length = u32::try_from(data.len()).map_err(|_| overloaded())?;
    let added = capacity
        .try_acquire_many(length)
        .map_err(|_| overloaded())?;
    match reserved {
        Some(reserved) => reserved.merge(added),
        None => *reserved = Some(added),
    }
    Ok(())
}

async fn drain(body: &mut Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn refuse(reason: RefusalReason) -> RequestVerdict {
    RequestVerdict::NotRun(reason, RETRY_SOON)
}
