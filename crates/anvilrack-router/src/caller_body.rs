//! Reading callers' bodies within bounds.

use std::time::Duration;

use anvilrack_core::{RefusalReason, RequestVerdict};
use anvilrack_wire::BodyBytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::peer_handler::overloaded;
use crate::stages::RETRY_SOON;

/// Bytes of bodies that may be half read at once, over all callers.
pub const BODY_ROOM: usize = 256 * 1024 * 1024;

/// Time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a body above the bound is read on and dropped, so that its sender gets to see the answer.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Reads a whole body; one that is cut short is an error, however it was framed.
///
/// # Errors
///
/// The verdict for a body that is too large, cut short or too slow.
pub async fn read(
    mut body: Incoming,
    limit: usize,
    room: &Semaphore,
) -> Result<BodyBytes, RequestVerdict> {
    if body.is_end_stream() {
        return Ok(BodyBytes(Vec::new().into()));
    }
    let reading = read_frames(&mut body, limit, room);
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    let refused = match read {
        Ok(Ok(bytes)) => return Ok(BodyBytes(bytes.into())),
        Ok(Err(refused)) => refused,
        Err(_) => refuse(RefusalReason::BadRequest),
    };
    // Whether the rest comes or not makes no difference.
    let _ = tokio::time::timeout(DRAIN_TIME, drain(&mut body)).await;
    Err(refused)
}

async fn read_frames(
    body: &mut Incoming,
    limit: usize,
    room: &Semaphore,
) -> Result<Vec<u8>, RequestVerdict> {
    if body.size_hint().lower() > limit as u64 {
        return Err(refuse(RefusalReason::BodyTooLarge));
    }
    let mut taken: Option<SemaphorePermit<'_>> = None;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| refuse(RefusalReason::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(refuse(RefusalReason::BodyTooLarge));
        }
        take_room(&mut taken, &data, room)?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

fn take_room<'a>(
    taken: &mut Option<SemaphorePermit<'a>>,
    data: &Bytes,
    room: &'a Semaphore,
) -> Result<(), RequestVerdict> {
    let length = u32::try_from(data.len()).map_err(|_| overloaded())?;
    let more = room.try_acquire_many(length).map_err(|_| overloaded())?;
    match taken {
        Some(taken) => taken.merge(more),
        None => *taken = Some(more),
    }
    Ok(())
}

async fn drain(body: &mut Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

fn refuse(reason: RefusalReason) -> RequestVerdict {
    RequestVerdict::NotRun(reason, RETRY_SOON)
}
