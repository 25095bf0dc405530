//! Callers that send more than a router can hold, or less than they announce, and stay connected.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anvilrack_harness::{Deployment, DeploymentPlan};
use serde_json::json;

/// Memory of a VM, in megabytes.
const MEMORY_MB: u64 = 256;

/// Maximum size of a body in the routers' settings.
const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Number of clients that send large bodies.
const CLIENTS: usize = 24;

/// Number of clients that send chunks of one byte, and the number of chunks of each.
const SMALL_CHUNK_CLIENTS: usize = 16;
const SMALL_CHUNKS: usize = 512 * 1024;

/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 1024 * 1024;

/// Time in which a client sends all that it wants to send.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which a crowd stays before the routers are checked, so that they have read what it has sent.
const CROWD_TIME: Duration = Duration::from_secs(5);

/// Time in which an ordinary request is served, which may be sent again when it is refused.
const SERVED_WITHIN: Duration = Duration::from_secs(20);

/// Time that a target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Held by the test that runs; crowds are measured one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

macro_rules! crowd_cases {
    ($($name:ident: $routers:literal routers, $clients:expr, $head:literal, $part:expr, $times:expr;)*) => {
        $(
            /// A crowd of clients filled the memory of a router.
            #[test]
            fn $name() {
                let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
                assert_bears_crowd($routers, $clients, $head, $part, $times);
            }
        )*
    };
}

crowd_cases! {
    crowd_of_whole_bodies: 1 routers, CLIENTS, "Content-Length: 16777216", &vec![b'x'; LARGE_CHUNK_BYTES], 16;
    crowd_of_short_bodies: 1 routers, CLIENTS, "Content-Length: 16777216", &vec![b'x'; LARGE_CHUNK_BYTES], 15;
    crowd_of_short_large_chunks: 1 routers, CLIENTS, "Transfer-Encoding: chunked", &chunk(LARGE_CHUNK_BYTES), 15;
    crowd_of_short_small_chunks: 1 routers, SMALL_CHUNK_CLIENTS, "Transfer-Encoding: chunked", &chunk(1), SMALL_CHUNKS;
    crowd_of_bodies_announced_over_the_limit: 1 routers, CLIENTS, "Content-Length: 134217728", &vec![b'x'; LARGE_CHUNK_BYTES], 128;
    crowd_of_bodies_sent_over_the_limit: 1 routers, CLIENTS, "Transfer-Encoding: chunked", &chunk(LARGE_CHUNK_BYTES), 128;
    crowd_at_many_entries: 4 routers, CLIENTS, "Content-Length: 16777216", &vec![b'x'; LARGE_CHUNK_BYTES], 16;
}

fn assert_bears_crowd(routers: usize, clients: usize, head: &str, part: &[u8], times: usize) {
    let mut plan = DeploymentPlan::new("bookings", routers);
    plan.service_time = SERVICE_TIME;
    plan.settings = json!({ "limits": { "caller_workers": 48, "guard_workers": 40, "body_bytes": BODY_BYTES } });
    let mut deployment = Deployment::with_plan(plan).unwrap();
    deployment.await_ready().unwrap();
    let addresses = deployment.caller_addresses.clone();
    let crowd: Vec<_> = thread::scope(|scope| {
        let senders: Vec<_> = (0..clients)
            .map(|client| {
                let address = addresses[client % addresses.len()];
                scope.spawn(move || send(address, head, part, times))
            })
            .collect();
        let crowd = senders.into_iter().map(|sender| sender.join().unwrap());
        crowd.collect()
    });
    thread::sleep(CROWD_TIME);
    assert_within_vm(&mut deployment);
    for address in &addresses {
        assert_served(*address, 0);
        assert_served(*address, 10_000);
    }
    drop(crowd);
    assert_served(addresses[0], BODY_BYTES);
    assert_within_vm(&mut deployment);
}

fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into()
}

/// Sends a request whose body consists of `part` this many times; returns the connection, which stays open.
fn send(router: SocketAddr, head: &str, part: &[u8], times: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&router, SEND_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    let head = format!("POST /bookings/crowd HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n");
    let parts_at_once = (LARGE_CHUNK_BYTES / part.len()).max(1);
    let piece = part.repeat(parts_at_once);
    let until = Instant::now() + SEND_TIMEOUT;
    let mut written = stream.write_all(head.as_bytes());
    let mut left = times;
    while left > 0 && written.is_ok() && Instant::now() < until {
        let parts = left.min(parts_at_once);
        // The router may close the connection at any time.
        written = stream.write_all(&piece[..parts * part.len()]);
        left -= parts;
    }
    Some(stream)
}

/// Checks that a request with a body of this size is served.
fn assert_served(router: SocketAddr, body_bytes: usize) {
    let until = Instant::now() + SERVED_WITHIN;
    let mut status = None;
    while status != Some(200) {
        assert!(
            Instant::now() < until,
            "a body of {body_bytes} bytes: status {status:?}"
        );
        status = send_ordinary(router, body_bytes);
    }
}

fn send_ordinary(router: SocketAddr, body_bytes: usize) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&router, SEND_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(SEND_TIMEOUT)).unwrap();
    let head = format!(
        "POST /bookings/seat HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    // A refusal may come before the body has been read.
    stream.write_all(&vec![b'x'; body_bytes]).ok();
    let mut status = [0; 12];
    stream.read_exact(&mut status).ok()?;
    std::str::from_utf8(&status[9..]).ok()?.parse().ok()
}

/// Checks that the routers still run and have not used more than the memory of their VMs.
fn assert_within_vm(deployment: &mut Deployment) {
    let max_kb = MEMORY_MB * 1_000_000 / 1024;
    for router in &mut deployment.routers {
        assert!(router.is_running(), "a router has ended: {}", router.log());
        let status = fs::read_to_string(format!("/proc/{}/status", router.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let memory_kb: u64 = kilobytes.unwrap().parse().unwrap();
        assert!(
            memory_kb <= max_kb,
            "a router has used {memory_kb} kB of {max_kb} kB"
        );
    }
}
