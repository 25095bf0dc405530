//! LOST: a router gets SIGTERM while a client reads a response slowly; the process ends long before its time and cuts
//! the response.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Reader;
use crate::proxy::set_small_window;
use crate::record::Record;
use crate::site::{Bounds, Site, TERM, client_request};

const HOST: &str = "jepu9.example";
/// The client reads slowly until then, counted from SIGTERM, and quickly afterwards.
const SLOW_UNTIL: Duration = Duration::from_millis(4_300);
const CLIENTS: usize = 1;
/// Length of an answer.
const BYTES: usize = 20 * 1024 * 1024;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let document = include_str!("../wire/maps.json").replace("HOST", HOST);
    let bounds = Bounds {
        drain: "3000ms",
        grace: "6s",
        memory_mb: 260,
        slack: 164,
    };
    let mut site = Site::start(record, bounds, &document)?;
    for zone in ["koper-a", "ljubljana-a"] {
        site.add(
            "survey-intake",
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
    for number in 0..CLIENTS {
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            read_slowly(&record, callers, number)
        }));
    }
    std::thread::sleep(Duration::from_millis(300));
    let term_at = Instant::now();
    if trouble {
        record.add(format!("SIGTERM to router {}", site.routers[0].name));
        site.routers[0].signal(TERM);
        while !site.routers[0].has_ended() && term_at.elapsed() < Duration::from_secs(6) {
            std::thread::sleep(Duration::from_millis(5));
        }
        record.add(format!(
            "router {} ended {:.3} s after SIGTERM",
            site.routers[0].name,
            term_at.elapsed().as_secs_f64()
        ));
        site.routers[0].kill();
        let Site {
            record, routers, ..
        } = &mut site;
        routers[0].start(record);
    }
    let mut cut = 0;
    for client in clients {
        cut += usize::from(!client.join().map_err(|_| "a client failed")?);
    }
    let runs = site.seen.runs.lock().unwrap().len();
    record.add(format!(
        "{runs} requests ran, {cut} of {CLIENTS} connections ended without a complete answer"
    ));
    if runs < CLIENTS {
        return Err("the requests did not reach a server".into());
    }
    Ok(cut > 0)
}

/// Reads a response slowly at first; returns whether it was complete.
fn read_slowly(record: &Record, callers: std::net::SocketAddr, number: usize) -> bool {
    let id = format!("map-{number}");
    let Ok(stream) = TcpStream::connect(callers) else {
        return false;
    };
    set_small_window(&stream, 64 * 1024);
    let mut reader = Reader::new(stream);
    let request = client_request(
        "POST",
        HOST,
        &format!("/map/w50/s{BYTES}/2f"),
        &id,
        12_000,
        None,
        b"map",
    );
    record.add(format!(
        "send  {id}, {BYTES} bytes expected, time limit 12000 ms"
    ));
    let began = Instant::now();
    if reader.stream.write_all(&request).is_err() {
        return false;
    }
    let head = match reader.head() {
        Ok(Some(head)) => head,
        other => {
            record.add(format!("answer {id}: no head, {:?}", other.err()));
            return false;
        }
    };
    let length: usize = head
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    record.add(format!(
        "answer {id}: {} with a length of {length}",
        head.status()
    ));
    let mut last = 0;
    let body = reader.body(length, |read| {
        last = read;
        // About 1 MB a second at first.
        if began.elapsed() < SLOW_UNTIL + Duration::from_millis(300) {
            std::thread::sleep(Duration::from_millis(40));
        }
    });
    match body {
        Ok(body) => {
            record.add(format!(
                "{id} is complete: {} bytes after {:.3} s",
                body.len(),
                began.elapsed().as_secs_f64()
            ));
            true
        }
        Err(error) => {
            record.add(format!(
                "{id} was cut after {} bytes and {:.3} s: {error}",
                reader.pending(),
                began.elapsed().as_secs_f64()
            ));
            false
        }
    }
}
