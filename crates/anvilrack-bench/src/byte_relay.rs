//! A TCP relay on loopback that counts what goes through it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 * 1_024;

/// Counts the bytes of all connections that go through it, in both directions.
#[derive(Debug)]
pub struct ByteRelay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl ByteRelay {
    /// Relays to `server` until the process ends.
    ///
    /// # Errors
    ///
    /// Where no port can be had.
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

    /// Where clients connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes so far, over both directions, without the headers of TCP and IP.
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
    let ways = [
        (client.try_clone()?, server.try_clone()?),
        (server, client.try_clone()?),
    ];
    for (from, to) in ways {
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
    // The other end may be gone already.
    let _ = to.shutdown(Shutdown::Write);
}
