//! `anvilrack-router`, the process beside each target.
//!
//! A request goes through the [`stages`]: accept → resolve → forward → guard → deliver → reply. Each
//! stage is one module with one `process` function. Between the callers' side and the guard's side stands a
//! bounded channel; what does not fit is refused at once.
//!
//! Beside the stages run a few threads: [`membership`] keeps the lease, [`coordinator_role`] runs
//! the cell where this router holds that office, [`table_sync`] fetches other cells' tables.

pub mod boot_clock;
pub mod caller_body;
pub mod callers_port;
pub mod control_port;
pub mod coordinator_role;
pub mod crash_keeper;
pub mod event_log;
pub mod guard_pool;
pub mod membership;
pub mod peer_handler;
pub mod record_handover;
pub mod release_tracker;
pub mod retry_keeper;
pub mod router_context;
pub mod router_process;
pub mod run_keeper;
pub mod stages;
pub mod store_records;
pub mod table_sync;
pub mod takeover;
pub mod target_view;
