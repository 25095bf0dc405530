//! `anvilrack-load`: load generator with a history checker.

use std::fs::File;
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anvilrack_load::{LoadOptions, check_history, fetch_runs, run_load};
use eyre::{WrapErr, bail};

mod flags {
    use super::PathBuf;

    xflags::xflags! {
        /// Sends requests, then compares the callers' verdicts with the requests that targets
        /// executed.
        cmd anvilrack-load {
            /// Addresses to send requests to in turn: ip:port, separated by commas.
            required --routers routers: String
            /// Targets whose runs are fetched: ip:port, separated by commas.
            required --targets targets: String
            /// Service that the requests are for.
            required --service service: String
            /// Number of different keys.
            optional --keys keys: u32
            /// Share of claims (POST), from 0 to 1.
            optional --claims share: f64
            /// Share of requests that go to the ten hottest keys, from 0 to 1.
            optional --hot share: f64
            /// Bytes in the body of a claim.
            optional --body bytes: usize
            /// Number of callers, each with at most one request in flight.
            optional --workers workers: usize
            /// Duration of the load, in milliseconds.
            optional --duration-ms ms: u64
            /// Requests per second over all callers; by default as fast as responses arrive.
            optional --rate rate: f64
            /// Timeout of each request, in milliseconds.
            optional --timeout-ms ms: u64
            /// Seed of all random choices.
            optional --seed seed: u64
            /// Write one JSON line for each request to this file.
            optional --history file: PathBuf
            /// Print JSON.
            optional --json
        }
    }
}

fn main() -> eyre::Result<()> {
    env_logger::init();
    let flags = flags::AnvilrackLoad::from_env_or_exit();
    let targets = parse_addresses(&flags.targets)?;
    let history = run_load(&options_of(&flags)?);
    if let Some(file) = &flags.history {
        history.write_lines(&mut BufWriter::new(File::create(file)?))?;
    }
    let report = check_history(&history, &fetch_runs(&targets)?);
    if flags.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report}");
    }
    if !report.is_clean() {
        bail!(
            "violation found: a claim ran twice, a request reported as not run did run, \
             a response was wrong, or a key had two owners"
        );
    }
    Ok(())
}

fn options_of(flags: &flags::AnvilrackLoad) -> eyre::Result<LoadOptions> {
    let share = |name: &str, share: Option<f64>, default| match share.unwrap_or(default) {
        share if (0.0..=1.0).contains(&share) => Ok(share),
        share => bail!("--{name} is {share}, but must be from 0 to 1"),
    };
    Ok(LoadOptions {
        routers: parse_addresses(&flags.routers)?,
        service: flags.service.clone(),
        keys: flags.keys.unwrap_or(1_000),
        claim_share: share("claims", flags.claims, 0.2)?,
        hot_share: share("hot", flags.hot, 0.0)?,
        body_bytes: flags.body.unwrap_or(100),
        workers: flags.workers.unwrap_or(16).max(1),
        duration: Duration::from_millis(flags.duration_ms.unwrap_or(5_000)),
        rate: flags.rate.filter(|rate| *rate > 0.0),
        timeout: Duration::from_millis(flags.timeout_ms.unwrap_or(2_000)),
        seed: flags.seed.unwrap_or(1),
    })
}

fn parse_addresses(text: &str) -> eyre::Result<Vec<SocketAddr>> {
    let parse = |part: &str| {
        part.parse()
            .wrap_err_with(|| format!("`{part}` is not an address of the form ip:port"))
    };
    text.split(',').map(|part| parse(part.trim())).collect()
}
