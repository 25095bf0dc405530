//! Asynchronous log output that never blocks a request.

use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_core::events;
use crossbeam::channel::{Receiver, Sender, bounded};
use env_logger::{Builder, Env, Target};

/// Maximum number of queued lines: about one second of log at the load the router is designed for.
const QUEUE_LINES: usize = 4_096;

/// Number of lines after which the output is flushed even if more lines are queued.
const FLUSH_LINES: usize = 256;

/// Maximum time for each step of [`LogWriter::close`]: queueing the flush and completing it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Queues log lines for a thread that writes them.
///
/// A stalled output must not block requests, so a line is dropped and counted if the queue is full.
/// The number of dropped lines is logged before the next line that is written.
#[derive(Clone, Debug)]
pub struct LogWriter {
    queue: Sender<LogItem>,
    dropped: Arc<AtomicU64>,
}

/// An entry of the queue.
#[derive(Debug)]
enum LogItem {
    Line(Vec<u8>),
    /// Flushes all lines queued before it, then sends to the channel.
    Flush(Sender<()>),
}

impl LogWriter {
    /// Starts the thread that writes to `output`, with the default queue size.
    #[must_use]
    pub fn start<W: Write + Send + 'static>(output: W) -> Self {
        Self::with_queue(output, QUEUE_LINES)
    }

    /// Like [`Self::start`], with a queue of `lines` lines.
    #[must_use]
    pub fn with_queue<W: Write + Send + 'static>(output: W, lines: usize) -> Self {
        let (queue, queued) = bounded(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = dropped.clone();
        thread::spawn(move || write_lines(output, &queued, &dropped_lines));
        Self { queue, dropped }
    }

    /// Installs this writer as the output of the process's logger. The level is `info` unless
    /// `RUST_LOG` sets another one.
    pub fn install(&self) {
        Builder::from_env(Env::default().default_filter_or("info"))
            .target(Target::Pipe(Box::new(self.clone())))
            .init();
    }

    /// Waits until all queued lines are written, for one second at most if the output is stalled.
    pub fn close(self) {
        let (flushed, was_flushed) = bounded(1);
        if self
            .queue
            .send_timeout(LogItem::Flush(flushed), CLOSE_TIMEOUT)
            .is_ok()
        {
            let _ = was_flushed.recv_timeout(CLOSE_TIMEOUT);
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(LogItem::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(output: W, queued: &Receiver<LogItem>, dropped: &AtomicU64) {
    let mut output = BufWriter::new(output);
    let mut unflushed = 0;
    for item in queued {
        // Write errors are ignored: there is no other place to report that the log output fails.
        match item {
            LogItem::Line(line) => {
                let _ = write_line(&mut output, &line, dropped);
            }
            LogItem::Flush(flushed) => {
                let _ = output.flush();
                let _ = flushed.send(());
            }
        }
        unflushed += 1;
        if queued.is_empty() || unflushed >= FLUSH_LINES {
            let _ = output.flush();
            unflushed = 0;
        }
    }
}

fn write_line<W: Write>(output: &mut W, line: &[u8], dropped: &AtomicU64) -> io::Result<()> {
    let lost = dropped.swap(0, Ordering::Relaxed);
    if lost > 0 {
        let event = events::LOG_DROPPED;
        writeln!(output, "E{} {} lines={lost}", event.number, event.name)?;
    }
    output.write_all(line)
}
