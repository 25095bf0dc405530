//! The measurements, one module for each part.

use eyre::bail;

use crate::MeasuredSlope;

mod connections;
mod coordinator;
mod fan_out;
mod heartbeat;
mod idle_control;
mod log_line;
mod request_path;
mod store_calls;
mod table;

/// Rounds over all sizes; the median counts.
const ROUNDS: usize = 5;

/// A group of slopes: its name and its measurement.
type SlopeGroup = (&'static str, fn() -> eyre::Result<Vec<MeasuredSlope>>);

const GROUPS: [SlopeGroup; 9] = [
    ("heartbeat", heartbeat::measure),
    ("coordinator", || Ok(coordinator::measure())),
    ("table", table::measure),
    ("fan-out", fan_out::measure),
    ("log-line", log_line::measure),
    ("idle-control", idle_control::measure),
    ("request-path", request_path::measure),
    ("connections", connections::measure),
    ("store-calls", store_calls::measure),
];

/// Measures one group of slopes, or all of them.
///
/// # Errors
///
/// Where there is no such group, or a process cannot be started.
pub fn measure_slopes(only: Option<&str>) -> eyre::Result<Vec<MeasuredSlope>> {
    let mut slopes = Vec::new();
    for (name, measure) in GROUPS {
        if only.is_none_or(|only| only == name) {
            log::info!("measuring {name}");
            slopes.extend(measure()?);
        }
    }
    if slopes.is_empty() {
        let names: Vec<_> = GROUPS.iter().map(|(name, _)| *name).collect();
        bail!("no such group of slopes; there are: {}", names.join(", "));
    }
    Ok(slopes)
}
