//! LOST: clients read long answers slowly; the router holds all of them, takes more memory than `memory-mb`, is killed
//! for that, and closes kept connections whose requests are at work.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Reader;
use crate::proxy::set_small_window;
use crate::record::Record;
use crate::site::{Bounds, Site, client_request};

const HOST: &str = "jepu9.example";
/// The smallest machines of the site.
const MEMORY_MB: u32 = 160;
const KEPT: usize = 6;
const READERS: u64 = 24;
/// Length of an answer.
const BYTES: usize = 10 * 1024 * 1024;
/// The rule allows so many closed connections.
const ALLOWED: u64 = 3;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let document = include_str!("../wire/maps.json").replace("HOST", HOST);
    let bounds = Bounds {
        drain: "3000ms",
        grace: "6s",
        memory_mb: MEMORY_MB,
        slack: 164,
    };
    let mut site = Site::start(record, bounds, &document)?;
    for (service, zone) in [
        ("survey-intake", "koper-a"),
        ("licence-desk", "ljubljana-a"),
        ("licence-desk", "maribor-a"),
    ] {
        site.add(
            service,
            false,
            zone,
            None,
            12,
            Duration::from_millis(870),
            true,
        );
    }
    site.await_ready(false, Duration::from_secs(30))?;
    std::thread::sleep(Duration::from_secs(4));
    let callers = site.routers[0].callers;

    let mut clients = Vec::new();
    for number in 0..READERS {
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(80 * number));
            read(&record, callers, number, trouble);
        }));
    }
    // The kept connections: a short request each, then one that is at work for a while.
    let closed = Arc::new(AtomicU64::new(0));
    for number in 0..KEPT {
        let (record, closed) = (record.clone(), closed.clone());
        clients.push(std::thread::spawn(move || {
            closed.fetch_add(keep(&record, callers, number), Ordering::Relaxed);
        }));
    }
    // The platform kills a process that exceeds its memory, and starts it again.
    let mut peak = 0;
    let mut kills = 0;
    let until = Instant::now() + Duration::from_secs(17);
    while Instant::now() < until {
        for router in &mut site.routers {
            let used = router.private_memory().unwrap_or(0);
            peak = peak.max(used);
            if used > u64::from(MEMORY_MB) * 1024 * 1024 {
                record.add(format!(
                    "router {} uses {} MB: killed",
                    router.name,
                    used / 1024 / 1024
                ));
                router.kill();
                kills += 1;
                std::thread::sleep(Duration::from_millis(500));
                router.start(record);
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    for client in clients {
        client.join().ok();
    }
    record.add(format!(
        "greatest private memory of a router: {} MB; killed for memory {kills} times",
        peak / 1024 / 1024
    ));
    // Connections whose request was passed on to a sound server.
    let runs = site.seen.runs.lock().unwrap();
    let passed = runs
        .iter()
        .filter(|run| run.request.starts_with("long-"))
        .count();
    let closed = closed.load(Ordering::Relaxed);
    record.add(format!(
        "{passed} long requests ran, {closed} kept connections closed without an answer"
    ));
    if passed < KEPT {
        return Err("the long requests did not reach their servers".into());
    }
    Ok(closed > ALLOWED)
}

/// Sends two requests on one connection; returns 1 if the second got no answer.
fn keep(record: &Record, callers: SocketAddr, number: usize) -> u64 {
    let Ok(stream) = TcpStream::connect(callers) else {
        return 0;
    };
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok();
    let mut reader = Reader::new(stream);
    for (name, work) in [("short", 10), ("long", 4_000)] {
        let id = format!("{name}-{number}");
        let bytes = client_request(
            "POST",
            HOST,
            &format!("/order/w{work}/2f"),
            &id,
            4_900,
            None,
            b"order",
        );
        record.add(format!("send  {id} on kept connection {number}"));
        let sent = reader.stream.write_all(&bytes);
        match sent.and_then(|()| reader.message()) {
            Ok(Some(answer)) => record.add(format!("answer {id}: {}", answer.status())),
            Ok(None) => {
                record.add(format!("answer {id}: none, the connection was closed"));
                return 1;
            }
            Err(error) => {
                record.add(format!("answer {id}: none, {error}"));
                return 1;
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    0
}

/// Reads a long answer, at about 1 MB a second if it is to be slow.
fn read(record: &Record, callers: SocketAddr, number: u64, slow: bool) {
    let id = format!("map-{number}");
    let Ok(stream) = TcpStream::connect(callers) else {
        record.add(format!("answer {id}: no connection"));
        return;
    };
    set_small_window(&stream, 64 * 1024);
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok();
    let mut reader = Reader::new(stream);
    let bytes = client_request(
        "POST",
        HOST,
        &format!("/map/w20/s{BYTES}/2f"),
        &id,
        12_000,
        None,
        b"map",
    );
    record.add(format!("send  {id}"));
    let began = Instant::now();
    let head = match reader.stream.write_all(&bytes).and_then(|()| reader.head()) {
        Ok(Some(head)) => head,
        _ => {
            record.add(format!("answer {id}: none"));
            return;
        }
    };
    let length: usize = head
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let body = reader.body(length, |_| {
        if slow {
            std::thread::sleep(Duration::from_millis(40));
        }
    });
    let seconds = began.elapsed().as_secs_f64();
    match body {
        Ok(body) => record.add(format!(
            "answer {id}: {} with {} bytes after {seconds:.1} s",
            head.status(),
            body.len()
        )),
        Err(error) => record.add(format!(
            "answer {id}: {} cut after {} bytes and {seconds:.1} s: {error}",
            head.status(),
            reader.pending()
        )),
    }
}
