//! Calls to a router that cannot be reached.
//!
//! Answers the days on which a failure domain is cut off: a thousand requests once waited one after the other
//! for a connection that nobody answered.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use anvilrack_node::peers::{PeerCall, PeerFault, PeerLinks};
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use tokio::runtime::{Builder, Runtime};

/// A call may take so long.
const LIMIT: Duration = Duration::from_secs(3);

/// One try to connect, and time for a busy machine.
const ONE_TRY: Duration = Duration::from_millis(1_500);

/// Takes no more connections: the packets that would open one are dropped.
struct SilentAddress {
    address: SocketAddr,
    _listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl SilentAddress {
    fn new() -> Self {
        let fd: OwnedFd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&fd, 0).unwrap();
        let listener = TcpListener::from(fd);
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let waiting = std::iter::from_fn(connect).collect();
        Self {
            address,
            _listener: listener,
            _waiting: waiting,
        }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn call() -> PeerCall {
    PeerCall::PullCell("bookings".into())
}

#[test]
fn callers_wait_for_one_try_together() {
    let silent = SilentAddress::new();
    runtime().block_on(async {
        let links = PeerLinks::default();
        let began = Instant::now();
        let answers = links
            .call_all(vec![silent.address; 20], &call(), LIMIT)
            .await;
        assert!(began.elapsed() < ONE_TRY, "{:?}", began.elapsed());
        let unsent =
            |answer: &Result<_, PeerFault>| answer.as_ref().is_err_and(PeerFault::is_unsent);
        assert!(answers.iter().all(unsent));
    });
}

#[test]
fn router_that_was_not_reached_is_not_waited_for() {
    let silent = SilentAddress::new();
    runtime().block_on(async {
        let links = PeerLinks::default();
        let first = links.call(silent.address, &call(), &[], LIMIT).await;
        assert!(matches!(first, Err(PeerFault::Unreachable(_))));
        // The tries go on meanwhile; none of these waits for one.
        for _ in 0..5 {
            let began = Instant::now();
            let next = links.call(silent.address, &call(), &[], LIMIT).await;
            assert!(matches!(next, Err(PeerFault::Unreachable(_))));
            assert!(began.elapsed() < Duration::from_millis(300));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    });
}

#[test]
fn router_that_is_back_is_called_again() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    runtime().block_on(async {
        let links = PeerLinks::default();
        let refused = links.call(address, &call(), &[], LIMIT).await;
        assert!(matches!(refused, Err(PeerFault::Unreachable(_))));
        let back = TcpListener::bind(address).unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        // It accepts and then closes: the link was opened all the same.
        std::thread::spawn(move || drop(back.accept()));
        let answer = links.call(address, &call(), &[], LIMIT).await;
        assert!(
            !matches!(answer, Err(PeerFault::Unreachable(_))),
            "{answer:?}"
        );
    });
}
