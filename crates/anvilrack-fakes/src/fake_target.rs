//! The stand-in for a target.

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

/// Time between two announcements to the router beside the target.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(200);

/// How often a waiting request looks again whether it may begin.
const WAIT_STEP: Duration = Duration::from_millis(5);

/// How a stand-in target behaves.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// The control address of the router beside it.
    pub router: Option<SocketAddr>,
    /// The service it belongs to.
    pub service: String,
    /// Requests it runs side by side.
    pub slots: u32,
    /// Time each request takes.
    pub service_time: Duration,
    /// True where it refuses old fences.
    pub checks_fence: bool,
    /// Time after its start during which it says that it is not ready.
    pub cold_start: Duration,
}

/// A server that keeps state by key, with slots, fences, deadlines and faults.
///
/// `GET /_control/runs` tells what it has run, `GET /_control/grants` what it was told of its grants;
/// `POST /_control/faults` switches faults on.
pub struct FakeTarget {
    options: TargetOptions,
    started: Instant,
    history: RunHistory,
    faults: Mutex<TargetFaults>,
    running: Mutex<u32>,
    slot_freed: Condvar,
    waiting: AtomicU32,
    fences: Mutex<BTreeMap<u32, u64>>,
    cancelled: Mutex<BTreeSet<String>>,
    load_samples: Mutex<Vec<(Instant, u32)>>,
    notices: Mutex<Vec<String>>,
}

impl FakeTarget {
    /// You say how it behaves.
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
            fences: Mutex::default(),
            cancelled: Mutex::default(),
            load_samples: Mutex::default(),
            notices: Mutex::default(),
        }
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
    pub fn run(self) -> eyre::Result<()> {
        let target = Arc::new(self);
        if let Some(router) = target.options.router {
            let announcer = target.clone();
            thread::spawn(move || announcer.announce_forever(router));
        }
        let address = target.options.address;
        // More workers than slots, so that control calls and refusals are never kept waiting.
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
                log::debug!("router {router} does not answer: {error}");
            }
            thread::sleep(ANNOUNCE_EVERY);
        }
    }

    fn serve(&self, request: Request) {
        let url = request.url().to_owned();
        match url.strip_prefix("/_control/") {
            Some("runs") => respond(request, 200, self.history.json_lines()),
            Some("faults") => self.set_faults(request),
            Some("grants") => respond(request, 200, lock(&self.notices).join("\n")),
            Some(_) => respond(request, 404, "no such control call"),
            None if url == "/_grants" => self.take_notice(request),
            None if url == "/_health" => self.tell_health(request),
            None if url == "/_load" => self.tell_load(request),
            None if url.starts_with("/_cancel/") => {
                lock(&self.cancelled).insert(url["/_cancel/".len()..].to_owned());
                respond(request, 200, "ok");
            }
            None => self.serve_work(request, &url),
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

    /// Keeps what the router beside it says of grants and releases.
    fn take_notice(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        lock(&self.notices).push(String::from_utf8_lossy(&body).into_owned());
        respond(request, 200, "ok");
    }

    fn tell_health(&self, request: Request) {
        let faults = lock(&self.faults).clone();
        let sick = faults.frozen || faults.draining || faults.slow_ms > 0;
        let well = faults.lie_about_health || !sick;
        respond(request, if well { 200 } else { 503 }, "");
    }

    fn tell_load(&self, request: Request) {
        let faults = lock(&self.faults).clone();
        let now = Instant::now();
        let load = *lock(&self.running) + self.waiting.load(Ordering::Relaxed);
        let mut samples = lock(&self.load_samples);
        samples.push((now, load));
        let lag = Duration::from_millis(faults.lag_ms);
        samples.retain(|(at, _)| now.duration_since(*at) <= lag + Duration::from_secs(1));
        let told = samples
            .iter()
            .find(|(at, _)| now.duration_since(*at) <= lag)
            .map_or(load, |(_, load)| *load);
        let told = if faults.lie_about_load { 0 } else { told };
        respond(request, 200, told.to_string());
    }

    // --- work -----------------------------------------------------------------------------------

    fn serve_work(&self, mut request: Request, url: &str) {
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
        let run = self.run_one(&request, url, fence, &body);
        let answer = answer_body(&run, &body);
        *lock(&self.running) -= 1;
        self.slot_freed.notify_one();
        if lock(&self.faults).cut_short {
            return cut_answer(request, &answer);
        }
        respond(request, 200, answer);
    }

    /// Waits for a slot; an error means that the request has not run and will not.
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
        let slot = self.take_slot(deadline);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        slot?;
        let checked = self.check_begin(request, fence);
        if checked.is_err() {
            *lock(&self.running) -= 1;
            self.slot_freed.notify_one();
        }
        checked
    }

    fn take_slot(&self, deadline: Instant) -> Result<(), &'static str> {
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
            let waited = self.slot_freed.wait_timeout(running, WAIT_STEP);
            running = waited.map_or_else(|error| error.into_inner().0, |(guard, _)| guard);
        }
    }

    fn check_begin(&self, request: &Request, fence: Option<&str>) -> Result<(), &'static str> {
        let id = header(request, "Anvilrack-Request-Id");
        if id.is_some_and(|id| lock(&self.cancelled).remove(&id)) {
            return Err("cancelled");
        }
        if self.options.checks_fence {
            return self.check_fence(fence);
        }
        Ok(())
    }

    /// A fence is `shard;token;lease-end`, the last in milliseconds since this machine started.
    fn check_fence(&self, fence: Option<&str>) -> Result<(), &'static str> {
        let Some((shard, token, lease_end_ms)) = fence.and_then(parse_fence) else {
            return Err("no fence");
        };
        if boot_us() / 1_000 >= lease_end_ms {
            return Err("lease has ended");
        }
        let mut fences = lock(&self.fences);
        let newest = fences.entry(shard).or_default();
        if token < *newest {
            return Err("fence is old");
        }
        *newest = token;
        Ok(())
    }

    fn run_one(
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
            .begin(&method, &key, idempotency_key.as_deref());
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
        self.history.keep(run.clone());
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

/// An answer by which a caller can tell that it is the one to its own request.
fn answer_body(run: &TargetRun, body: &[u8]) -> Vec<u8> {
    let idempotency_key = run.idempotency_key.as_deref().unwrap_or("-");
    let head = format!(
        "{} {} {idempotency_key} {}\n",
        run.method,
        run.key,
        body.len()
    );
    let mut answer = head.into_bytes();
    if *Method::Get.as_str() == *run.method {
        answer.extend_from_slice(b"ok");
    }
    answer
}

/// Refuses a request that has not run.
fn refuse(request: Request, reason: &str) {
    let response = Response::from_string(reason).with_status_code(503);
    let response = match Header::from_bytes(&b"Anvilrack-Verdict"[..], &b"not-run"[..]) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    };
    let _ = request.respond(response);
}

fn cut_answer(request: Request, answer: &[u8]) {
    let mut writer = request.into_writer();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        answer.len() + 100
    );
    let _ = writer.write_all(head.as_bytes());
    let _ = writer.write_all(answer);
    let _ = writer.flush();
}

fn boot_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
