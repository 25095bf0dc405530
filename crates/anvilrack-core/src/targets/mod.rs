//! Which target takes a request that any target of its service can serve, and which targets are leaving.

mod departure_log;
mod departure_reading;
mod departure_receipt;
mod kept_departures;
mod target_capacity;
mod target_health;
mod target_report;
mod target_selector;
mod transit_meter;

pub use departure_log::{
    DEPARTURE_RETENTION, DepartureLog, DepartureVersion, MAX_DEPARTURES, TargetDeparture,
};
pub use departure_reading::{DepartureReading, ReadingSource, ReadingStep};
pub use departure_receipt::{DepartureKeeper, DepartureReceipt, ReceiptStep};
pub use kept_departures::{KeptDepartures, departure_keepers};
pub use target_capacity::{TargetCapacity, TargetLoad, TargetPace};
pub use target_health::{HealthOutcome, TargetHealth};
pub use target_report::{TargetReport, USUAL_PACE_PERCENT};
pub use target_selector::{ChoiceDraws, TargetDistance, TargetSelector};
pub use transit_meter::TransitMeter;
