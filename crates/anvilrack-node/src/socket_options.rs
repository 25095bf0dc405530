//! Socket options for connections to targets, to the store and between routers.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged data is closed.
///
/// A machine that fails sends no reset, and the kernel's default timeout is about 15 minutes.
const USER_TIMEOUT_MS: u32 = 2_000;

/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unacknowledged keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options; on an error the connection still works, but its loss is detected later.
///
/// `idle` is the time without traffic after which keep-alive probes are sent.
pub fn set(stream: &TcpStream, idle: Duration) {
    if let Err(error) = try_set(stream, idle) {
        log::debug!("cannot set socket options: {error}");
    }
}

fn try_set(stream: &TcpStream, idle: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = stream.as_fd();
    sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, idle)?;
    sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
    Ok(())
}
