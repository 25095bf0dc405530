//! Which target takes a request that any target of its service can serve.

mod target_capacity;
mod target_health;
mod target_report;
mod target_selector;
mod transit_meter;

pub use target_capacity::{TargetCapacity, TargetLoad, TargetPace};
pub use target_health::{HealthOutcome, TargetHealth};
pub use target_report::{TargetReport, USUAL_PACE_PERCENT};
pub use target_selector::{ChoiceDraws, TargetDistance, TargetSelector};
pub use transit_meter::TransitMeter;
