//! A link that goes silent for good while new ones work: it is found by progress and replaced, and
//! the at-most-once record makes the second send safe.

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

/// Far beyond any time that finding a silent link may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Passes bytes on, until told to go silent for the connections that are open.
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
        let (count, below) = (opened.clone(), silenced.clone());
        thread::spawn(move || {
            for caller in listener.incoming() {
                let number = count.fetch_add(1, Ordering::SeqCst);
                let (caller, server) = (caller.unwrap(), TcpStream::connect(to).unwrap());
                let pairs = [
                    (caller.try_clone().unwrap(), server.try_clone().unwrap()),
                    (server, caller),
                ];
                for (from, to) in pairs {
                    let below = below.clone();
                    thread::spawn(move || pass_on(from, to, number, &below));
                }
            }
        });
        Self {
            address,
            opened,
            silenced,
        }
    }

    /// From now on nothing passes on the connections opened so far; they stay open.
    fn silence_open(&self) {
        self.silenced
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, number: usize, silenced: &AtomicUsize) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        if number < silenced.load(Ordering::SeqCst) {
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

fn runs_of(deployment: &Deployment, id: &str) -> usize {
    let address = deployment.target_addresses[0];
    let answer = attohttpc::get(format!("http://{address}/_control/runs")).send();
    let text = answer.unwrap().text().unwrap();
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
                resend_over_a_new_link(Duration::from_millis($after_ms));
            }
        )*
    };
}

silent_cases! {
    while_the_claim_runs: silent 100 ms after the send;
    before_the_claim_is_sent: silent 0 ms after the send;
}

fn resend_over_a_new_link(after: Duration) {
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
    let again = call(&claim("seat-claim"));
    assert!(
        matches!(again, Ok(PeerReply::Forwarded(ForwardReply::Ran { .. }))),
        "{again:?}"
    );
    assert_eq!(runs_of(&deployment, "seat-claim"), 1);
    assert_eq!(relay.opened.load(Ordering::SeqCst), 2);
}

#[test]
fn a_slow_target_does_not_make_its_link_silent() {
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
    let told = links.call(
        relay.address,
        LinkClass::Request,
        &claim("slow"),
        CALL_TIMEOUT,
    );
    assert!(
        matches!(told, Ok(PeerReply::Forwarded(ForwardReply::Ran { .. }))),
        "{told:?}"
    );
    assert_eq!(relay.opened.load(Ordering::SeqCst), 1);
}
