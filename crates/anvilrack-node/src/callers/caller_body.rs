//! Bodies of callers' requests and of the responses to them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use anvilrack_core::{BodyRoom, HoldPurpose, RefusalReason};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, timeout};

use crate::body_collector::{BodyDeadline, BodyError, collect_body};
use crate::callers::caller_stream::RequestActivity;
use crate::held_body::HeldBody;
use anvilrack_limits::GatedConnection;
use anvilrack_limits::MemoryPool;

/// Time for which the rest of a refused body is read and discarded, so that the caller gets the response and not a
/// reset.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Why a body was refused, with the status for its caller.
pub type BodyRefusal = (StatusCode, &'static str);

/// The body of a response to a caller; the request ends when it was passed on.
#[derive(Debug)]
pub struct CallerBody {
    body: HeldBody,
    _activity: RequestActivity,
}

impl CallerBody {
    /// Creates the body of the response to a request.
    #[must_use]
    pub fn new(body: HeldBody, activity: RequestActivity) -> Self {
        body.set_delivering(activity.connection().closer());
        Self {
            body,
            _activity: activity,
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads the complete body of a request, of at most `max_bytes` bytes, until `deadline`.
///
/// # Errors
///
/// The status for the caller if the body is late, incomplete or too long, or if there is no memory for it.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: u64,
    deadline: Instant,
    memory: &MemoryPool,
    connection: &GatedConnection,
) -> Result<HeldBody, BodyRefusal> {
    let body_too_long = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let announced = body.size_hint().lower();
    if announced > max_bytes {
        return Err(body_too_long);
    }
    match memory.room_for(announced) {
        BodyRoom::Free => {}
        BodyRoom::Occupied => return Err(no_memory()),
        BodyRoom::Never => {
            return Err((
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body exceeds the memory of this router",
            ));
        }
    }
    let hold = memory.hold(HoldPurpose::Receiving);
    let deadline = BodyDeadline::new(deadline);
    let on_part = || connection.set_waiting();
    match collect_body(body, hold, max_bytes, deadline, on_part).await {
        Ok(body) => {
            body.set_purpose(HoldPurpose::Forwarding);
            Ok(body)
        }
        Err(BodyError::TooLong(_)) => Err(body_too_long),
        Err(BodyError::Memory(_)) => Err(no_memory()),
        Err(BodyError::Timeout) => Err((
            StatusCode::REQUEST_TIMEOUT,
            "the body was not complete in time",
        )),
        Err(BodyError::Broken(_)) => Err((StatusCode::BAD_REQUEST, "the body ended early")),
    }
}

fn no_memory() -> BodyRefusal {
    let reason = RefusalReason::NoMemory.as_str();
    (StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Reads and discards the rest of a refused body for a while.
pub async fn discard_rest(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // The connection closes afterwards in any case.
    timeout(DISCARD_TIME, rest).await.ok();
}
