//! Costs of the log line that a router writes for each request.

use std::fs::File;
use std::sync::atomic::{AtomicU64, Ordering};

use env_logger::{Builder, Logger, Target};
use log::{Level, Log, Record};

use super::ROUNDS;
use crate::cpu_clock::thread_cpu_time;
use crate::slope_fit::median_points;
use crate::{MeasuredSlope, SlopePoint};

/// Numbers of lines in a measurement.
const LINE_COUNTS: [u32; 4] = [5_000, 10_000, 20_000, 40_000];

/// Number of the next log file, which makes the file name of each measurement unique.
static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Measures processor time and bytes by the number of lines.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let mut lengths = Vec::new();
    for lines in LINE_COUNTS {
        let (_, length) = write_lines(lines)?;
        lengths.push(SlopePoint {
            x: f64::from(lines),
            y: length,
        });
    }
    let time = median_points(&LINE_COUNTS, ROUNDS, |lines| {
        write_lines(lines).map_or(f64::NAN, |(us, _)| us)
    });
    Ok(vec![
        MeasuredSlope::new("log-line.cpu", "lines", "processor time, us", time),
        MeasuredSlope::new("log-line.bytes", "lines", "bytes", lengths),
    ])
}

/// Writes `lines` lines to a temporary file; returns the processor time in microseconds and the
/// size of the file in bytes.
fn write_lines(lines: u32) -> eyre::Result<(f64, f64)> {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("anvilrack-lines-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let logger = Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(Target::Pipe(Box::new(File::create(&path)?)))
        .build();
    let before = thread_cpu_time();
    for line in 0..lines {
        log_request(&logger, line);
    }
    let used = thread_cpu_time().saturating_sub(before);
    let length = std::fs::metadata(&path)?.len();
    std::fs::remove_file(&path)?;
    Ok((used.as_secs_f64() * 1e6, length as f64))
}

/// Logs a line with the fields that a router writes for each request.
fn log_request(logger: &Logger, line: u32) {
    let mut record = Record::builder();
    let record = record.target("anvilrack").level(Level::Info);
    let shard = line % 6_400;
    logger.log(
        &record
            .args(format_args!(
                "E2001 request.routed service=bookings key=trip-{line} shard={shard} \
                 node=router-00017 verdict=ran us=512"
            ))
            .build(),
    );
}
