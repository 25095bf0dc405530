//! Finding links that have gone silent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use h2::{Ping, PingPong};
use tokio::sync::{Notify, watch};

/// A link with calls open on which nothing comes back for this long is asked for a sign of life.
const QUIET_LIMIT: Duration = Duration::from_millis(150);

/// Time for that sign of life.
const PONG_TIMEOUT: Duration = Duration::from_millis(400);

/// What happens on a link.
pub(crate) struct LinkProgress {
    opened: Instant,
    last_answer_ms: AtomicU64,
    last_used_ms: AtomicU64,
    open_calls: AtomicUsize,
    called: Notify,
    silent: watch::Sender<bool>,
}

/// One call that waits for its answer; dropping it ends the count.
pub(crate) struct OpenCall<'a> {
    progress: &'a LinkProgress,
}

impl LinkProgress {
    pub(crate) fn new() -> Self {
        Self {
            opened: Instant::now(),
            last_answer_ms: AtomicU64::new(0),
            last_used_ms: AtomicU64::new(0),
            open_calls: AtomicUsize::new(0),
            called: Notify::new(),
            silent: watch::Sender::new(false),
        }
    }

    /// Milliseconds since the link was opened.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts a call in.
    pub(crate) fn begin_call(&self) -> OpenCall<'_> {
        self.last_used_ms.store(self.now_ms(), Ordering::Relaxed);
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        self.called.notify_one();
        OpenCall { progress: self }
    }

    /// Something came back.
    pub(crate) fn on_answer(&self) {
        self.last_answer_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// True where something came back after `since_ms`.
    pub(crate) fn answered_since(&self, since_ms: u64) -> bool {
        self.last_answer_ms.load(Ordering::Relaxed) > since_ms
    }

    /// How long nobody has used the link, in milliseconds.
    pub(crate) fn idle_ms(&self) -> u64 {
        let last_used = self.last_used_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(last_used)
    }

    /// Ends when the link has been found silent.
    pub(crate) async fn silence(&self) {
        let mut silent = self.silent.subscribe();
        // The sender lives as long as this value, so waiting cannot fail.
        let _ = silent.wait_for(|silent| *silent).await;
    }

    fn has_calls(&self) -> bool {
        self.open_calls.load(Ordering::Relaxed) > 0
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.progress.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Watches a link and ends when it is silent: calls are open, nothing came back for a while, and a
/// ping is not answered either.
///
/// A slow target alone makes no link silent, since the router beside it answers the ping.
pub(crate) async fn watch_link(mut pings: PingPong, progress: Arc<LinkProgress>) {
    loop {
        if !progress.has_calls() {
            progress.called.notified().await;
        }
        let looked_at_ms = progress.now_ms();
        tokio::time::sleep(QUIET_LIMIT).await;
        if !progress.has_calls() || progress.answered_since(looked_at_ms) {
            continue;
        }
        let pong = tokio::time::timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await;
        let lives = matches!(pong, Ok(Ok(_)));
        if lives {
            progress.on_answer();
        } else if !progress.answered_since(looked_at_ms) {
            progress.silent.send_replace(true);
            return;
        }
    }
}
