//! OWNER: a server crashes and starts again under its id; before its first liveness report, its router renews the
//! grants of its former life.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
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
    for zone in [
        "cordoba-a",
        "rosario-a",
        "neuquen-a",
        "cordoba-b",
        "rosario-b",
        "neuquen-b",
    ] {
        site.add("catalogo", true, zone, None, 9, BEAT, true);
    }
    site.await_ready(true, Duration::from_secs(30))?;
    std::thread::sleep(Duration::from_secs(3));

    // Clients ask for all keys but those in `quiet`.
    let first = site.servers[0].clone();
    let keys: Vec<u32> = (0..1_024).map(|part| part * 64).collect();
    let quiet: Arc<Mutex<Vec<(u32, u32)>>> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = site.routers.iter().map(|router| router.callers).collect();
    let client = {
        let (done, quiet, record) = (done.clone(), quiet.clone(), record.clone());
        std::thread::spawn(move || {
            for number in 0.. {
                if done.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(50));
                let key = keys[number * 37 % keys.len()];
                let is_quiet = |(from, to): &(u32, u32)| (*from..=*to).contains(&key);
                if quiet.lock().unwrap().iter().any(is_quiet) {
                    continue;
                }
                let id = format!("r{number:06}");
                let bytes = client_request("GET", HOST, "/stock/w2/2f", &id, 1_500, Some(key), b"");
                let callers = callers[number % callers.len()];
                ask(&record, callers, &id, &bytes, Duration::from_millis(1_600)).ok();
            }
        })
    };
    std::thread::sleep(Duration::from_secs(4));
    // Nobody asks for the keys of the first server for three seconds.
    *quiet.lock().unwrap() = first.held_ranges();
    std::thread::sleep(Duration::from_millis(300));
    record.add(format!(
        "server {} holds {} keys",
        first.settings.name,
        first.held()
    ));
    if trouble {
        first.crash();
    }
    // Planned work: an empty server is added.
    site.add("catalogo", true, "cordoba-a", None, 9, BEAT, true);
    std::thread::sleep(DOWN);
    if trouble {
        first.begin(&first.id(), FIRST_BEAT);
    }
    std::thread::sleep(FIRST_BEAT - Duration::from_millis(50));
    record.add(format!(
        "server {} holds {} keys just before the first report of its new life, if it has one",
        first.settings.name,
        first.held()
    ));
    std::thread::sleep(Duration::from_millis(850));
    quiet.lock().unwrap().clear();
    std::thread::sleep(Duration::from_secs(6));
    done.store(true, Ordering::Relaxed);
    client.join().ok();
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
