//! A probe that measures for how long each key is unavailable.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ureq::Agent;

/// Number of threads that read concurrently.
const READERS: usize = 16;

/// Pause between two reads of one thread.
const READ_INTERVAL: Duration = Duration::from_millis(3);

/// Timeout of a read; short, because a thread that waits for one key cannot read others.
const READ_TIMEOUT: Duration = Duration::from_millis(60);

/// Reads keys continuously and records for each the longest time without a successful read.
#[derive(Debug)]
pub struct UnavailabilityProbe {
    shared: Arc<ProbeState>,
    readers: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct ProbeState {
    service: String,
    callers: Vec<SocketAddr>,
    keys: Mutex<Vec<KeyGap>>,
    stopped: AtomicBool,
}

/// When a key was last read successfully, and its longest gap so far.
#[derive(Clone, Copy, Debug)]
struct KeyGap {
    last_served: Instant,
    longest: Duration,
}

impl UnavailabilityProbe {
    /// Starts to read keys 0 to `keys` - 1 of `service` through the routers at `callers`.
    #[must_use]
    pub fn start(service: &str, keys: usize, callers: Vec<SocketAddr>) -> Self {
        let gap = KeyGap {
            last_served: Instant::now(),
            longest: Duration::ZERO,
        };
        let shared = Arc::new(ProbeState {
            service: service.to_owned(),
            callers,
            keys: Mutex::new(vec![gap; keys]),
            stopped: AtomicBool::new(false),
        });
        let readers = (0..READERS)
            .map(|reader| {
                let state = shared.clone();
                thread::spawn(move || state.read_until_stopped(reader))
            })
            .collect();
        Self { shared, readers }
    }

    /// Discards the gaps that were measured so far.
    pub fn reset(&self) {
        for key in self.shared.keys().iter_mut() {
            key.longest = Duration::ZERO;
        }
    }

    /// Returns whether every key was read successfully after `since`.
    #[must_use]
    pub fn all_served_after(&self, since: Instant) -> bool {
        self.shared.keys().iter().all(|key| key.last_served > since)
    }

    /// Stops reading and returns the longest gap of each key.
    #[must_use]
    pub fn stop(self) -> Vec<Duration> {
        self.shared.stopped.store(true, Ordering::SeqCst);
        for reader in self.readers {
            let _ = reader.join();
        }
        self.shared.keys().iter().map(|key| key.longest).collect()
    }
}

impl ProbeState {
    fn read_until_stopped(&self, reader: usize) {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(READ_TIMEOUT * 2))
            .build()
            .new_agent();
        let count = self.keys().len();
        for (turn, key) in (reader..count).step_by(READERS).cycle().enumerate() {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let caller = self.callers[(turn + reader) % self.callers.len()];
            if self.is_served(&agent, caller, key) {
                self.keys()[key].on_served();
            }
            thread::sleep(READ_INTERVAL);
        }
    }

    fn is_served(&self, agent: &Agent, caller: SocketAddr, key: usize) -> bool {
        let url = format!("http://{caller}/{}/key-{key}", self.service);
        let response = agent
            .get(url)
            .header("Anvilrack-Timeout-Ms", READ_TIMEOUT.as_millis().to_string())
            .call();
        let Ok(mut response) = response else {
            return false;
        };
        let verdict = response.headers().get("Anvilrack-Verdict").cloned();
        let complete = response.body_mut().read_to_string().is_ok();
        complete && verdict.is_some_and(|verdict| verdict == "ran")
    }

    fn keys(&self) -> MutexGuard<'_, Vec<KeyGap>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeyGap {
    fn on_served(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now - self.last_served);
        self.last_served = now;
    }
}
