//! `anvilrack-router`, the process that runs beside each target.
//!
//! The routers of one service form a cell. One of them is the cell's coordinator: it grants shards
//! of keys to the members and writes the assignment, the cell's record, to the store.
//!
//! A request passes through the [`stages`]: accept → resolve → forward → guard → admit → deliver →
//! reply. Each stage is one module with one `process` function. The workers that accept callers'
//! requests and those that guard the target each read from a bounded channel; a request that does
//! not fit is refused immediately.
//!
//! Background threads run beside the stages: [`membership`] renews the lease, [`coordinator_role`]
//! runs the cell while this router is its coordinator, and [`table_sync`] fetches the routing
//! tables of other cells.

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
