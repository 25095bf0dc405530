//! The measurements of slopes, one module for each group.

use eyre::bail;

use crate::MeasuredSlope;

mod connections;
mod coordinator;
mod fan_out;
mod heartbeat;
mod idle_control;
mod log_line;
mod request_path;
mod site_document;
mod site_spread;
mod store_calls;
mod table;

/// Rounds over all sizes; the median of each size is reported.
const ROUNDS: usize = 5;

/// A group of slopes: its name and the function that measures it.
type SlopeGroup = (&'static str, fn() -> eyre::Result<Vec<MeasuredSlope>>);

const GROUPS: [SlopeGroup; 11] = [
    ("heartbeat", heartbeat::measure),
    ("coordinator", || Ok(coordinator::measure())),
    ("table", table::measure),
    ("fan-out", fan_out::measure),
    ("log-line", log_line::measure),
    ("idle-control", idle_control::measure),
    ("request-path", request_path::measure),
    ("connections", connections::measure),
    ("store-calls", store_calls::measure),
    ("site-document", site_document::measure),
    ("site-spread", || Ok(site_spread::measure())),
];

/// Measures the group of slopes named by `only`, or all groups.
///
/// # Errors
///
/// When the group does not exist, or a measurement fails, for example because a process cannot be
/// started.
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
        bail!(
            "unknown group of slopes; the groups are: {}",
            names.join(", ")
        );
    }
    Ok(slopes)
}
