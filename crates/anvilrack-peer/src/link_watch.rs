//! Detects links on which the peer no longer responds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use h2::{Ping, PingPong};
use tokio::sync::{Notify, watch};

/// Time without received data after which a link with open calls is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);

/// Timeout for the response to that ping.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);

/// Activity on a link: open calls, the time of the last use and the time of the last received data.
pub(crate) struct LinkProgress {
    opened: Instant,
    last_received_ms: AtomicU64,
    last_used_ms: AtomicU64,
    open_calls: AtomicUsize,
    call_started: Notify,
    silent: watch::Sender<bool>,
}

/// Counts one call as open until it is dropped.
pub(crate) struct OpenCall<'a> {
    progress: &'a LinkProgress,
}

impl LinkProgress {
    pub(crate) fn new() -> Self {
        Self {
            opened: Instant::now(),
            last_received_ms: AtomicU64::new(0),
            last_used_ms: AtomicU64::new(0),
            open_calls: AtomicUsize::new(0),
            call_started: Notify::new(),
            silent: watch::Sender::new(false),
        }
    }

    /// Returns the milliseconds since the link was opened.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts a call as open until the returned guard is dropped.
    pub(crate) fn begin_call(&self) -> OpenCall<'_> {
        self.last_used_ms.store(self.now_ms(), Ordering::Relaxed);
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        self.call_started.notify_one();
        OpenCall { progress: self }
    }

    /// Records that data or a ping response was received.
    pub(crate) fn on_received(&self) {
        self.last_received_ms
            .store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns whether data or a ping response was received after `since_ms`.
    pub(crate) fn received_since(&self, since_ms: u64) -> bool {
        self.last_received_ms.load(Ordering::Relaxed) > since_ms
    }

    /// Returns the milliseconds since the last call on the link started.
    pub(crate) fn idle_ms(&self) -> u64 {
        let last_used = self.last_used_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(last_used)
    }

    /// Waits until the link is detected as silent.
    pub(crate) async fn wait_until_silent(&self) {
        let mut silent = self.silent.subscribe();
        // Waiting fails only when the sender is dropped, and `self` holds the sender.
        let _ = silent.wait_for(|silent| *silent).await;
    }

    fn has_open_calls(&self) -> bool {
        self.open_calls.load(Ordering::Relaxed) > 0
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.progress.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Watches a link and returns once it is silent: calls are open, no data was received for
/// `PING_AFTER`, and a ping was not answered within `PONG_TIMEOUT`.
///
/// A slow target does not make a link silent, because the target's router answers the ping.
pub(crate) async fn watch_link(mut pings: PingPong, progress: Arc<LinkProgress>) {
    loop {
        if !progress.has_open_calls() {
            progress.call_started.notified().await;
        }
        let window_start_ms = progress.now_ms();
        tokio::time::sleep(PING_AFTER).await;
        if !progress.has_open_calls() || progress.received_since(window_start_ms) {
            continue;
        }
        let pong = tokio::time::timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await;
        let is_alive = matches!(pong, Ok(Ok(_)));
        if is_alive {
            progress.on_received();
        } else if !progress.received_since(window_start_ms) {
            progress.silent.send_replace(true);
            return;
        }
    }
}
