//! Structured logging and metrics.

mod event_line;
mod node_metrics;

pub use event_line::{allows_line, install, line, millis, set_node};
pub use node_metrics::NodeMetrics;
