//! Misbehaving callers: the router keeps running and serves other callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anvilrack_harness::Deployment;

/// Timeout for a response from the router.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of connections; more than the router has worker threads for callers.
const CONNECTION_COUNT: usize = 400;

macro_rules! hostile_cases {
    ($($name:ident($router:ident) $body:block)*) => {
        $(
            #[test]
            fn $name() {
                let mut deployment = Deployment::new("bookings", 1).unwrap();
                deployment.await_ready().unwrap();
                let $router = deployment.caller_addresses[0];
                let open_connections = Box::new($body);
                assert_others_are_served($router);
                drop(open_connections);
                assert!(deployment.routers[0].is_running());
                assert_eq!(count_hostile_runs(&deployment), 0);
            }
        )*
    };
}

hostile_cases! {
    incomplete_headers(router) {
        open_many(router, CONNECTION_COUNT, b"GET /bookings/sea")
    }

    incomplete_bodies(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nhalf";
        open_many(router, CONNECTION_COUNT, head)
    }

    incomplete_chunks(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf";
        open_many(router, CONNECTION_COUNT, head)
    }

    thousand_idle_connections(router) {
        open_many(router, 1_000, b"")
    }

    body_above_maximum(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n";
        assert_eq!(send_for_status(router, &[head, &vec![b'x'; 5_000_000]]), Some(413));
    }

    chunked_body_above_maximum(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4c4b40\r\n";
        assert_eq!(send_for_status(router, &[head, &vec![b'x'; 5_000_000], b"\r\n0\r\n\r\n"]), Some(413));
    }

    truncated_chunked_body(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal";
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(head).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_ne!(read_status(stream), Some(200));
    }

    content_length_beyond_any_memory(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000000000\r\n\r\nhalf";
        assert_eq!(send_for_status(router, &[head]), Some(413));
    }

    truncated_body(router) {
        let head = b"POST /bookings/poison HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\nhalf";
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(head).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_ne!(read_status(stream), Some(200));
    }

    oversized_headers(router) {
        let line = format!("X-Flood: {}\r\n", "x".repeat(1_000));
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(b"POST /bookings/poison HTTP/1.1\r\n").unwrap();
        // The router may close the connection at any time.
        let _ = (0..20_000).try_for_each(|_| stream.write_all(line.as_bytes()));
        stream
    }

    invalid_percent_encoding(router) {
        for path in ["/bookings/poison%", "/bookings/%zz", "/bookings/%ff", "/bookings/a%2"] {
            let head = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
            assert_eq!(send_for_status(router, &[head.as_bytes()]), Some(400), "{path}");
        }
    }

    bytes_that_are_not_http(router) {
        send_for_status(router, &[&[0xff; 10_000], b"\r\n\r\n"]);
    }
}

/// Opens connections, sends `bytes` on each and leaves them open.
fn open_many(router: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(router).unwrap();
        // The router may close the connection at any time.
        let _ = stream.write_all(bytes);
        stream
    };
    (0..count).map(open).collect()
}

fn send_for_status(router: SocketAddr, parts: &[&[u8]]) -> Option<u16> {
    let mut stream = TcpStream::connect(router).unwrap();
    // The router may respond and close the connection before it has read everything.
    let _ = parts.iter().try_for_each(|part| stream.write_all(part));
    read_status(stream)
}

fn read_status(mut stream: TcpStream) -> Option<u16> {
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

/// Checks that the router serves a read, and a claim whose body is too long to arrive together with
/// its headers.
fn assert_others_are_served(router: SocketAddr) {
    let url = format!("http://{router}/bookings/seat");
    let read = attohttpc::get(&url)
        .timeout(RESPONSE_TIMEOUT)
        .send()
        .unwrap();
    assert_eq!(read.status().as_u16(), 200);
    let body = vec![b'x'; 100_000];
    let claim = attohttpc::post(&url)
        .timeout(RESPONSE_TIMEOUT)
        .bytes(body)
        .send()
        .unwrap();
    assert_eq!(claim.status().as_u16(), 200);
}

/// Returns the number of runs at the target of requests with `poison` in their key.
fn count_hostile_runs(deployment: &Deployment) -> usize {
    let address = deployment.target_addresses[0];
    let response = attohttpc::get(format!("http://{address}/_control/runs")).send();
    response.unwrap().text().unwrap().matches("poison").count()
}
