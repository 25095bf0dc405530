//! The callers.

use std::thread;
use std::time::{Duration, Instant};

use ureq::Agent;
use ureq::http::Request;

use crate::{LoadHistory, LoadOptions, LoadRecord, PlannedRequest, RequestPlan, ToldVerdict};

/// What a caller waits beyond the time it allowed, before it gives up on an answer.
const GRACE: Duration = Duration::from_secs(1);

/// Runs a load to its end.
#[must_use]
pub fn run_load(options: &LoadOptions) -> LoadHistory {
    let began = Instant::now();
    let records = thread::scope(|scope| {
        let callers: Vec<_> = (0..options.workers)
            .map(|worker| scope.spawn(move || run_caller(options, worker, began)))
            .collect();
        let ended = callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or_default());
        ended.flatten().collect()
    });
    LoadHistory {
        records,
        elapsed: began.elapsed(),
    }
}

fn run_caller(options: &LoadOptions, worker: usize, began: Instant) -> Vec<LoadRecord> {
    let agent = new_agent(options);
    let mut plan = RequestPlan::new(options, worker as u64);
    let mut records = Vec::new();
    let step = options
        .rate
        .map(|rate| Duration::from_secs_f64(options.workers as f64 / rate));
    let offset = step.map_or(Duration::ZERO, |step| {
        step.mul_f64(share(worker, options.workers))
    });
    for turn in 0.. {
        let due = step.map_or(Duration::ZERO, |step| offset + step * turn);
        if due.max(began.elapsed()) >= options.duration {
            break;
        }
        thread::sleep(due.saturating_sub(began.elapsed()));
        let router = options.routers[(worker + turn as usize) % options.routers.len()];
        let request = plan.draw();
        // An open load counts the time a request had to wait for its caller.
        let sent_at = step.map_or_else(Instant::now, |_| began + due);
        let told = send(&agent, options, router, &request);
        records.push(LoadRecord {
            method: request.method,
            key: request.key,
            id: request.id,
            told,
            sent_at: sent_at.saturating_duration_since(began),
            latency: sent_at.elapsed(),
        });
    }
    records
}

fn share(worker: usize, workers: usize) -> f64 {
    worker as f64 / workers.max(1) as f64
}

fn new_agent(options: &LoadOptions) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .timeout_global(Some(options.timeout + GRACE))
        .build()
        .new_agent()
}

fn send(
    agent: &Agent,
    options: &LoadOptions,
    router: std::net::SocketAddr,
    request: &PlannedRequest,
) -> ToldVerdict {
    let message = Request::builder()
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
    let Ok(message) = message else {
        return ToldVerdict::NotRun;
    };
    match agent.run(message) {
        Ok(answer) => read_verdict(answer, request),
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            ToldVerdict::NotRun
        }
        Err(_) => ToldVerdict::MayHaveRun,
    }
}

fn read_verdict(
    mut answer: ureq::http::Response<ureq::Body>,
    request: &PlannedRequest,
) -> ToldVerdict {
    let verdict = answer
        .headers()
        .get("Anvilrack-Verdict")
        .map(|word| word.as_bytes().to_vec());
    let Ok(body) = answer.body_mut().read_to_string() else {
        return ToldVerdict::MayHaveRun;
    };
    match verdict.as_deref() {
        Some(b"not-run") => ToldVerdict::NotRun,
        Some(b"may-have-run") => ToldVerdict::MayHaveRun,
        // A target that is asked directly names no verdict.
        Some(b"ran") | None if is_answer_to(&body, request) => ToldVerdict::Ran,
        _ => ToldVerdict::WrongAnswer,
    }
}

/// The stand-in target's answer names the request that it belongs to.
fn is_answer_to(body: &str, request: &PlannedRequest) -> bool {
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
