//! A link that stops forwarding permanently while new connections work. The side that opened the
//! link detects it by missing progress and opens a new one, and the at-most-once record makes it safe
//! to send the request again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_fakes::{TargetFaults, TargetRun};
use anvilrack_harness::Deployment;
use anvilrack_peer::{LinkClass, PeerError, PeerLinks};
use anvilrack_wire::{BodyBytes, ForwardReply, ForwardRequest, PeerReply, PeerRequest};
use tokio::runtime::Runtime;

/// Much longer than the detection of a silent link takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A TCP relay that can stop forwarding on the connections that are open.
///
/// Connections are numbered as they are opened; those below `silenced` forward nothing.
struct SilentRelay {
    address: SocketAddr,
    opened: Arc<AtomicUsize>,
    silenced: Arc<AtomicUsize>,
}

impl SilentRelay {
    fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let opened = Arc::new(AtomicUsize::new(0));
        let silenced = Arc::new(AtomicUsize::new(0));
        let (count, silenced_below) = (opened.clone(), silenced.clone());
        thread::spawn(move || {
            for caller in listener.incoming() {
                let connection = count.fetch_add(1, Ordering::SeqCst);
                let (caller, server) = (caller.unwrap(), TcpStream::connect(to).unwrap());
                let pairs = [
                    (caller.try_clone().unwrap(), server.try_clone().unwrap()),
                    (server, caller),
                ];
                for (from, to) in pairs {
                    let silenced_below = silenced_below.clone();
                    thread::spawn(move || forward(from, to, connection, &silenced_below));
                }
            }
        });
        Self {
            address,
            opened,
            silenced,
        }
    }

    /// Stops forwarding on the connections opened so far; they stay open.
    fn silence_open(&self) {
        self.silenced
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, connection: usize, silenced: &AtomicUsize) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        if connection < silenced.load(Ordering::SeqCst) {
            continue;
        }
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            return;
        }
    }
}

fn claim(id: &str) -> PeerRequest {
    PeerRequest::Forward(ForwardRequest {
        service: "bookings".into(),
        key: "seat".into(),
        method: "POST".into(),
        path: "/bookings/seat".into(),
        content_type: None,
        idempotency_key: Some(id.into()),
        caller: "127.0.0.1".into(),
        timeout: Duration::from_secs(5),
        body: BodyBytes(b"claim".as_slice().into()),
    })
}

fn count_runs(deployment: &Deployment, id: &str) -> usize {
    let address = deployment.target_addresses[0];
    let response = attohttpc::get(format!("http://{address}/_control/runs")).send();
    let text = response.unwrap().text().unwrap();
    let runs = text
        .lines()
        .map(|line| serde_json::from_str::<TargetRun>(line).unwrap());
    runs.filter(|run| run.idempotency_key.as_deref() == Some(id))
        .count()
}

macro_rules! silent_cases {
    ($($name:ident: silent $after_ms:literal ms after the send;)*) => {
        $(
            #[test]
            fn $name() {
                assert_resend_over_new_link_runs_once(Duration::from_millis($after_ms));
            }
        )*
    };
}

silent_cases! {
    resend_after_silence_while_claim_runs: silent 100 ms after the send;
    resend_after_silence_before_claim_is_sent: silent 0 ms after the send;
}

fn assert_resend_over_new_link_runs_once(after: Duration) {
    let mut deployment = Deployment::new("bookings", 1).unwrap();
    deployment.await_ready().unwrap();
    let runtime = Runtime::new().unwrap();
    let links = PeerLinks::new(runtime.handle().clone());
    let relay = SilentRelay::new(deployment.peer_address(0));
    let call = |request: &PeerRequest| {
        links.call(relay.address, LinkClass::Request, request, CALL_TIMEOUT)
    };
    assert!(matches!(
        call(&claim("warm")),
        Ok(PeerReply::Forwarded(ForwardReply::Ran { .. }))
    ));
    let slow = TargetFaults {
        slow_ms: 1_500,
        ..TargetFaults::default()
    };
    deployment.set_target_faults(0, &slow).unwrap();
    if after.is_zero() {
        relay.silence_open();
    }
    let first = thread::scope(|scope| {
        let first = scope.spawn(|| call(&claim("seat-claim")));
        thread::sleep(after);
        relay.silence_open();
        first.join().unwrap()
    });
    assert!(matches!(first, Err(PeerError::SilentLink)), "{first:?}");
    let second = call(&claim("seat-claim"));
    assert!(
        matches!(second, Ok(PeerReply::Forwarded(ForwardReply::Ran { .. }))),
        "{second:?}"
    );
    assert_eq!(count_runs(&deployment, "seat-claim"), 1);
    assert_eq!(relay.opened.load(Ordering::SeqCst), 2);
}

#[test]
fn slow_target_does_not_count_as_silent_link() {
    let mut deployment = Deployment::new("bookings", 1).unwrap();
    deployment.await_ready().unwrap();
    let runtime = Runtime::new().unwrap();
    let links = PeerLinks::new(runtime.handle().clone());
    let relay = SilentRelay::new(deployment.peer_address(0));
    let slow = TargetFaults {
        slow_ms: 2_500,
        ..TargetFaults::default()
    };
    deployment.set_target_faults(0, &slow).unwrap();
    let response = links.call(
        relay.address,
        LinkClass::Request,
        &claim("slow"),
        CALL_TIMEOUT,
    );
    assert!(
        matches!(response, Ok(PeerReply::Forwarded(ForwardReply::Ran { .. }))),
        "{response:?}"
    );
    assert_eq!(relay.opened.load(Ordering::SeqCst), 1);
}
