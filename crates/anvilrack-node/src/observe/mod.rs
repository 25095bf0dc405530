//! Structured logging and metrics.

mod event_line;
mod node_metrics;

pub use event_line::{install, line, may_write, millis, set_node};
pub use node_metrics::NodeMetrics;
