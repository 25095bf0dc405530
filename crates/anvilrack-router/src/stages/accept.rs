//! First stage on the caller side: parses the head of an HTTP request.

use std::net::IpAddr;
use std::str::Utf8Error;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, RefusalReason, RequestVerdict};
use anvilrack_limits::MemoryHold;
use anvilrack_settings::RouterLimits;
use anvilrack_wire::{BodyBytes, ForwardRequest};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;

use super::RETRY_SOON;
use crate::caller_body::HeldBody;

/// Maximum length of a path with its query, in bytes.
const MAX_PATH_BYTES: usize = 4_096;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Maximum timeout that a caller may request.
const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// A parsed caller request with its deadline.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The request in the form that is forwarded to the owner's router.
    pub request: ForwardRequest,
    /// Time at which the caller's timeout ends.
    pub deadline: BootTime,
    /// Memory of the body; `None` if it is empty.
    pub hold: Option<Arc<MemoryHold>>,
}

impl AcceptedRequest {
    /// Sets the body, which is read after the head.
    #[must_use]
    pub fn with_body(mut self, body: HeldBody) -> Self {
        self.request.body = body.bytes;
        self.hold = body.hold;
        self
    }
}

/// Parses the head of a caller's request that was received at `received_at`.
///
/// # Errors
///
/// Returns `NotRun(BadRequest)` if the path, the timeout or a header is invalid or too long.
pub fn process(
    head: &Parts,
    caller: IpAddr,
    limits: &RouterLimits,
    received_at: BootTime,
) -> Result<AcceptedRequest, RequestVerdict> {
    let bad_request = || RequestVerdict::NotRun(RefusalReason::BadRequest, RETRY_SOON);
    let path: Arc<str> = head
        .uri
        .path_and_query()
        .ok_or_else(bad_request)?
        .as_str()
        .into();
    let (service, key) = split_path(&path).ok_or_else(bad_request)?;
    let timeout = read_timeout(head, limits).ok_or_else(bad_request)?;
    // An unreadable key must not count as a missing one: the request would run without an entry in
    // the at-most-once record.
    let idempotency_key = header(head, "Idempotency-Key").map_err(|_| bad_request())?;
    if idempotency_key
        .as_ref()
        .is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES)
    {
        return Err(bad_request());
    }
    let request = ForwardRequest {
        service,
        key,
        method: head.method.as_str().into(),
        content_type: header(head, "Content-Type").map_err(|_| bad_request())?,
        idempotency_key,
        caller: caller.to_string().into(),
        timeout,
        body: BodyBytes(Vec::new().into()),
        path,
    };
    let deadline = received_at + timeout;
    Ok(AcceptedRequest {
        request,
        deadline,
        hold: None,
    })
}

/// Returns the service and the decoded key of `/{service}/{key}[/rest][?query]`.
fn split_path(path: &str) -> Option<(Arc<str>, Arc<str>)> {
    if path.len() > MAX_PATH_BYTES {
        return None;
    }
    let path = path.split('?').next()?;
    let mut segments = path.strip_prefix('/')?.split('/');
    let service = segments.next().filter(|text| !text.is_empty())?;
    let key = segments.next().filter(|text| !text.is_empty())?;
    if !is_well_encoded(path) {
        return None;
    }
    let key = percent_decode_str(key).decode_utf8().ok()?;
    Some((service.into(), key.as_ref().into()))
}

/// Returns `true` if each percent sign is followed by two hexadecimal digits.
fn is_well_encoded(path: &str) -> bool {
    path.split('%').skip(1).all(|rest| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    })
}

fn read_timeout(head: &Parts, limits: &RouterLimits) -> Option<Duration> {
    let Some(text) = header(head, "Anvilrack-Timeout-Ms").ok()? else {
        return Some(Duration::from_millis(limits.default_timeout_ms));
    };
    let timeout = Duration::from_millis(text.parse().ok()?);
    (timeout <= MAX_TIMEOUT).then_some(timeout)
}

/// Returns the value of a header, or an error if it is not valid UTF-8.
fn header(head: &Parts, name: &str) -> Result<Option<Arc<str>>, Utf8Error> {
    let value = head.headers.get(name).map(HeaderValue::as_bytes);
    let text = value.map(std::str::from_utf8).transpose()?;
    Ok(text.map(Into::into))
}
