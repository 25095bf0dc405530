//! Last stage: the verdict as an HTTP answer.

use std::io::{self, Write};
use std::time::Duration;

use anvilrack_core::RequestVerdict;
use tiny_http::{Header, Method, Request, Response, StatusCode};

/// Status of an answer that nobody can vouch for.
const MAY_HAVE_RUN_STATUS: u16 = 504;

/// Answers the caller; a caller that is gone is not an error.
pub fn process(http: Request, verdict: RequestVerdict) {
    let _ = http.respond(build_response(verdict));
}

/// Answers the caller and asks it to close the connection, since this router is about to stop.
///
/// A connection that stays open until the process ends may carry one request too many. The HTTP
/// server takes no `Connection` header from its users, so the answer is put together here.
pub fn process_last(http: Request, verdict: RequestVerdict) {
    let _ = write_last(http, verdict);
}

fn write_last(http: Request, verdict: RequestVerdict) -> io::Result<()> {
    let mut message = Vec::new();
    let is_head = *http.method() == Method::Head;
    let version = http.http_version().clone();
    build_response(verdict).raw_print(&mut message, version, &[], is_head, None)?;
    let line_end = message.iter().position(|byte| *byte == b'\n');
    let (status_line, rest) = message.split_at(line_end.map_or(0, |end| end + 1));
    let mut writer = http.into_writer();
    writer.write_all(&[status_line, b"Connection: close\r\n", rest].concat())?;
    writer.flush()
}

fn build_response(verdict: RequestVerdict) -> DataResponse {
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
    with_header(response, "Anvilrack-Verdict", Some(word))
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
