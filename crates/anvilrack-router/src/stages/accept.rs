//! First stage: from HTTP to a typed request.

use std::net::IpAddr;
use std::str::Utf8Error;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, RefusalReason, RequestVerdict};
use anvilrack_settings::RouterLimits;
use anvilrack_wire::{BodyBytes, ForwardRequest};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use percent_encoding::percent_decode_str;

use super::RETRY_SOON;

/// Longest path, in bytes.
const PATH_LIMIT: usize = 4_096;

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_LIMIT: usize = 255;

/// Longest time a caller may allow.
const TIMEOUT_LIMIT: Duration = Duration::from_mins(10);

/// A request on its way to its owner.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The request as it goes on.
    pub request: ForwardRequest,
    /// When its time is over.
    pub deadline: BootTime,
}

impl AcceptedRequest {
    /// The request with its body, which is read after the head.
    #[must_use]
    pub fn with_body(mut self, body: BodyBytes) -> Self {
        self.request.body = body;
        self
    }
}

/// Reads the head of a caller's request that came in at `began`.
///
/// # Errors
///
/// The verdict for a request that cannot be understood.
pub fn process(
    head: &Parts,
    caller: IpAddr,
    limits: &RouterLimits,
    began: BootTime,
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
    // A key that cannot be read must not be taken for none: the request would run unrecorded.
    let idempotency_key = header(head, "Idempotency-Key").map_err(|_| bad_request())?;
    if idempotency_key
        .as_ref()
        .is_some_and(|key| key.len() > IDEMPOTENCY_KEY_LIMIT)
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
    let deadline = began + timeout;
    Ok(AcceptedRequest { request, deadline })
}

/// Splits `/{service}/{key}[/rest][?query]`.
fn split_path(path: &str) -> Option<(Arc<str>, Arc<str>)> {
    if path.len() > PATH_LIMIT {
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

/// True where each percent sign is followed by two hexadecimal digits.
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
    (timeout <= TIMEOUT_LIMIT).then_some(timeout)
}

/// The value of a header; an error where it is not text.
fn header(head: &Parts, name: &str) -> Result<Option<Arc<str>>, Utf8Error> {
    let value = head.headers.get(name).map(HeaderValue::as_bytes);
    let text = value.map(std::str::from_utf8).transpose()?;
    Ok(text.map(Into::into))
}
