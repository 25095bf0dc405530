//! BUDGET: a request crashes each server that runs it, and its client leaves before the crash; nobody counts the
//! crashes, and the request is sent on each time that it comes again.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Bounds, Site, ask, client_request};

const HOST: &str = "jepu9.example";
/// The server crashes so long after it began to run the request.
const CRASH_AFTER_MS: u64 = 300;
/// The client leaves so long after it has sent the request.
const LEAVES_AFTER: Duration = Duration::from_millis(200);
const CONTACT: Duration = Duration::from_secs(3);
/// The rule allows so many retries.
const ALLOWED: usize = 3;
const SENDS: usize = 11;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let document = include_str!("../wire/orders.json").replace("HOST", HOST);
    let bounds = Bounds {
        drain: "2000ms",
        grace: "6s",
        memory_mb: 260,
        slack: 56,
    };
    let mut site = Site::start(record, bounds, &document)?;
    for zone in ["cordoba-a", "rosario-a", "neuquen-a"] {
        site.add(
            "pedidos",
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
    let callers: Vec<_> = site.routers.iter().map(|router| router.callers).collect();

    // Few other requests, as at night.
    let done = Arc::new(AtomicBool::new(false));
    let others = {
        let (done, record, callers) = (done.clone(), record.clone(), callers.clone());
        std::thread::spawn(move || {
            for number in 0.. {
                if done.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("usual-{number}");
                let bytes =
                    client_request("POST", HOST, "/order/w5/2f", &id, 1_500, None, b"order");
                ask(
                    &record,
                    callers[number % callers.len()],
                    &id,
                    &bytes,
                    Duration::from_millis(1_600),
                )
                .ok();
                std::thread::sleep(Duration::from_millis(700));
            }
        })
    };
    for number in 0..SENDS {
        let id = format!("deadly-{number}");
        let callers = callers[number % callers.len()];
        let bytes = client_request(
            "POST",
            HOST,
            &format!("/order/d{CRASH_AFTER_MS}/2f"),
            &id,
            1_500,
            None,
            b"deadly",
        );
        if trouble {
            record.add(format!("send  {id} to {callers}"));
            if let Ok(mut stream) = TcpStream::connect(callers) {
                stream.write_all(&bytes).ok();
                stream.set_read_timeout(Some(LEAVES_AFTER)).ok();
                let mut buffer = [0; 512];
                match stream.read(&mut buffer) {
                    Ok(count) => {
                        let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                        record.add(format!(
                            "answer {id}: {}",
                            text.lines().next().unwrap_or_default()
                        ));
                    }
                    Err(_) => record.add(format!("client of {id} leaves")),
                }
            }
        } else {
            ask(record, callers, &id, &bytes, Duration::from_millis(1_600)).ok();
        }
        std::thread::sleep(Duration::from_secs(4));
    }
    done.store(true, Ordering::Relaxed);
    others.join().ok();
    let runs = site.seen.runs.lock().unwrap();
    let deadly: Vec<_> = runs
        .iter()
        .filter(|run| run.request.starts_with("deadly-"))
        .collect();
    let Some(third) = deadly.get(2) else {
        record.add(format!("the request crashed {} servers", deadly.len()));
        return Ok(false);
    };
    let from = third.at + Duration::from_millis(CRASH_AFTER_MS) + CONTACT;
    let mut later: Vec<&str> = deadly
        .iter()
        .filter(|run| run.at > from)
        .map(|run| run.request.as_str())
        .collect();
    later.dedup();
    record.add(format!("the request crashed {} servers; later than contact after the third crash it reached servers in {} retries: {later:?}", deadly.len(), later.len()));
    Ok(later.len() > ALLOWED)
}
