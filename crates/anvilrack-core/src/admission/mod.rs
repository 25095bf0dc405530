//! Which requests are served, in which order, and which are refused where they enter.

mod admission_queue;
mod admitted_shares;
mod call_routes;
mod cold_check;
mod cold_start;
mod connection_limit;
mod demand_meter;
mod entry_admission;
mod fair_share;
mod key_sketch;
mod latency_limit;
mod memory_budget;
mod rate_limiter;
mod recent_durations;
mod refusal_backlog;
mod service_time_meter;
mod upload_pacer;

pub use admission_queue::{AdmissionQueue, AdmissionRequest, AdmissionStep, TicketId};
pub use admitted_shares::{AdmittedShares, PRIORITY_COUNT, ShareMilli, WHOLE_SHARE};
pub use call_routes::CallRoutes;
pub use cold_check::{CheckReason, ColdCheck};
pub use cold_start::{ColdRules, ColdStart};
pub use connection_limit::{ConnectionId, ConnectionLimit, ConnectionShares, ConnectionStep};
pub use demand_meter::{DemandMeter, OfferedRequest};
pub use entry_admission::{AdmissionHint, EntryAdmission, RateHint, RunAdmission};
pub use fair_share::FairShare;
pub use key_sketch::{KeyCount, KeySketch};
pub use latency_limit::LatencyLimit;
pub use memory_budget::{BodyRoom, HoldPurpose, HolderId, MemoryBudget, MemoryStep, STALL_TIME};
pub use rate_limiter::{RateLimiter, RequestRate};
pub use recent_durations::{KindDurations, RecentDurations};
pub use service_time_meter::ServiceTimeMeter;
pub use upload_pacer::UploadPacer;
