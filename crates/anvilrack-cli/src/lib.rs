//! Library behind `anvilrack`, the operators' command; its binary and its tests use it.

pub mod config_apply;
pub mod config_difference;
pub mod placement_check;
pub mod report_text;
pub mod request_trace;
pub mod router_calls;
