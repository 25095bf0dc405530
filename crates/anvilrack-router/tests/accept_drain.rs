//! Connections that are open when a port closes: what is already on its way is answered.

use std::convert::Infallible;
use std::future::ready;
use std::time::Duration;

use anvilrack_router::accept_drain::{QUIET_TIME, serve_until_closed};
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

/// Runs `caller` against a connection whose port closes after `closes_after`, on a clock of its own.
fn against_closing_port<F>(closes_after: Duration, caller: impl FnOnce(DuplexStream) -> F)
where
    F: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let (near, far) = duplex(4_096);
        let service = service_fn(|_: Request<Incoming>| {
            ready(Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new())))
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        let served = serve_until_closed(&builder, TokioIo::new(far), service, sleep(closes_after));
        let (served, ()) = tokio::join!(served, caller(near));
        served.unwrap();
    });
}

async fn answer(stream: &mut DuplexStream) -> String {
    let mut text = vec![0; 512];
    let length = stream.read(&mut text).await.unwrap();
    String::from_utf8_lossy(&text[..length]).into_owned()
}

async fn is_answered(stream: &mut DuplexStream) {
    stream.write_all(REQUEST).await.unwrap();
    let text = answer(stream).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
}

#[test]
fn first_request_may_come_just_after_the_close() {
    against_closing_port(Duration::ZERO, async |mut stream| {
        sleep(QUIET_TIME / 2).await;
        is_answered(&mut stream).await;
    });
}

#[test]
fn next_request_may_come_just_after_the_close() {
    against_closing_port(Duration::from_millis(50), async |mut stream| {
        is_answered(&mut stream).await;
        sleep(Duration::from_millis(50) + QUIET_TIME / 2).await;
        is_answered(&mut stream).await;
    });
}

#[test]
fn quiet_connection_ends() {
    against_closing_port(Duration::ZERO, async |mut stream| {
        let began = Instant::now();
        assert_eq!(answer(&mut stream).await, "");
        assert!(began.elapsed() < QUIET_TIME * 2);
    });
}
