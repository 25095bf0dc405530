//! `anvilrack-router`, the process beside each target.
//!
//! A request goes through the [`stages`]: accept → resolve → forward → guard → admit → deliver → reply. Each
//! stage is one module with one `process` function. In front of the workers of either side stands a
//! bounded channel; what does not fit is refused at once.
//!
//! Beside the stages run a few threads: [`membership`] keeps the lease, [`coordinator_role`] runs
//! the cell where this router coordinates it, [`table_sync`] fetches other cells' tables.

pub mod accept_drain;
mod accept_wakeup;
pub mod admission_control;
pub mod boot_clock;
pub mod caller_body;
pub mod callers_port;
pub mod cell_reader;
pub mod config_watch;
pub mod control_port;
pub mod coordinator_role;
pub mod coordinator_term;
pub mod crash_keeper;
pub mod entry_shares;
pub mod event_log;
pub mod explanation;
pub mod guard_pool;
pub mod health_hints;
pub mod load_meter;
pub mod log_writer;
pub mod membership;
pub mod peer_handler;
pub mod reach_check;
pub mod record_handover;
pub mod record_writer;
pub mod release_tracker;
pub mod retry_keeper;
pub mod router_context;
pub mod router_metrics;
pub mod router_process;
pub mod run_keeper;
pub mod spread_choices;
pub mod stages;
pub mod status_report;
pub mod store_records;
pub mod table_sync;
pub mod takeover;
pub mod target_notice;
pub mod target_view;
