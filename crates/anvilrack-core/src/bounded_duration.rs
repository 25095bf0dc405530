//! Durations in messages.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Maximum duration in a message: a hundred years.
const MAX_DURATION: Duration = Duration::from_hours(24 * 365 * 100);

/// Deserializes a duration that can be added to a time without an overflow.
///
/// # Errors
///
/// An error of the deserializer, also if the duration is longer than a hundred years.
pub fn bounded_duration<'de, D>(deserializer: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    let duration = Duration::deserialize(deserializer)?;
    if duration > MAX_DURATION {
        let (given, allowed) = (duration.as_secs(), MAX_DURATION.as_secs());
        let fault = format!("duration of {given} s is longer than {allowed} s");
        return Err(D::Error::custom(fault));
    }
    Ok(duration)
}

/// Deserializes an optional duration like [`bounded_duration`].
///
/// # Errors
///
/// As [`bounded_duration`].
pub fn optional_bounded_duration<'de, D>(deserializer: D) -> Result<Option<Duration>, D::Error>
where
    D: Deserializer<'de>,
{
    let bounded = Option::<BoundedDuration>::deserialize(deserializer)?;
    Ok(bounded.map(|bounded| bounded.0))
}

#[derive(Deserialize)]
struct BoundedDuration(#[serde(deserialize_with = "bounded_duration")] Duration);
