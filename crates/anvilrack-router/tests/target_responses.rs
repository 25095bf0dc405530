//! Responses of a target that break off, or that come a second time where another one is expected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use anvilrack_core::RequestVerdict;
use anvilrack_router::boot_clock;
use anvilrack_router::stages::deliver::{self, DeliveryParameters, TargetClient};
use anvilrack_wire::{BodyBytes, ForwardRequest};
use rustix::net::sockopt;

const REFUSAL: &str =
    "HTTP/1.1 503 Unavailable\r\nAnvilrack-Verdict: not-run\r\nContent-Length: 0\r\n\r\n";

const REFUSAL_WITH_BODY: &str =
    "HTTP/1.1 429 Slow\r\nAnvilrack-Verdict: not-run\r\nContent-Length: 4\r\n\r\nfull";

const RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody";

const CHUNKED_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

/// Time in which the bytes before a reset arrive, so that it comes in the middle of the response.
const RESET_DELAY: Duration = Duration::from_millis(3);

/// Time within which a response is expected.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of an upload, more than what fits into the buffers of a connection, and how many are sent in a case.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;
const UPLOADS: usize = 10;

/// What a target does with one request.
#[derive(Clone, Debug)]
struct TargetTurn {
    /// The bytes that it writes.
    bytes: String,
    /// What comes after them.
    ending: TurnEnding,
}

/// What comes after the bytes of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnEnding {
    /// The connection stays open for the next request.
    Kept,
    /// The connection is closed.
    Closed,
    /// The connection is reset.
    Reset,
    /// The rest of the request is read for a while, and then the connection is reset.
    ResetWhileReading,
}

/// A target that takes the next of these turns for each request that arrives, on whatever connection, and reports
/// whether the connection was in use before.
fn start_target(turns: Vec<TargetTurn>) -> (SocketAddr, mpsc::Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (used, was_used) = mpsc::channel();
    thread::spawn(move || {
        let mut turns = turns.into_iter();
        while let Ok((stream, _)) = listener.accept() {
            serve_connection(stream, &mut turns, &used);
        }
    });
    (address, was_used)
}

fn serve_connection(
    mut stream: TcpStream,
    turns: &mut impl Iterator<Item = TargetTurn>,
    used: &mpsc::Sender<bool>,
) {
    let mut buffer = [0; 4_096];
    let mut is_used = false;
    while matches!(stream.peek(&mut buffer), Ok(1..)) {
        let Some(turn) = turns.next() else {
            return;
        };
        used.send(is_used).ok();
        is_used = true;
        // The kernel resets a connection that is closed with bytes left to read.
        if turn.ending != TurnEnding::Reset && !matches!(stream.read(&mut buffer), Ok(1..)) {
            return;
        }
        stream.write_all(turn.bytes.as_bytes()).ok();
        match turn.ending {
            TurnEnding::Kept => {}
            TurnEnding::Closed => return,
            TurnEnding::Reset => {
                thread::sleep(RESET_DELAY);
                return;
            }
            TurnEnding::ResetWhileReading => {
                // All of the request may have been read before.
                stream.set_read_timeout(Some(RESET_DELAY)).unwrap();
                let until = Instant::now() + RESET_DELAY;
                while Instant::now() < until && matches!(stream.read(&mut buffer), Ok(1..)) {}
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    }
}

fn turn(bytes: &str, ending: TurnEnding) -> TargetTurn {
    TargetTurn {
        bytes: bytes.to_owned(),
        ending,
    }
}

fn send(client: &TargetClient, address: SocketAddr) -> RequestVerdict {
    send_body(client, address, Vec::new())
}

fn send_body(client: &TargetClient, address: SocketAddr, body: Vec<u8>) -> RequestVerdict {
    let request = ForwardRequest {
        service: "bookings".into(),
        key: "key-1".into(),
        method: "POST".into(),
        path: "/bookings/key-1".into(),
        content_type: None,
        idempotency_key: None,
        caller: "127.0.0.1".into(),
        timeout: RESPONSE_TIMEOUT,
        body: BodyBytes(body.into()),
    };
    let now = boot_clock::now();
    let parameters = DeliveryParameters {
        address,
        shard: 1,
        token: 1,
        lease_until: now + RESPONSE_TIMEOUT,
        deadline: now + RESPONSE_TIMEOUT,
    };
    deliver::process(client, &request, &parameters)
}

/// A response that broke off at some byte must not count as a complete one, nor as a refusal.
fn assert_uncertain_if_cut(
    response: &str,
    complete_from: usize,
    ending: TurnEnding,
    is_kept: bool,
) {
    let mut turns = Vec::new();
    for cut in 0..complete_from {
        if is_kept {
            turns.push(turn(RESPONSE, TurnEnding::Kept));
        }
        turns.push(turn(&response[..cut], ending));
    }
    let (address, was_used) = start_target(turns);
    let client = TargetClient::new(4);
    for cut in 0..complete_from {
        if is_kept {
            let verdict = send(&client, address);
            assert!(matches!(verdict, RequestVerdict::Ran(_)), "{verdict:?}");
            assert!(!was_used.recv().unwrap());
        }
        let verdict = send(&client, address);
        assert_eq!(was_used.recv().unwrap(), is_kept, "cut at {cut}");
        assert!(
            matches!(verdict, RequestVerdict::MayHaveRun(_)),
            "cut at {cut}: {verdict:?}"
        );
    }
}

macro_rules! cut_cases {
    ($($name:ident: $response:expr, complete from $complete_from:expr;)*) => {
        $(
            /// Each cut point, closed and reset, on a new connection and on one that was in use before.
            #[test]
            fn $name() {
                for ending in [TurnEnding::Closed, TurnEnding::Reset] {
                    for is_kept in [false, true] {
                        assert_uncertain_if_cut($response, $complete_from, ending, is_kept);
                    }
                }
            }
        )*
    };
}

cut_cases! {
    response_that_breaks_off: RESPONSE, complete from RESPONSE.len();
    // The line end after the last chunk may be missing: the body is complete without it.
    chunked_response_that_breaks_off: CHUNKED_RESPONSE, complete from CHUNKED_RESPONSE.len() - 4;
    refusal_that_breaks_off: REFUSAL, complete from REFUSAL.len();
}

macro_rules! copied_refusal_cases {
    ($($name:ident: $refusal:expr;)*) => {
        $(
            /// A copy of a refusal that came while a later request ran told its caller that it had not run.
            #[test]
            fn $name() {
                let copy = format!("{}{RESPONSE}", $refusal);
                let turns = vec![
                    turn(RESPONSE, TurnEnding::Kept),
                    turn($refusal, TurnEnding::Kept),
                    turn(&copy, TurnEnding::Kept),
                ];
                let (address, was_used) = start_target(turns);
                let client = TargetClient::new(1);
                assert!(matches!(send(&client, address), RequestVerdict::Ran(_)));
                assert!(!was_used.recv().unwrap());
                assert!(matches!(send(&client, address), RequestVerdict::NotRun(..)));
                assert!(was_used.recv().unwrap(), "connections are used again");
                // A target has nothing to copy on a connection on which it has refused nothing.
                let verdict = send(&client, address);
                assert!(!was_used.recv().unwrap(), "sent where a copy may come: {verdict:?}");
            }
        )*
    };
}

copied_refusal_cases! {
    copy_of_a_refusal_without_body: REFUSAL;
    copy_of_a_refusal_with_body: REFUSAL_WITH_BODY;
}

macro_rules! upload_cases {
    ($($name:ident: $response:literal then $ending:ident;)*) => {
        $(
            /// A target that responds before it has read the request and resets the connection while the rest is
            /// written has not completed its response.
            #[test]
            fn $name() {
                let turns = vec![turn($response, TurnEnding::$ending); UPLOADS];
                let (address, _was_used) = start_target(turns);
                let client = TargetClient::new(4);
                for _ in 0..UPLOADS {
                    let verdict = send_body(&client, address, vec![b'x'; UPLOAD_BYTES]);
                    assert!(matches!(verdict, RequestVerdict::MayHaveRun(_)), "{verdict:?}");
                }
            }
        )*
    };
}

upload_cases! {
    body_answered_without_length_and_reset: "HTTP/1.1 200 OK\r\n\r\nbo" then Reset;
    body_answered_without_length_and_reset_while_it_is_read: "HTTP/1.1 200 OK\r\n\r\nbo" then ResetWhileReading;
    body_answered_with_a_part_of_a_head_and_reset: "HTTP/1.1 200 OK\r\nContent-Ty" then Reset;
    body_refused_without_length_and_reset: "HTTP/1.1 503 Full\r\n\r\nfu" then Reset;
}

macro_rules! status_cases {
    ($($name:ident: $line:literal;)*) => {
        $(
            /// A status that is none must not be passed on as that of a response.
            #[test]
            fn $name() {
                let response = concat!($line, "\r\nContent-Length: 4\r\n\r\nbody");
                let (address, _was_used) = start_target(vec![turn(response, TurnEnding::Kept)]);
                let verdict = send(&TargetClient::new(4), address);
                assert!(matches!(verdict, RequestVerdict::MayHaveRun(_)), "{verdict:?}");
            }
        )*
    };
}

status_cases! {
    response_with_status_000: "HTTP/1.1 000 Trouble";
    response_with_status_099: "HTTP/1.1 099 Trouble";
    response_with_status_600: "HTTP/1.1 600 Trouble";
    response_with_status_999: "HTTP/1.1 999 Trouble";
    response_with_status_1000: "HTTP/1.1 1000 Trouble";
    response_with_status_that_is_missing: "HTTP/1.1 ";
    response_with_status_that_is_no_number: "HTTP/1.1 2OO OK";
}
