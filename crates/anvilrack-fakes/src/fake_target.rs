//! Fake target.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use tiny_http::{Header, Method, Request, Response};

use crate::http_worker::{header, read_body, respond, serve_forever};
use crate::{RunHistory, TargetFaults, TargetRun};

/// Time between two announcements to the target's router.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time until a waiting request checks again whether it may start. Needed because switching
/// the fault `frozen` off does not notify waiting requests.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Options of a fake target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Control address of the target's router; if `None`, the target does not announce itself.
    pub router: Option<SocketAddr>,
    /// Service that the target belongs to.
    pub service: String,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Time that each request takes to run.
    pub service_time: Duration,
    /// Whether the target refuses requests without a fence, with an older fencing token or with an
    /// expired lease.
    pub checks_fence: bool,
    /// Time after the start during which the target announces that it is not ready.
    pub cold_start: Duration,
}

/// A server that runs requests for keys, with slots, fencing, deadlines and faults.
///
/// `GET /_control/runs` returns the requests that it executed, `GET /_control/grants` the grants
/// and releases that its router reported, and `POST /_control/faults` sets the active faults.
pub struct FakeTarget {
    options: TargetOptions,
    started: Instant,
    history: RunHistory,
    faults: Mutex<TargetFaults>,
    running: Mutex<u32>,
    slot_freed: Condvar,
    waiting: AtomicU32,
    highest_tokens: Mutex<BTreeMap<u32, u64>>,
    cancelled: Mutex<BTreeSet<String>>,
    load_samples: Mutex<Vec<(Instant, u32)>>,
    grant_notifications: Mutex<Vec<String>>,
}

impl FakeTarget {
    /// Creates a target with the given options.
    #[must_use]
    pub fn new(options: TargetOptions) -> Self {
        Self {
            options,
            started: Instant::now(),
            history: RunHistory::default(),
            faults: Mutex::default(),
            running: Mutex::default(),
            slot_freed: Condvar::new(),
            waiting: AtomicU32::new(0),
            highest_tokens: Mutex::default(),
            cancelled: Mutex::default(),
            load_samples: Mutex::default(),
            grant_notifications: Mutex::default(),
        }
    }

    /// Announces the target and serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or a worker thread panics.
    pub fn run(self) -> eyre::Result<()> {
        let target = Arc::new(self);
        if let Some(router) = target.options.router {
            let announcer = target.clone();
            thread::spawn(move || announcer.announce_forever(router));
        }
        let address = target.options.address;
        // More workers than slots, so that control calls and refusals do not wait for running
        // requests.
        let workers = target.options.slots as usize * 4 + 64;
        serve_forever(address, workers, move |request| target.serve(request))
    }

    fn announce_forever(&self, router: SocketAddr) {
        let url = format!("http://{router}/_announce");
        loop {
            let ready = self.started.elapsed() >= self.options.cold_start;
            let body = json!({
                "service": self.options.service,
                "address": self.options.address,
                "ready": ready && !lock(&self.faults).draining,
            });
            let sent = attohttpc::post(&url)
                .timeout(Duration::from_secs(1))
                .text(body.to_string())
                .send();
            if let Err(error) = sent {
                log::debug!("announcement to router {router} failed: {error}");
            }
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    }

    fn serve(&self, request: Request) {
        let url = request.url().to_owned();
        match url.strip_prefix("/_control/") {
            Some("runs") => respond(request, 200, self.history.json_lines()),
            Some("faults") => self.set_faults(request),
            Some("grants") => respond(request, 200, lock(&self.grant_notifications).join("\n")),
            Some(_) => respond(request, 404, "no such control call"),
            None if url == "/_grants" => self.record_notification(request),
            None if url == "/_health" => self.serve_health(request),
            None if url == "/_load" => self.serve_load(request),
            None if url.starts_with("/_cancel/") => {
                lock(&self.cancelled).insert(url["/_cancel/".len()..].to_owned());
                respond(request, 200, "ok");
            }
            None => self.serve_request(request, &url),
        }
    }

    fn set_faults(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                *lock(&self.faults) = faults;
                respond(request, 200, "ok");
            }
            Err(error) => respond(request, 400, error.to_string()),
        }
    }

    /// Stores a report of the target's router about grants and releases.
    fn record_notification(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        lock(&self.grant_notifications).push(String::from_utf8_lossy(&body).into_owned());
        respond(request, 200, "ok");
    }

    fn serve_health(&self, request: Request) {
        let faults = lock(&self.faults).clone();
        let unhealthy = faults.frozen || faults.draining || faults.slow_ms > 0;
        let reports_healthy = faults.lie_about_health || !unhealthy;
        respond(request, if reports_healthy { 200 } else { 503 }, "");
    }

    fn serve_load(&self, request: Request) {
        let faults = lock(&self.faults).clone();
        let now = Instant::now();
        let load = *lock(&self.running) + self.waiting.load(Ordering::Relaxed);
        let mut samples = lock(&self.load_samples);
        samples.push((now, load));
        let lag = Duration::from_millis(faults.lag_ms);
        samples.retain(|(at, _)| now.duration_since(*at) <= lag + Duration::from_secs(1));
        let reported = samples
            .iter()
            .find(|(at, _)| now.duration_since(*at) <= lag)
            .map_or(load, |(_, load)| *load);
        let reported = if faults.lie_about_load { 0 } else { reported };
        respond(request, 200, reported.to_string());
    }

    // --- requests -------------------------------------------------------------------------------

    fn serve_request(&self, mut request: Request, url: &str) {
        let Ok(body) = read_body(&mut request) else {
            return respond(request, 400, "body cannot be read");
        };
        let arrived = Instant::now();
        let timeout = header(&request, "Anvilrack-Timeout-Ms").and_then(|text| text.parse().ok());
        let deadline = arrived + Duration::from_millis(timeout.unwrap_or(60_000));
        let fence = header(&request, "Anvilrack-Fence");
        if let Err(reason) = self.admit(&request, fence.as_deref(), deadline) {
            return refuse(request, reason);
        }
        let run = self.execute(&request, url, fence, &body);
        let response = response_body(&run, &body);
        *lock(&self.running) -= 1;
        self.slot_freed.notify_one();
        if lock(&self.faults).cut_short {
            return respond_truncated(request, &response);
        }
        respond(request, 200, response);
    }

    /// Waits for a slot and checks that the request may start.
    ///
    /// An error is the reason of the refusal: the request has not run and will not run.
    fn admit(
        &self,
        request: &Request,
        fence: Option<&str>,
        deadline: Instant,
    ) -> Result<(), &'static str> {
        if lock(&self.faults).draining {
            return Err("draining");
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.acquire_slot(deadline);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        slot?;
        let check_result = self.check_start(request, fence);
        if check_result.is_err() {
            *lock(&self.running) -= 1;
            self.slot_freed.notify_one();
        }
        check_result
    }

    fn acquire_slot(&self, deadline: Instant) -> Result<(), &'static str> {
        let mut running = lock(&self.running);
        loop {
            let now = Instant::now();
            if now >= deadline {
                return Err("deadline passed");
            }
            if *running < self.options.slots && !lock(&self.faults).frozen {
                *running += 1;
                return Ok(());
            }
            let wait_result = self.slot_freed.wait_timeout(running, SLOT_CHECK_INTERVAL);
            running = wait_result.map_or_else(|error| error.into_inner().0, |(guard, _)| guard);
        }
    }

    fn check_start(&self, request: &Request, fence: Option<&str>) -> Result<(), &'static str> {
        let id = header(request, "Anvilrack-Request-Id");
        if id.is_some_and(|id| lock(&self.cancelled).remove(&id)) {
            return Err("cancelled");
        }
        if self.options.checks_fence {
            return self.check_fence(fence);
        }
        Ok(())
    }

    /// Checks a fence of the form `shard;token;lease-end` against the clock and the highest token
    /// seen of its shard. The lease's end is in milliseconds since the machine booted.
    fn check_fence(&self, fence: Option<&str>) -> Result<(), &'static str> {
        let Some((shard, token, lease_end_ms)) = fence.and_then(parse_fence) else {
            return Err("no fence");
        };
        if boot_us() / 1_000 >= lease_end_ms {
            return Err("lease has ended");
        }
        let mut highest_tokens = lock(&self.highest_tokens);
        let highest_token = highest_tokens.entry(shard).or_default();
        if token < *highest_token {
            return Err("fence is old");
        }
        *highest_token = token;
        Ok(())
    }

    fn execute(
        &self,
        request: &Request,
        url: &str,
        fence: Option<String>,
        body: &[u8],
    ) -> TargetRun {
        let began_us = boot_us();
        let key = url.split(['/', '?']).nth(2).unwrap_or("").to_owned();
        let method = request.method().as_str().to_owned();
        let idempotency_key = header(request, "Idempotency-Key");
        let run = self
            .history
            .count_start(&method, &key, idempotency_key.as_deref());
        let faults = lock(&self.faults).clone();
        let text = String::from_utf8_lossy(body);
        if faults
            .crash_on
            .is_some_and(|crash_on| text.contains(&crash_on))
        {
            std::process::abort();
        }
        thread::sleep(self.options.service_time + Duration::from_millis(faults.slow_ms));
        let run = TargetRun {
            key,
            method,
            idempotency_key,
            fence,
            run,
            began_us,
            ended_us: boot_us(),
        };
        self.history.add_finished(run.clone());
        run
    }
}

fn parse_fence(fence: &str) -> Option<(u32, u64, u64)> {
    let mut parts = fence.split(';');
    let shard = parts.next()?.parse().ok()?;
    let token = parts.next()?.parse().ok()?;
    let lease_end_ms = parts.next()?.parse().ok()?;
    Some((shard, token, lease_end_ms))
}

/// Returns a response body that names its request, so that the caller can check that it belongs to
/// its own request.
fn response_body(run: &TargetRun, body: &[u8]) -> Vec<u8> {
    let idempotency_key = run.idempotency_key.as_deref().unwrap_or("-");
    let head = format!(
        "{} {} {idempotency_key} {}\n",
        run.method,
        run.key,
        body.len()
    );
    let mut response = head.into_bytes();
    if *Method::Get.as_str() == *run.method {
        response.extend_from_slice(b"ok");
    }
    response
}

/// Refuses a request with the verdict "not run".
fn refuse(request: Request, reason: &str) {
    let response = Response::from_string(reason).with_status_code(503);
    let response = match Header::from_bytes(&b"Anvilrack-Verdict"[..], &b"not-run"[..]) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    };
    let _ = request.respond(response);
}

/// Sends a response whose `Content-Length` is larger than its body, then closes the connection.
fn respond_truncated(request: Request, response: &[u8]) {
    let mut writer = request.into_writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        response.len() + 100
    );
    let _ = writer.write_all(head.as_bytes());
    let _ = writer.write_all(response);
    let _ = writer.flush();
}

/// Returns the time since the machine booted, in microseconds.
fn boot_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
