//! Selection of unused TCP ports for tests.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the range, which lies below the system's ephemeral ports (32768 and up on Linux).
const FIRST_PORT: u16 = 12_000;

/// Number of ports in the range that all test processes share.
const PORT_COUNT: u16 = 18_000;

static NEXT_STEP: AtomicU16 = AtomicU16::new(0);

/// Returns a port on which nothing is listening at the moment.
///
/// Each test process starts its search at an offset derived from its process id, so that processes
/// that run at the same time rarely choose the same port.
///
/// # Panics
///
/// Panics if every port of the range is in use.
#[must_use]
pub fn free_port() -> u16 {
    let offset = u16::try_from(std::process::id() % 300).unwrap_or(0) * 60;
    for _ in 0..PORT_COUNT {
        let step = NEXT_STEP.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset.wrapping_add(step)) % PORT_COUNT;
        let in_use = TcpStream::connect(("127.0.0.1", port)).is_ok();
        if !in_use && TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no free port at or above {FIRST_PORT}");
}
