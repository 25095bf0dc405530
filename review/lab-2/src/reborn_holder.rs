//! OWNER: a server crashes and starts again under its id; before its first liveness report, its router renews the
//! grants of its former life.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::server::Hold;
use crate::site::{Bounds, Site, ask, client_request};

const HOST: &str = "hulo84.example";
/// `heartbeat` of the site.
const BEAT: Duration = Duration::from_millis(1_500);
/// The first report follows the start within one `heartbeat`.
const FIRST_BEAT: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(1_200);
/// Two servers may hold the same keys for so long.
const LONGEST: Duration = Duration::from_millis(500);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let document = include_str!("../wire/stock.json").replace("HOST", HOST);
    let bounds = Bounds {
        drain: "2000ms",
        grace: "6s",
        memory_mb: 260,
        slack: 56,
    };
    let mut site = Site::start(record, bounds, &document)?;
    for zone in ["cordoba-a", "rosario-a", "neuquen-a", "cordoba-b"] {
        site.add("catalogo", true, zone, None, 9, BEAT, true);
    }
    site.await_ready(true, Duration::from_secs(30))?;
    std::thread::sleep(Duration::from_secs(3));

    // Clients ask for all keys, and somewhat more often for those of the first server.
    let first = site.servers[0].clone();
    let own: Vec<u32> = first.held_ranges().iter().map(|(from, _)| *from).collect();
    let others: Vec<u32> = site.servers[1..]
        .iter()
        .flat_map(|server| server.held_ranges())
        .map(|(from, _)| from)
        .collect();
    let done = Arc::new(AtomicBool::new(false));
    let paused = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = site.routers.iter().map(|router| router.callers).collect();
    let clients: Vec<_> = [
        ("a", own, 25, paused.clone()),
        ("b", others, 50, Arc::default()),
    ]
    .into_iter()
    .map(|(name, keys, pause_ms, paused)| {
        let (done, record, callers) = (done.clone(), record.clone(), callers.clone());
        std::thread::spawn(move || {
            for number in 0.. {
                while paused.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(10));
                }
                if done.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{name}{number:06}");
                let key = keys[number * 37 % keys.len()];
                let bytes = client_request("GET", HOST, "/stock/w2/2f", &id, 1_500, Some(key), b"");
                ask(
                    &record,
                    callers[number % callers.len()],
                    &id,
                    &bytes,
                    Duration::from_millis(1_600),
                )
                .ok();
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
        })
    })
    .collect();
    std::thread::sleep(Duration::from_secs(14));
    // Nobody asks for keys of the first server for three seconds.
    paused.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(300));
    record.add(format!(
        "server {} holds {} keys",
        first.settings.name,
        first.held()
    ));
    if trouble {
        first.crash();
        std::thread::sleep(DOWN);
        let id = first.id();
        first.begin(&id, FIRST_BEAT);
        std::thread::sleep(FIRST_BEAT - Duration::from_millis(50));
        record.add(format!(
            "server {} holds {} keys just before its first report",
            first.settings.name,
            first.held()
        ));
        std::thread::sleep(Duration::from_millis(850));
    } else {
        std::thread::sleep(Duration::from_millis(2_700));
    }
    paused.store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(6));
    done.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let broken = check(record, &site.seen.holds.lock().unwrap());
    Ok(broken)
}

/// Returns whether two servers that are up held the same keys for too long. A hold ends with its time, its release
/// or the life of its server.
fn check(record: &Record, holds: &[Hold]) -> bool {
    let mut found = Vec::new();
    for (index, first) in holds.iter().enumerate() {
        for second in &holds[index + 1..] {
            let same_keys = first.from <= second.to && second.from <= first.to;
            let begin = first.begin.max(second.begin);
            let both = first.end.min(second.end).saturating_duration_since(begin);
            if same_keys && first.server != second.server && both > LONGEST {
                found.push((both, first, second));
            }
        }
    }
    found.sort_by_key(|(both, ..)| std::cmp::Reverse(*both));
    record.add(format!(
        "{} pairs of holds of the same keys by two servers for over {LONGEST:?}",
        found.len()
    ));
    for (both, first, second) in found.iter().take(5) {
        let text = |hold: &Hold| {
            format!(
                "{} life {} fence {} from {:.3} to {:.3}",
                hold.server,
                hold.life,
                hold.fence,
                record.at(hold.begin),
                record.at(hold.end)
            )
        };
        record.add(format!(
            "keys {}-{} held twice for {both:?}: {}; {}",
            first.from,
            first.to,
            text(first),
            text(second)
        ));
    }
    !found.is_empty()
}
