//! TWICE: a router forgets that a request has started, after 20,000 others; when the link on which the request came is
//! reset, it agrees to cancel the request although a server is at work on it, and the request runs on another server.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Reader;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::{Bounds, Site, ask, client_request};

const HOST: &str = "jepu9.example";
const LONG: usize = 6;
/// Short requests a second at each of the two machines with servers of `listing`: 71 million over 20,000 nodes.
const PER_S: u64 = 3_550;
const CLIENTS: u64 = 20;
/// Started requests after which the link is reset.
const STARTED: usize = 20_200;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let document = include_str!("../wire/holds.json").replace("HOST", HOST);
    let bounds = Bounds {
        drain: "3000ms",
        grace: "6s",
        memory_mb: 260,
        slack: 156,
    };
    let mut site = Site::start(record, bounds, &document)?;
    let beat = Duration::from_millis(870);
    // The machine at which the long requests enter, and two with servers of `listing`, the first behind a relay.
    site.add("settlement", false, "wal-a", None, 18, beat, false);
    let relay: SocketAddr = site.address(11, 7);
    let proxy = Proxy::start(relay, site.address(11, 2)).map_err(|error| error.to_string())?;
    site.add("listing", false, "vla-a", Some(relay), 18, beat, false);
    site.add("listing", false, "bxl-a", None, 18, beat, false);
    site.await_ready(false, Duration::from_secs(30))?;
    std::thread::sleep(Duration::from_secs(4));

    let long: Vec<_> = (0..LONG)
        .map(|number| {
            let (record, callers) = (record.clone(), site.routers[0].callers);
            std::thread::spawn(move || {
                let id = format!("hold-{number}");
                let bytes =
                    client_request("POST", HOST, "/hold/w7600/2f", &id, 8_000, None, b"hold");
                let answer = ask(&record, callers, &id, &bytes, Duration::from_millis(8_500));
                answer.map_or(0, |answer| answer.status())
            })
        })
        .collect();
    let began = Instant::now();
    let done = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let good = Arc::new(AtomicU64::new(0));
    // Short requests of other clients at the machines of the servers.
    let short: Vec<_> = (0..2 * CLIENTS)
        .map(|client| {
            let callers = site.routers[1 + usize::from(client >= CLIENTS)].callers;
            let (done, sent, good) = (done.clone(), sent.clone(), good.clone());
            std::thread::spawn(move || {
                let Ok(stream) = TcpStream::connect(callers) else {
                    return;
                };
                stream.set_nodelay(true).ok();
                stream.set_read_timeout(Some(Duration::from_secs(3))).ok();
                let mut reader = Reader::new(stream);
                for number in 0_u64.. {
                    let due = Duration::from_micros(number * CLIENTS * 1_000_000 / PER_S);
                    std::thread::sleep(due.saturating_sub(began.elapsed()));
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("b{client}-{number}");
                    let bytes = client_request("GET", HOST, "/browse/2f", &id, 2_000, None, b"");
                    if reader.stream.write_all(&bytes).is_err() {
                        return;
                    }
                    sent.fetch_add(1, Ordering::Relaxed);
                    match reader.message() {
                        Ok(Some(answer)) if answer.status() == 200 => {
                            good.fetch_add(1, Ordering::Relaxed)
                        }
                        Ok(Some(_)) => 0,
                        _ => return,
                    };
                }
            })
        })
        .collect();
    let relayed = site.servers[1].settings.name.clone();
    let started = || {
        site.seen
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.server == relayed)
            .count()
    };
    while started() < STARTED && began.elapsed() < Duration::from_millis(7_400) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let started = started();
    record.add(format!(
        "{} short requests sent, {} served; {started} requests have begun at {relayed}",
        sent.load(Ordering::Relaxed),
        good.load(Ordering::Relaxed)
    ));
    if trouble {
        record.add(format!(
            "{} links to the router of {relayed} are reset",
            proxy.reset()
        ));
    }
    let mut statuses = Vec::new();
    for client in long {
        statuses.push(client.join().map_err(|_| "a client failed")?);
    }
    done.store(true, Ordering::Relaxed);
    for client in short {
        client.join().ok();
    }
    let runs = site.seen.runs.lock().unwrap();
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|run| run.request.starts_with("hold-")) {
        *counts.entry(&run.request).or_default() += 1;
        record.add(format!(
            "run   {} at {} at {:.3}",
            run.request,
            run.server,
            record.at(run.at)
        ));
    }
    let mut broken = 0;
    for (number, status) in statuses.iter().enumerate() {
        let ran = counts
            .get(format!("hold-{number}").as_str())
            .copied()
            .unwrap_or(0);
        let refused = [408, 421, 429, 503].contains(status) && ran > 0;
        record.add(format!(
            "hold-{number}: answered {status}, ran {ran} times{}",
            if refused || ran > 1 {
                ", against the rule"
            } else {
                ""
            }
        ));
        broken += usize::from(refused || ran > 1);
    }
    if counts.len() < LONG || (trouble && started < STARTED) {
        return Err("the requests did not reach the servers in time".into());
    }
    Ok(broken > 0)
}
