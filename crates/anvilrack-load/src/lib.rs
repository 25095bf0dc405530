//! Load generator with a history checker.
//!
//! Each request carries a unique id, and each response names the request it belongs to. After the
//! load the tool fetches the executed requests from every target and compares the callers' verdicts
//! with them. See [`LoadReport`] for the results.

mod history_check;
mod load_history;
mod load_options;
mod load_report;
mod load_shape;
mod load_worker;
mod request_plan;
mod run_imbalance;

pub use history_check::{OwnerConflict, TargetRuns, check_history, fetch_runs, owner_conflicts};
pub use load_history::{LoadHistory, LoadOutcome, LoadRecord};
pub use load_options::LoadOptions;
pub use load_report::LoadReport;
pub use load_shape::{LENAVERDE, LOAD_SHAPES, LoadShape, ROTEIRO_COMUM, ServiceShape};
pub use load_worker::run_load;
pub use request_plan::{PlannedRequest, RequestPlan};
pub use run_imbalance::{RunImbalance, longest_response_gaps};
