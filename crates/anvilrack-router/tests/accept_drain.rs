//! Tests that requests in transit are answered when a listener closes.
//!
//! Guards against resets of idle connections: a caller may send a request on a new or pooled
//! connection just after the close.

use std::convert::Infallible;
use std::future::ready;
use std::time::Duration;

use anvilrack_router::accept_drain::{IDLE_CLOSE_DELAY, serve_until_closed};
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Runs `caller` against a connection whose listener closes after `closes_after`, with tokio's
/// paused clock.
fn run_against_closing_listener<F>(closes_after: Duration, caller: impl FnOnce(DuplexStream) -> F)
where
    F: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let (caller_end, server_end) = duplex(4_096);
        let service = service_fn(|_: Request<Incoming>| {
            ready(Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new())))
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        let result = serve_until_closed(
            &builder,
            TokioIo::new(server_end),
            service,
            sleep(closes_after),
        );
        let (result, ()) = tokio::join!(result, caller(caller_end));
        result.unwrap();
    });
}

async fn read_response(stream: &mut DuplexStream) -> String {
    let mut text = vec![0; 512];
    let length = stream.read(&mut text).await.unwrap();
    String::from_utf8_lossy(&text[..length]).into_owned()
}

async fn assert_answered(stream: &mut DuplexStream) {
    stream.write_all(REQUEST).await.unwrap();
    let text = read_response(stream).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
}

#[test]
fn first_request_just_after_close_is_answered() {
    run_against_closing_listener(Duration::ZERO, async |mut stream| {
        sleep(IDLE_CLOSE_DELAY / 2).await;
        assert_answered(&mut stream).await;
    });
}

#[test]
fn next_request_just_after_close_is_answered() {
    run_against_closing_listener(Duration::from_millis(50), async |mut stream| {
        assert_answered(&mut stream).await;
        sleep(Duration::from_millis(50) + IDLE_CLOSE_DELAY / 2).await;
        assert_answered(&mut stream).await;
    });
}

#[test]
fn idle_connection_is_closed() {
    run_against_closing_listener(Duration::ZERO, async |mut stream| {
        let started_at = Instant::now();
        assert_eq!(read_response(&mut stream).await, "");
        assert!(started_at.elapsed() < IDLE_CLOSE_DELAY * 2);
    });
}
