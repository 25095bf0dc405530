//! Sending of requests to the target under the owner's lease.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_core::{RefusalReason, RequestVerdict};
use anvilrack_router::boot_clock;
use anvilrack_router::stages::deliver::{self, DeliveryParameters, TargetClient};
use anvilrack_wire::{BodyBytes, ForwardRequest};

/// Size of a body that takes much longer to copy than [`SHORT_LEASE`].
const LARGE_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Lease of a request that takes longer to prepare.
const SHORT_LEASE: Duration = Duration::from_millis(5);

macro_rules! lease_cases {
    ($($name:ident: body $bytes:expr, lease $lease:expr, connections $connections:literal, lease ended $ended:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let (address, connections) = start_target();
                let request = request_with_body($bytes);
                let now = boot_clock::now();
                let parameters = DeliveryParameters {
                    address,
                    shard: 1,
                    token: 1,
                    lease_until: now + $lease,
                    deadline: now + Duration::from_secs(10),
                };
                let verdict = deliver::process(&TargetClient::new(1), &request, &parameters);
                let ended = matches!(verdict, RequestVerdict::NotRun(RefusalReason::LeaseEnded, _));
                assert_eq!(ended, $ended, "{verdict:?}");
                assert_eq!(matches!(verdict, RequestVerdict::Ran(_)), !$ended, "{verdict:?}");
                let received = connections.load(Ordering::Relaxed);
                assert_eq!(received, $connections, "requests at the target");
            }
        )*
    };
}

// A router that was suspended after it had checked its lease sent the request all the same.
lease_cases! {
    request_is_not_sent_if_the_lease_ends_while_it_is_prepared: body LARGE_BODY_BYTES, lease SHORT_LEASE, connections 0, lease ended true;
    request_is_sent_under_a_valid_lease: body 10, lease Duration::from_secs(9), connections 1, lease ended false;
}

/// Starts a target, and returns its address and the number of requests of which it has received a part.
fn start_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 4_096];
            if matches!(stream.read(&mut buffer), Ok(1..)) {
                counter.fetch_add(1, Ordering::Relaxed);
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .ok();
            }
        }
    });
    (address, requests)
}

fn request_with_body(bytes: usize) -> ForwardRequest {
    ForwardRequest {
        service: "bookings".into(),
        key: "key-1".into(),
        method: "POST".into(),
        path: "/bookings/key-1".into(),
        content_type: None,
        idempotency_key: None,
        caller: "127.0.0.1".into(),
        timeout: Duration::from_secs(10),
        body: BodyBytes(vec![0; bytes].into()),
    }
}
