//! A TCP relay on the loopback interface that counts the bytes it forwards.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Size of the read buffer of each direction.
const CHUNK_BYTES: usize = 64 * 1_024;

/// A TCP relay that counts the bytes of all its connections, in both directions.
#[derive(Debug)]
pub struct ByteRelay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl ByteRelay {
    /// Starts a relay to `server`, which runs until the process ends.
    ///
    /// # Errors
    ///
    /// When no port can be opened.
    pub fn new(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let counter = bytes.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Err(error) = relay_client(&client, server, &counter) {
                    log::warn!("relay to {server}: {error}");
                }
            }
        });
        Ok(Self { address, bytes })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes forwarded so far in both directions, without TCP and IP headers.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn relay_client(
    client: &TcpStream,
    server: SocketAddr,
    counter: &Arc<AtomicU64>,
) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    let directions = [
        (client.try_clone()?, server.try_clone()?),
        (server, client.try_clone()?),
    ];
    for (from, to) in directions {
        to.set_nodelay(true)?;
        let counter = counter.clone();
        thread::spawn(move || copy_counted(from, to, &counter));
    }
    Ok(())
}

fn copy_counted(mut from: TcpStream, mut to: TcpStream, counter: &AtomicU64) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }
    // The peer may have closed the connection already.
    let _ = to.shutdown(Shutdown::Write);
}
