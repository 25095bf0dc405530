//! `anvilrack-router`, the process that runs next to each target.
//!
//! The routers of one service form a cell. One of them is the cell's coordinator: it grants shards
//! of keys to the members and writes the assignment, the cell's record, to the store.
//!
//! A request passes through the [`stages`]: accept → resolve → forward → guard → admit → deliver →
//! reply. Each stage is one module with one `process` function. The workers that route callers'
//! requests and those that run requests of other routers each read from a bounded channel; a
//! request that does not fit is refused immediately.
//!
//! Background threads run alongside the stages: [`membership`] renews the lease,
//! [`coordinator_role`] runs the cell while this router is its coordinator, and [`table_sync`]
//! fetches the routing tables of other cells.

pub mod accept_drain;
mod accept_wakeup;
pub mod admission_control;
pub mod announced_target;
pub mod boot_clock;
pub mod caller_body;
pub mod caller_server;
pub mod cell_reader;
pub mod config_watch;
pub mod control_port;
pub mod coordinator_handle;
pub mod coordinator_role;
pub mod event_log;
pub mod explanation;
pub mod grant_notifications;
pub mod guard_pool;
pub mod health_hints;
pub mod limits_report;
pub mod load_meter;
pub mod log_writer;
pub mod membership;
pub mod peer_handler;
pub mod reachability_check;
pub mod record_handover;
pub mod record_writer;
pub mod release_tracker;
pub mod retry_limiter;
pub mod router_context;
pub mod router_metrics;
pub mod router_process;
pub mod service_selectors;
pub mod shared_at_most_once_record;
pub mod shared_crash_quarantine;
pub mod stages;
pub mod status_report;
pub mod store_records;
pub mod table_sync;
pub mod takeover;
pub mod worker_shares;
