//! First stage: from HTTP to a typed request.

use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, RefusalReason, RequestVerdict};
use anvilrack_settings::RouterLimits;
use anvilrack_wire::{BodyBytes, ForwardRequest};
use percent_encoding::percent_decode_str;
use tiny_http::Request;

use super::RETRY_SOON;
use crate::boot_clock;

/// Longest path, in bytes.
const PATH_LIMIT: usize = 4_096;

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_LIMIT: usize = 255;

/// Longest time a caller may allow.
const TIMEOUT_LIMIT: Duration = Duration::from_mins(10);

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The request as it goes on.
    pub request: ForwardRequest,
    /// When its time is over.
    pub deadline: BootTime,
}

/// Reads a caller's request.
///
/// # Errors
///
/// The verdict for a request that cannot be understood or is too large.
pub fn process(
    http: &mut Request,
    limits: &RouterLimits,
) -> Result<AcceptedRequest, RequestVerdict> {
    let bad_request = || RequestVerdict::NotRun(RefusalReason::BadRequest, RETRY_SOON);
    let path: Arc<str> = http.url().into();
    let (service, key) = split_path(&path).ok_or_else(bad_request)?;
    let timeout = read_timeout(http, limits).ok_or_else(bad_request)?;
    let idempotency_key = header(http, "Idempotency-Key");
    if idempotency_key
        .as_ref()
        .is_some_and(|key| key.len() > IDEMPOTENCY_KEY_LIMIT)
    {
        return Err(bad_request());
    }
    let deadline = boot_clock::now() + timeout;
    let body = read_body(http, limits.body_bytes)?;
    let caller = http
        .remote_addr()
        .map_or_else(String::new, |address| address.ip().to_string());
    let request = ForwardRequest {
        service,
        key,
        method: http.method().as_str().into(),
        content_type: header(http, "Content-Type"),
        idempotency_key,
        caller: caller.into(),
        timeout,
        body,
        path,
    };
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

fn read_timeout(http: &Request, limits: &RouterLimits) -> Option<Duration> {
    let Some(text) = header(http, "Anvilrack-Timeout-Ms") else {
        return Some(Duration::from_millis(limits.default_timeout_ms));
    };
    let timeout = Duration::from_millis(text.parse().ok()?);
    (timeout <= TIMEOUT_LIMIT).then_some(timeout)
}

fn read_body(http: &mut Request, limit: usize) -> Result<BodyBytes, RequestVerdict> {
    let too_large = || RequestVerdict::NotRun(RefusalReason::BodyTooLarge, RETRY_SOON);
    let announced = http.body_length();
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(announced.unwrap_or(0));
    let reader = http.as_reader().take(limit as u64 + 1);
    let read = std::io::BufReader::new(reader).read_to_end(&mut body);
    let cut_short = announced.is_some_and(|length| body.len() < length);
    if read.is_err() || cut_short {
        return Err(RequestVerdict::NotRun(
            RefusalReason::BadRequest,
            RETRY_SOON,
        ));
    }
    if body.len() > limit {
        return Err(too_large());
    }
    Ok(BodyBytes(body.into()))
}

fn header(http: &Request, name: &str) -> Option<Arc<str>> {
    let mut headers = http.headers().iter();
    let found = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().into())
}
