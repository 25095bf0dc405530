//! Last stage on the caller side: turns the verdict into an HTTP response.

use std::time::Duration;

use anvilrack_core::RequestVerdict;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Body type of a response to a caller.
pub type ResponseBody = Full<Bytes>;

/// HTTP status for a request that may have run.
const MAY_HAVE_RUN_STATUS: u16 = 504;

/// Response header with the verdict: whether the request ran.
const VERDICT: HeaderName = HeaderName::from_static("anvilrack-verdict");

/// Response header with the reason why a request was refused or its outcome is uncertain.
const REASON: HeaderName = HeaderName::from_static("anvilrack-reason");

/// Converts a verdict to a response. If `last` is set, the response closes the caller's connection.
#[must_use]
pub fn process(verdict: RequestVerdict, last: bool) -> Response<ResponseBody> {
    let verdict_name = verdict.as_str();
    let mut response = match verdict {
        RequestVerdict::Ran(target_response) => {
            let body = Bytes::from_owner(target_response.body);
            let response = new_response(target_response.status, body);
            with_header(
                response,
                CONTENT_TYPE,
                target_response.content_type.as_deref(),
            )
        }
        RequestVerdict::NotRun(reason, retry_after) => {
            let text = format!("not run: {}\n", reason.as_str());
            let response = new_response(reason.status(), text.into());
            let response = with_header(response, REASON, Some(reason.as_str()));
            with_header(response, RETRY_AFTER, Some(&whole_seconds(retry_after)))
        }
        RequestVerdict::MayHaveRun(reason) => {
            let text = format!("may have run: {}\n", reason.as_str());
            let response = new_response(MAY_HAVE_RUN_STATUS, text.into());
            with_header(response, REASON, Some(reason.as_str()))
        }
    };
    if last {
        response = with_header(response, CONNECTION, Some("close"));
    }
    with_header(response, VERDICT, Some(verdict_name))
}

fn new_response(status: u16, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

fn with_header(
    mut response: Response<ResponseBody>,
    name: HeaderName,
    value: Option<&str>,
) -> Response<ResponseBody> {
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        response.headers_mut().insert(name, value);
    }
    response
}

/// Rounds a time up to whole seconds, the unit of `Retry-After`; the minimum is 1.
fn whole_seconds(duration: Duration) -> String {
    let seconds = duration.as_secs() + u64::from(duration.subsec_nanos() > 0);
    seconds.max(1).to_string()
}
