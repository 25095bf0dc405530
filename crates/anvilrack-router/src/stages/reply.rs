//! Last stage: the verdict as an HTTP answer.

use std::time::Duration;

use anvilrack_core::RequestVerdict;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The body of an answer to a caller.
pub type ReplyBody = Full<Bytes>;

/// Status of an answer that nobody can vouch for.
const MAY_HAVE_RUN_STATUS: u16 = 504;

/// Says whether the request ran.
const VERDICT: HeaderName = HeaderName::from_static("anvilrack-verdict");

/// Says why a request was refused, or why nobody can tell.
const REASON: HeaderName = HeaderName::from_static("anvilrack-reason");

/// Turns a verdict into an answer; `last` asks the caller to use another connection after it.
#[must_use]
pub fn process(verdict: RequestVerdict, last: bool) -> Response<ReplyBody> {
    let word = verdict.word();
    let mut response = match verdict {
        RequestVerdict::Ran(answer) => {
            let body = Bytes::from_owner(answer.body);
            let response = new_response(answer.status, body);
            with_header(response, CONTENT_TYPE, answer.content_type.as_deref())
        }
        RequestVerdict::NotRun(reason, retry_after) => {
            let text = format!("not run: {}\n", reason.word());
            let response = new_response(reason.status(), text.into());
            let response = with_header(response, REASON, Some(reason.word()));
            with_header(response, RETRY_AFTER, Some(&whole_seconds(retry_after)))
        }
        RequestVerdict::MayHaveRun(reason) => {
            let text = format!("may have run: {}\n", reason.word());
            let response = new_response(MAY_HAVE_RUN_STATUS, text.into());
            with_header(response, REASON, Some(reason.word()))
        }
    };
    if last {
        response = with_header(response, CONNECTION, Some("close"));
    }
    with_header(response, VERDICT, Some(word))
}

fn new_response(status: u16, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

fn with_header(
    mut response: Response<ReplyBody>,
    name: HeaderName,
    value: Option<&str>,
) -> Response<ReplyBody> {
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        response.headers_mut().insert(name, value);
    }
    response
}

/// `Retry-After` counts whole seconds; it is rounded up.
fn whole_seconds(time: Duration) -> String {
    let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    seconds.max(1).to_string()
}
