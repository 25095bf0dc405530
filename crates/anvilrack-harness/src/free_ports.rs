//! Ports that nothing listens on.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the range from which the system picks ports for outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Number of ports that tests share.
const PORT_COUNT: u16 = 18_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A port on which nothing listens just now.
///
/// Test processes start at places that depend on their process id, so that they seldom meet.
///
/// # Panics
///
/// Where every port of the range is taken.
#[must_use]
pub fn free_port() -> u16 {
    let seed = u16::try_from(std::process::id() % 300).unwrap_or(0) * 60;
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (seed.wrapping_add(step)) % PORT_COUNT;
        let taken = TcpStream::connect(("127.0.0.1", port)).is_ok();
        if !taken && TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no free port from {FIRST_PORT} on");
}
