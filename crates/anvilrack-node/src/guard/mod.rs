//! Controls access to the local target: admission, fencing, and the target's incarnations and departures.

mod body_capacity;
mod cold_target;
mod control_server;
mod crash_monitor;
mod departures;
mod started_requests;
mod stored_crashes;
mod target_gateway;
mod target_incarnation;

pub use body_capacity::BodyCapacity;
pub use cold_target::watch_cold_target;
pub use control_server::serve_control;
pub use crash_monitor::{
    CrashMonitor, MonitoredRun, SuspectTurn, exchange_crashes, report_crashes,
};
pub use departures::{DepartureKeeping, read_departures, spread_departures, store_departures};
pub use started_requests::StartedRequests;
pub use stored_crashes::{StoredCrashes, maintain_stored_crashes};
pub use target_gateway::TargetGateway;
pub use target_incarnation::{
    IncarnationState, IncarnationTracker, NotificationEffect, NotificationKind, TargetIncarnation,
    TargetNotification,
};
