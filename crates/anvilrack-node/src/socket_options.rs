//! Options that every connection of the router has.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Unacknowledged data ends a connection after this many milliseconds.
///
/// A machine that vanished answers nothing, and the kernel's own limit is a quarter of an hour.
const UNACKNOWLEDGED_MS: u32 = 2_000;

/// A connection that has been idle this long is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// So many probes without an answer end the connection.
const PROBES: u32 = 2;

/// Sets them; a connection without them works, only a loss shows later.
pub fn set(stream: &TcpStream) {
    if let Err(error) = try_set(stream) {
        log::debug!("cannot set the options of a connection: {error}");
    }
}

fn try_set(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = stream.as_fd();
    sockopt::set_tcp_user_timeout(socket, UNACKNOWLEDGED_MS)?;
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_EVERY)?;
    sockopt::set_tcp_keepcnt(socket, PROBES)?;
    Ok(())
}
