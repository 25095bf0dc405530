//! Reads callers' request bodies with limits on size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BodyRoom, HoldPurpose, RefusalReason, RequestVerdict};
use anvilrack_limits::{GatedConnection, MemoryError, MemoryHold, MemoryPool};
use anvilrack_wire::BodyBytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use crate::stages::RETRY_SOON;

/// Number of times that a body is in memory while it is passed on: as it was received, and as it is sent to a router
/// or to the target.
const BODY_COPIES: usize = 2;

/// Maximum time for reading a whole body, whatever the timeout of its request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the rest of a refused body is read and discarded, so that the caller gets the
/// response instead of a connection reset.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// `Retry-After` time of a request for whose body there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A complete body and its memory, which is released when this is dropped.
#[derive(Clone, Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: BodyBytes,
    /// Its memory; `None` if it is empty.
    pub hold: Option<Arc<MemoryHold>>,
}

/// Reads a whole body within `time`. A truncated body is an error, with `Content-Length` and with
/// chunked encoding.
///
/// # Errors
///
/// Returns `NotRun` if the body is larger than `limit`, truncated or too slow, or if there is no
/// memory for it.
pub async fn read(
    mut body: Incoming,
    limit: usize,
    time: Duration,
    memory: &MemoryPool,
    connection: &GatedConnection,
) -> Result<HeldBody, RequestVerdict> {
    if body.is_end_stream() {
        return Ok(HeldBody {
            bytes: BodyBytes(Vec::new().into()),
            hold: None,
        });
    }
    let until = Instant::now() + time.min(BODY_TIMEOUT);
    let verdict = match read_frames(&mut body, limit, until, memory, connection).await {
        Ok(body) => return Ok(body),
        Err(verdict) => verdict,
    };
    // The response is the same whether or not the rest of the body arrives.
    let _ = timeout(DRAIN_TIME, drain(&mut body)).await;
    Err(verdict)
}

async fn read_frames(
    body: &mut Incoming,
    limit: usize,
    until: Instant,
    memory: &MemoryPool,
    connection: &GatedConnection,
) -> Result<HeldBody, RequestVerdict> {
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(refuse(RefusalReason::BodyTooLarge));
    }
    match memory.room_for(announced.saturating_mul(BODY_COPIES as u64)) {
        BodyRoom::Free => {}
        BodyRoom::Occupied => return Err(no_memory(MemoryError::Refused)),
        BodyRoom::Never => return Err(refuse(RefusalReason::BodyTooLarge)),
    }
    let hold = memory.hold(HoldPurpose::Receiving);
    let mut bytes = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.evicted() => return Err(no_memory(MemoryError::Evicted)),
            frame = timeout_at(until, body.frame()) => frame,
        };
        let frame = frame.map_err(|_| refuse(RefusalReason::DeadlineTooShort))?;
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|_| refuse(RefusalReason::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(refuse(RefusalReason::BodyTooLarge));
        }
        let grown = hold.grow(data.len() * BODY_COPIES, until).await;
        grown.map_err(no_memory)?;
        bytes.extend_from_slice(&data);
        hold.on_received(bytes.len() * BODY_COPIES);
        connection.set_waiting();
    }
    hold.set_purpose(HoldPurpose::Forwarding);
    Ok(HeldBody {
        bytes: BodyBytes(bytes.into()),
        hold: Some(hold),
    })
}

async fn drain(body: &mut Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn no_memory(error: MemoryError) -> RequestVerdict {
    log::debug!("a body was refused: {error}");
    RequestVerdict::NotRun(RefusalReason::NoMemory, MEMORY_RETRY_AFTER)
}

fn refuse(reason: RefusalReason) -> RequestVerdict {
    RequestVerdict::NotRun(reason, RETRY_SOON)
}
