//! A relay between a listener and those who connect to it, for cut and silent links.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes that are passed on in one step.
const BUFFER_BYTES: usize = 64 * 1024;

/// How often a silent link looks whether it may go on.
const SILENT_STEP: Duration = Duration::from_millis(10);

const OPEN: u8 = 0;
const SILENT: u8 = 1;
const CUT: u8 = 2;

/// Passes bytes on until it is told to cut its links or to keep silent.
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
    /// Listens on `address` and passes what comes in on to `target`.
    ///
    /// # Errors
    ///
    /// Where the address cannot be bound.
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

    /// Ends all links and refuses new ones.
    pub fn cut(&self) {
        self.shared.mode.store(CUT, Ordering::SeqCst);
        let mut streams = self.shared.streams();
        for stream in streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Passes nothing on any more, while links stay open and new ones are taken.
    pub fn fall_silent(&self) {
        self.shared.mode.store(SILENT, Ordering::SeqCst);
    }

    /// Passes bytes on again.
    pub fn mend(&self) {
        self.shared.mode.store(OPEN, Ordering::SeqCst);
    }
}

impl RelayState {
    fn accept(self: &Arc<Self>, near: TcpStream) {
        if self.mode.load(Ordering::SeqCst) == CUT {
            return;
        }
        let Ok(far) = TcpStream::connect(self.target) else {
            return;
        };
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let _ = to.set_nodelay(true);
            let state = self.clone();
            thread::spawn(move || state.pass_on(from, to));
        }
        self.streams().extend([near, far]);
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            while self.mode.load(Ordering::SeqCst) == SILENT {
                thread::sleep(SILENT_STEP);
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
