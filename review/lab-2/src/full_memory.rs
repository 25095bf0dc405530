//! LOST: a few clients send long uploads within `max-body-bytes`; the router takes more memory than `memory-mb`, is
//! killed for that, and closes kept connections whose requests are at work.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::http::Reader;
use crate::record::Record;
use crate::site::{Bounds, Site, client_request};

const HOST: &str = "jepu9.example";
const MEMORY_MB: u32 = 260;
const KEPT: usize = 6;
const UPLOADS: usize = 6;
const LONG_UPLOAD: usize = 32 * 1024 * 1024;
const USUAL_UPLOAD: usize = 300_000;
/// The rule allows so many closed connections.
const ALLOWED: u64 = 3;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let bytes = if trouble { LONG_UPLOAD } else { USUAL_UPLOAD };
    let document = include_str!("../wire/sheets.json").replace("HOST", HOST);
    let bounds = Bounds {
        drain: "2000ms",
        grace: "6s",
        memory_mb: MEMORY_MB,
        slack: 56,
    };
    let mut site = Site::start(record, bounds, &document)?;
    for (service, zone) in [
        ("remitos", "cordoba-a"),
        ("pedidos", "rosario-a"),
        ("remitos", "neuquen-a"),
        ("pedidos", "cordoba-b"),
    ] {
        site.add(
            service,
            false,
            zone,
            None,
            9,
            Duration::from_millis(1_500),
            true,
        );
    }
    site.await_ready(false, Duration::from_secs(30))?;
    std::thread::sleep(Duration::from_secs(4));
    let callers = site.routers[0].callers;

    // The kept connections: a short request each, then one that is at work for a while.
    let closed = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..KEPT {
        let (record, closed, answered) = (record.clone(), closed.clone(), answered.clone());
        clients.push(std::thread::spawn(move || {
            let Ok(stream) = TcpStream::connect(callers) else {
                return;
            };
            stream.set_read_timeout(Some(Duration::from_secs(6))).ok();
            let mut reader = Reader::new(stream);
            for (name, work) in [("short", 10), ("long", 2_500)] {
                let id = format!("{name}-{number}");
                let bytes = client_request(
                    "POST",
                    HOST,
                    &format!("/order/w{work}/2f"),
                    &id,
                    4_500,
                    None,
                    b"order",
                );
                record.add(format!("send  {id} on kept connection {number}"));
                let sent = reader.stream.write_all(&bytes);
                match sent.and_then(|()| reader.message()) {
                    Ok(Some(answer)) => {
                        record.add(format!("answer {id}: {}", answer.status()));
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    Ok(None) => {
                        record.add(format!("answer {id}: none, the connection was closed"));
                        closed.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(error) => {
                        record.add(format!("answer {id}: none, {error}"));
                        closed.fetch_add(1, Ordering::Relaxed);
                    }
                }
                std::thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    std::thread::sleep(Duration::from_millis(1_000));
    for number in 0..UPLOADS {
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let id = format!("upload-{number}");
            let request = client_request(
                "POST",
                HOST,
                "/sheet/w300/2f",
                &id,
                5_000,
                None,
                &vec![b'u'; bytes],
            );
            crate::site::ask(&record, callers, &id, &request, Duration::from_secs(6)).ok();
        }));
    }
    // The platform kills a process that exceeds its memory, and starts it again.
    let done = Arc::new(AtomicBool::new(false));
    let watching = done.clone();
    let mut peak = 0;
    let mut kills = 0;
    let until = std::time::Instant::now() + Duration::from_secs(8);
    while std::time::Instant::now() < until && !watching.load(Ordering::Relaxed) {
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
                std::thread::sleep(Duration::from_millis(50));
                router.start(record);
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    for client in clients {
        client.join().ok();
    }
    done.store(true, Ordering::Relaxed);
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
    record.add(format!("{passed} long requests ran, {closed} kept connections closed without an answer, {} answers", answered.load(Ordering::Relaxed)));
    if passed < KEPT {
        return Err("the long requests did not reach their servers".into());
    }
    Ok(closed > ALLOWED)
}
