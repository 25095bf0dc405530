//! A TCP relay that can cut its connections or stop forwarding, to simulate link failures.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of bytes forwarded at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// How often a silent connection checks whether it may forward again.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(10);

const OPEN: u8 = 0;
const SILENT: u8 = 1;
const CUT: u8 = 2;

/// Forwards connections to a target address, and can close or silence them.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    shared: Arc<RelayState>,
}

#[derive(Debug)]
struct RelayState {
    target: SocketAddr,
    mode: AtomicU8,
    streams: Mutex<Vec<TcpStream>>,
}

impl TcpRelay {
    /// Listens on `address` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let shared = Arc::new(RelayState {
            target,
            mode: AtomicU8::new(OPEN),
            streams: Mutex::default(),
        });
        let state = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                state.accept(stream);
            }
        });
        Ok(Self { shared })
    }

    /// Closes all connections, and closes new ones as soon as they are accepted.
    pub fn cut(&self) {
        self.shared.mode.store(CUT, Ordering::SeqCst);
        let mut streams = self.shared.streams();
        for stream in streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops forwarding, but keeps connections open and accepts new ones.
    pub fn stop_forwarding(&self) {
        self.shared.mode.store(SILENT, Ordering::SeqCst);
    }

    /// Forwards again, also on new connections.
    pub fn resume_forwarding(&self) {
        self.shared.mode.store(OPEN, Ordering::SeqCst);
    }
}

impl RelayState {
    fn accept(self: &Arc<Self>, incoming: TcpStream) {
        if self.mode.load(Ordering::SeqCst) == CUT {
            return;
        }
        let Ok(outgoing) = TcpStream::connect(self.target) else {
            return;
        };
        for (from, to) in [(&incoming, &outgoing), (&outgoing, &incoming)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let _ = to.set_nodelay(true);
            let state = self.clone();
            thread::spawn(move || state.forward(from, to));
        }
        self.streams().extend([incoming, outgoing]);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            while self.mode.load(Ordering::SeqCst) == SILENT {
                thread::sleep(SILENT_POLL_INTERVAL);
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }

    fn streams(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
