//! Last stage: the verdict as an HTTP answer.

use std::time::Duration;

use anvilrack_core::RequestVerdict;
use tiny_http::{Header, Request, Response, StatusCode};

/// Status of an answer that nobody can vouch for.
const MAY_HAVE_RUN_STATUS: u16 = 504;

/// Answers the caller; a caller that is gone is not an error.
pub fn process(http: Request, verdict: RequestVerdict) {
    let word = verdict.word();
    let response = match verdict {
        RequestVerdict::Ran(answer) => {
            let response = Response::from_data(answer.body.to_vec())
                .with_status_code(StatusCode(answer.status));
            with_header(response, "Content-Type", answer.content_type.as_deref())
        }
        RequestVerdict::NotRun(reason, retry_after) => {
            let response = Response::from_data(format!("not run: {}\n", reason.word()))
                .with_status_code(StatusCode(reason.status()));
            let response = with_header(response, "Anvilrack-Reason", Some(reason.word()));
            with_header(response, "Retry-After", Some(&whole_seconds(retry_after)))
        }
        RequestVerdict::MayHaveRun(reason) => {
            let response = Response::from_data(format!("may have run: {}\n", reason.word()))
                .with_status_code(StatusCode(MAY_HAVE_RUN_STATUS));
            with_header(response, "Anvilrack-Reason", Some(reason.word()))
        }
    };
    let _ = http.respond(with_header(response, "Anvilrack-Verdict", Some(word)));
}

type DataResponse = Response<std::io::Cursor<Vec<u8>>>;

fn with_header(response: DataResponse, name: &str, value: Option<&str>) -> DataResponse {
    let header = value.and_then(|value| Header::from_bytes(name, value).ok());
    match header {
        Some(header) => response.with_header(header),
        None => response,
    }
}

/// `Retry-After` counts whole seconds; it is rounded up.
fn whole_seconds(time: Duration) -> String {
    let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    seconds.max(1).to_string()
}
