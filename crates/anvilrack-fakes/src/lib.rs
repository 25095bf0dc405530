//! Small fakes of the platform's store and of a target, with faults that can be switched on.
//!
//! They are used by tests, the demo and the benchmarks. Each has its own binary and can run as a
//! separate process, so that a test can kill or freeze it.

mod fake_store;
mod fake_target;
mod http_worker;
mod run_history;
mod store_data;
mod target_faults;

pub use fake_store::{FakeStore, StoreCounters, StoreFaults};
pub use fake_target::{FakeTarget, TargetOptions};
pub use run_history::{RunHistory, TargetRun};
pub use store_data::StoreData;
pub use target_faults::TargetFaults;
