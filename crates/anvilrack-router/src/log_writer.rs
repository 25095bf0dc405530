//! Log lines that never hold up a request.

use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_core::events;
use crossbeam::channel::{Receiver, Sender, bounded};
use env_logger::{Builder, Env, Target};

/// Lines that wait to be written; about a second's worth at the size we design for.
const QUEUE_LINES: usize = 4_096;

/// Lines after which what was written is handed to the system, if more are waiting.
const FLUSH_LINES: usize = 256;

/// Longest wait for the last lines of a process.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Takes lines into a bounded queue, from which one thread writes them.
///
/// A log that stalls must not stall requests, so what finds the queue full is dropped and counted; the
/// next line that gets through tells how many were lost.
#[derive(Clone, Debug)]
pub struct LogWriter {
    queue: Sender<LogItem>,
    dropped: Arc<AtomicU64>,
}

/// What goes through the queue.
#[derive(Debug)]
enum LogItem {
    Line(Vec<u8>),
    /// Write out all that came before, then say so.
    Flush(Sender<()>),
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    #[must_use]
    pub fn start<W: Write + Send + 'static>(output: W) -> Self {
        Self::with_queue(output, QUEUE_LINES)
    }

    /// Like [`Self::start`], with room for that many waiting lines.
    #[must_use]
    pub fn with_queue<W: Write + Send + 'static>(output: W, lines: usize) -> Self {
        let (queue, waiting) = bounded(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(output, &waiting, &counter));
        Self { queue, dropped }
    }

    /// Makes this the place where the process's log goes; `info` unless `RUST_LOG` says otherwise.
    pub fn install(&self) {
        Builder::from_env(Env::default().default_filter_or("info"))
            .target(Target::Pipe(Box::new(self.clone())))
            .init();
    }

    /// Waits until all lines so far are written, for half a second at most.
    pub fn close(self) {
        let (done, written) = bounded(1);
        if self
            .queue
            .send_timeout(LogItem::Flush(done), CLOSE_LIMIT)
            .is_ok()
        {
            let _ = written.recv_timeout(CLOSE_LIMIT);
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

fn write_lines<W: Write>(output: W, waiting: &Receiver<LogItem>, dropped: &AtomicU64) {
    let mut output = BufWriter::new(output);
    let mut unflushed = 0;
    for item in waiting {
        // Nobody is left to be told that the log itself cannot be written.
        match item {
            LogItem::Line(line) => {
                let _ = write_line(&mut output, &line, dropped);
            }
            LogItem::Flush(done) => {
                let _ = output.flush();
                let _ = done.send(());
            }
        }
        unflushed += 1;
        if waiting.is_empty() || unflushed >= FLUSH_LINES {
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
