//! Tests of calls to a router that cannot be reached.
//!
//! They guard against calls that wait one after the other for a connection attempt that times out, which
//! once held up a thousand requests when a failure domain was cut off.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use anvilrack_node::peers::{CallError, CellRequest, PeerCall, PeerLinks};
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use tokio::runtime::{Builder, Runtime};

/// Time limit of each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of one connection attempt, with a margin for a busy machine.
const ONE_ATTEMPT: Duration = Duration::from_millis(1_500);

/// An address whose listener has a full backlog, so that packets opening further connections are
/// dropped.
struct UnresponsiveAddress {
    address: SocketAddr,
    _listener: TcpListener,
    _pending: Vec<TcpStream>,
}

impl UnresponsiveAddress {
    fn new() -> Self {
        let fd: OwnedFd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&fd, 0).unwrap();
        let listener = TcpListener::from(fd);
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let pending = std::iter::from_fn(connect).collect();
        Self {
            address,
            _listener: listener,
            _pending: pending,
        }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn call() -> PeerCall {
    PeerCall::PullCell(CellRequest {
        service: "bookings".into(),
        known: None,
        is_member: false,
    })
}

#[test]
fn concurrent_calls_share_one_connection_attempt() {
    let unresponsive = UnresponsiveAddress::new();
    runtime().block_on(async {
        let links = PeerLinks::default();
        let began = Instant::now();
        let replies = links
            .call_all(vec![unresponsive.address; 20], &call(), CALL_TIMEOUT)
            .await;
        assert!(began.elapsed() < ONE_ATTEMPT, "{:?}", began.elapsed());
        let unsent = |reply: &Result<_, CallError>| reply.as_ref().is_err_and(CallError::is_unsent);
        assert!(replies.iter().all(unsent));
    });
}

#[test]
fn calls_fail_immediately_after_a_failed_attempt() {
    let unresponsive = UnresponsiveAddress::new();
    runtime().block_on(async {
        let links = PeerLinks::default();
        let first = links
            .call(unresponsive.address, &call(), CALL_TIMEOUT)
            .await;
        assert!(matches!(first, Err(CallError::Unreachable(_))));
        // Reconnecting continues in the background; none of these calls waits for it.
        for _ in 0..5 {
            let began = Instant::now();
            let next = links
                .call(unresponsive.address, &call(), CALL_TIMEOUT)
                .await;
            assert!(matches!(next, Err(CallError::Unreachable(_))));
            assert!(began.elapsed() < Duration::from_millis(300));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    });
}

#[test]
fn router_that_is_back_is_reached_again() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    runtime().block_on(async {
        let links = PeerLinks::default();
        let refused = links.call(address, &call(), CALL_TIMEOUT).await;
        assert!(matches!(refused, Err(CallError::Unreachable(_))));
        let back = TcpListener::bind(address).unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        // It accepts and closes the connection, which still counts as reaching the router.
        std::thread::spawn(move || drop(back.accept()));
        let reply = links.call(address, &call(), CALL_TIMEOUT).await;
        assert!(
            !matches!(reply, Err(CallError::Unreachable(_))),
            "{reply:?}"
        );
    });
}
