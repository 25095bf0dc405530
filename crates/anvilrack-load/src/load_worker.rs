//! Callers that send the requests of a load.

use std::thread;
use std::time::{Duration, Instant};

use ureq::Agent;
use ureq::http::Request;

use crate::{LoadHistory, LoadOptions, LoadOutcome, LoadRecord, PlannedRequest, RequestPlan};

/// Time beyond a request's timeout after which its caller stops waiting for a response.
const TIMEOUT_GRACE: Duration = Duration::from_secs(1);

/// Runs a load to its end and returns its requests with their outcomes.
#[must_use]
pub fn run_load(options: &LoadOptions) -> LoadHistory {
    let load_start = Instant::now();
    let records = thread::scope(|scope| {
        let callers: Vec<_> = (0..options.workers)
            .map(|worker| scope.spawn(move || run_caller(options, worker, load_start)))
            .collect();
        let records_of_callers = callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or_default());
        records_of_callers.flatten().collect()
    });
    LoadHistory {
        records,
        elapsed: load_start.elapsed(),
    }
}

fn run_caller(options: &LoadOptions, worker: usize, load_start: Instant) -> Vec<LoadRecord> {
    let agent = new_agent(options);
    let mut plan = RequestPlan::new(options, worker as u64);
    let mut records = Vec::new();
    let interval = options
        .rate
        .map(|rate| Duration::from_secs_f64(options.workers as f64 / rate));
    let offset = interval.map_or(Duration::ZERO, |interval| {
        interval.mul_f64(worker_fraction(worker, options.workers))
    });
    for iteration in 0.. {
        let due = interval.map_or(Duration::ZERO, |interval| offset + interval * iteration);
        if due.max(load_start.elapsed()) >= options.duration {
            break;
        }
        thread::sleep(due.saturating_sub(load_start.elapsed()));
        let router = options.routers[(worker + iteration as usize) % options.routers.len()];
        let request = plan.next_request();
        // In an open-loop load the latency includes the time that a request waited for its caller.
        let sent_at = interval.map_or_else(Instant::now, |_| load_start + due);
        let told = send(&agent, options, router, &request);
        records.push(LoadRecord {
            method: request.method,
            key: request.key,
            id: request.id,
            told,
            sent_at: sent_at.saturating_duration_since(load_start),
            latency: sent_at.elapsed(),
        });
    }
    records
}

fn worker_fraction(worker: usize, workers: usize) -> f64 {
    worker as f64 / workers.max(1) as f64
}

fn new_agent(options: &LoadOptions) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .timeout_global(Some(options.timeout + TIMEOUT_GRACE))
        .build()
        .new_agent()
}

fn send(
    agent: &Agent,
    options: &LoadOptions,
    router: std::net::SocketAddr,
    request: &PlannedRequest,
) -> LoadOutcome {
    let http_request = Request::builder()
        .method(request.method)
        .uri(format!(
            "http://{router}/{}/{}",
            options.service, request.key
        ))
        .header("Idempotency-Key", &request.id)
        .header(
            "Anvilrack-Timeout-Ms",
            options.timeout.as_millis().to_string(),
        )
        .body(vec![b'x'; request.body_bytes]);
    let Ok(http_request) = http_request else {
        return LoadOutcome::NotRun;
    };
    match agent.run(http_request) {
        Ok(response) => observed_outcome(response, request),
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            LoadOutcome::NotRun
        }
        Err(_) => LoadOutcome::MayHaveRun,
    }
}

fn observed_outcome(
    mut response: ureq::http::Response<ureq::Body>,
    request: &PlannedRequest,
) -> LoadOutcome {
    let verdict = response
        .headers()
        .get("Anvilrack-Verdict")
        .map(|value| value.as_bytes().to_vec());
    let Ok(body) = response.body_mut().read_to_string() else {
        return LoadOutcome::MayHaveRun;
    };
    match verdict.as_deref() {
        Some(b"not-run") => LoadOutcome::NotRun,
        Some(b"may-have-run") => LoadOutcome::MayHaveRun,
        // Responses from a target without a router in between have no verdict.
        Some(b"ran") | None if is_response_to(&body, request) => LoadOutcome::Ran,
        _ => LoadOutcome::WrongAnswer,
    }
}

/// Returns whether the body is the fake target's response to `request`. The body starts with
/// the request's method, key, id and body size.
fn is_response_to(body: &str, request: &PlannedRequest) -> bool {
    let expected = format!(
        "{} {} {} {}",
        request.method, request.key, request.id, request.body_bytes
    );
    let rest = body
        .strip_prefix(&expected)
        .and_then(|rest| rest.strip_prefix('\n'));
    match request.method {
        "GET" => rest == Some("ok"),
        _ => rest == Some(""),
    }
}
