//! Stand-ins and drivers of the second review. `lab2 CASE RECORD` plays a case from the repository's root and ends with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod http;
mod json;
mod proxy;
mod record;
mod server;
mod site;
mod store;
mod wire;

mod cut_response;
mod forgotten_start;
mod reborn_holder;
mod slow_readers;
mod unseen_crash;

use std::process::exit;
use std::time::Duration;

use record::Record;

/// What a case found.
pub type Verdict = Result<bool, String>;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("lab2 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.add(format!("case {case}, trouble {trouble}"));
    // A case takes 120 seconds at most.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        site::kill_all();
        exit(2);
    });
    let played = std::panic::catch_unwind(|| play(&case, &record, trouble));
    let verdict = played.unwrap_or_else(|_| Err("the driver failed".into()));
    site::kill_all();

    let (line, code) = match verdict {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.add(&*line);
    record.write(&path);
    println!("{case}: {line}");
    exit(code);
}

fn play(case: &str, record: &Record, trouble: bool) -> Verdict {
    match case {
        "reborn-holder" => reborn_holder::play(record, trouble),
        "forgotten-start" => forgotten_start::play(record, trouble),
        "slow-readers" => slow_readers::play(record, trouble),
        "cut-response" => cut_response::play(record, trouble),
        "unseen-crash" => unseen_crash::play(record, trouble),
        _ => Err(format!("no case {case}")),
    }
}
