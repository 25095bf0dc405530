//! The numbered log events and the metrics.

mod event_catalogue;
mod metric_catalogue;

pub use event_catalogue::{EVENT_CATALOGUE, LogEvent, events};
pub use metric_catalogue::{METRIC_CATALOGUE, MetricInfo, metrics};
