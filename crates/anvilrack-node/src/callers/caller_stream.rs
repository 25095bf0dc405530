//! A caller's connection with limits on the time that the caller may take.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::mutex_lock::lock;
use anvilrack_limits::GatedConnection;

/// Time for which a caller may read nothing of a response.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// What the caller of a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerPhase {
    /// It has sent nothing since its last request.
    Idle,
    /// It has sent a part of a head, since this time.
    Head(Instant),
    /// Its request is read or answered.
    Request,
}

/// What is known of a caller's connection; shared by the stream and the requests on it.
#[derive(Debug)]
pub struct CallerActivity {
    connection: GatedConnection,
    phase: Mutex<CallerPhase>,
}

/// A request in progress on a connection, until its response was passed on or the request is given up.
#[derive(Debug)]
pub struct RequestActivity {
    activity: Arc<CallerActivity>,
}

impl CallerActivity {
    /// Creates the activity of a new connection.
    #[must_use]
    pub fn new(connection: GatedConnection) -> Arc<Self> {
        Arc::new(Self {
            connection,
            phase: Mutex::new(CallerPhase::Idle),
        })
    }

    /// Returns the connection.
    #[must_use]
    pub fn connection(&self) -> &GatedConnection {
        &self.connection
    }

    /// Called when the head of a request is complete.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> RequestActivity {
        *lock(&self.phase) = CallerPhase::Request;
        // Until its body is complete, the request waits for the caller.
        self.connection.set_waiting();
        RequestActivity {
            activity: self.clone(),
        }
    }

    fn on_read(&self) {
        let mut phase = lock(&self.phase);
        if *phase == CallerPhase::Idle {
            *phase = CallerPhase::Head(Instant::now());
        }
    }

    fn is_in_request(&self) -> bool {
        *lock(&self.phase) == CallerPhase::Request
    }

    fn head_since(&self) -> Option<Instant> {
        match *lock(&self.phase) {
            CallerPhase::Head(since) => Some(since),
            CallerPhase::Idle | CallerPhase::Request => None,
        }
    }
}

impl RequestActivity {
    /// Returns the connection of the request.
    #[must_use]
    pub fn connection(&self) -> &GatedConnection {
        &self.activity.connection
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        *lock(&self.activity.phase) = CallerPhase::Idle;
        self.activity.connection.set_waiting();
    }
}

/// The stream of a caller's connection.
///
/// Reading fails once a head has been incomplete for too long, and writing once the caller has not read for too long.
pub struct CallerStream {
    stream: TcpStream,
    activity: Arc<CallerActivity>,
    head_timeout: Duration,
    head_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Creates the stream; heads have to be complete `head_timeout` after their first byte.
    #[must_use]
    pub fn new(stream: TcpStream, activity: Arc<CallerActivity>, head_timeout: Duration) -> Self {
        Self {
            stream,
            activity,
            head_timeout,
            head_timer: None,
            write_timer: None,
        }
    }

    /// Completes when the head that is being received is overdue.
    fn poll_head_overdue(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(since) = self.activity.head_since() else {
            self.head_timer = None;
            return Poll::Pending;
        };
        let until = since + self.head_timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(context)
    }

    /// Completes when the caller has not read for too long.
    fn poll_unread(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self.write_timer.get_or_insert_with(|| {
            self.activity.connection.set_waiting();
            Box::pin(sleep_until(Instant::now() + UNREAD_TIMEOUT))
        });
        timer.as_mut().poll(context)
    }

    fn after_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.write_timer.take().is_some() && self.activity.is_in_request() {
                self.activity.connection.set_busy();
            }
            return written;
        }
        ready!(self.poll_unread(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller does not read its response",
        )))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                if buffer.filled().len() > filled {
                    self.activity.on_read();
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                ready!(self.poll_head_overdue(context));
                Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the request head was not complete in time",
                )))
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.after_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.after_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
