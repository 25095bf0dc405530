//! Callers that misbehave: the router stays up and answers the others.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anvilrack_harness::Deployment;

/// Time for an answer to a caller that behaves.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// More than the callers' workers.
const MANY: usize = 400;

macro_rules! hostile_cases {
    ($($name:ident($router:ident) $body:block)*) => {
        $(
            #[test]
            fn $name() {
                let mut deployment = Deployment::new("bookings", 1).unwrap();
                deployment.await_ready().unwrap();
                let $router = deployment.callers[0];
                let kept_open = Box::new($body);
                answers_others($router);
                drop(kept_open);
                assert!(deployment.routers[0].is_running());
                assert_eq!(poisoned_runs(&deployment), 0);
            }
        )*
    };
}

hostile_cases! {
    half_sent_heads(router) {
        open_many(router, MANY, b"GET /bookings/sea")
    }

    half_sent_bodies(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nhalf";
        open_many(router, MANY, head)
    }

    half_sent_chunks(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf";
        open_many(router, MANY, head)
    }

    a_thousand_idle_connections(router) {
        open_many(router, 1_000, b"")
    }

    a_body_past_the_bound(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n";
        assert_eq!(status_of(router, &[head, &vec![b'x'; 5_000_000]]), Some(413));
    }

    chunks_past_the_bound(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4c4b40\r\n";
        assert_eq!(status_of(router, &[head, &vec![b'x'; 5_000_000], b"\r\n0\r\n\r\n"]), Some(413));
    }

    a_chunked_body_cut_short(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal";
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(head).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_ne!(read_status(stream), Some(200));
    }

    a_length_that_no_machine_has_room_for(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000000000\r\n\r\nhalf";
        assert_eq!(status_of(router, &[head]), Some(413));
    }

    a_body_cut_short(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\nhalf";
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(head).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_ne!(read_status(stream), Some(200));
    }

    a_flood_of_headers(router) {
        let line = format!("X-Flood: {}\r\n", "x".repeat(1_000));
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(b"POST /bookings/poison HTTP/1.1\r\n").unwrap();
        // The router may close at any time.
        let _ = (0..20_000).try_for_each(|_| stream.write_all(line.as_bytes()));
        stream
    }

    bad_percent_encoding(router) {
        for path in ["/bookings/poison%", "/bookings/%zz", "/bookings/%ff", "/bookings/a%2"] {
            let head = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
            assert_eq!(status_of(router, &[head.as_bytes()]), Some(400), "{path}");
        }
    }

    bytes_that_are_no_http(router) {
        status_of(router, &[&[0xff; 10_000], b"\r\n\r\n"]);
    }
}

/// Opens connections, sends `bytes` on each and leaves them open.
fn open_many(router: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(router).unwrap();
        // The router may close at any time.
        let _ = stream.write_all(bytes);
        stream
    };
    (0..count).map(open).collect()
}

fn status_of(router: SocketAddr, parts: &[&[u8]]) -> Option<u16> {
    let mut stream = TcpStream::connect(router).unwrap();
    // The router may answer and close before it has read everything.
    let _ = parts.iter().try_for_each(|part| stream.write_all(part));
    read_status(stream)
}

fn read_status(mut stream: TcpStream) -> Option<u16> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

/// Reads, and claims with a body that is longer than what comes along with a head.
fn answers_others(router: SocketAddr) {
    let url = format!("http://{router}/bookings/seat");
    let read = attohttpc::get(&url).timeout(ANSWER_TIMEOUT).send().unwrap();
    assert_eq!(read.status().as_u16(), 200);
    let ticket = vec![b'x'; 100_000];
    let claim = attohttpc::post(&url)
        .timeout(ANSWER_TIMEOUT)
        .bytes(ticket)
        .send()
        .unwrap();
    assert_eq!(claim.status().as_u16(), 200);
}

/// Runs of what must not run.
fn poisoned_runs(deployment: &Deployment) -> usize {
    let address = deployment.target_addresses[0];
    let answer = attohttpc::get(format!("http://{address}/_control/runs")).send();
    answer.unwrap().text().unwrap().matches("poison").count()
}
