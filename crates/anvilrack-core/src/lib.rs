//! The decision logic of anvilrack, without I/O.
//!
//! Nothing in this crate opens a socket, starts a thread or reads a clock. Callers pass in the time
//! as a [`BootTime`] and get a decision back. So the model checker and the tests run the same code
//! as production.
//!
//! Where to start reading:
//!
//! * [`RequestVerdict`] is the outcome of a request, as reported to its caller.
//! * [`CellRecord`] is the stored record of which member owns which shard.
//! * [`OwnerState`] decides whether this router may serve a shard.
//! * [`CoordinatorState`] decides which member should own which shard.
//! * [`StandbyState`] decides whether this router may replace its coordinator.

mod admission_queue;
mod admitted_shares;
mod at_most_once_record;
mod bounded_duration;
mod call_routes;
mod cell_history;
mod cell_record;
mod clock;
mod coordinator_state;
mod crash_quarantine;
mod demand_meter;
mod entry_admission;
mod event_catalogue;
mod fair_share;
mod ids;
mod key_sketch;
mod latency_limit;
mod lease_terms;
mod load_view;
mod metric_catalogue;
mod moving_average;
mod owner_state;
mod placement_decision;
mod placement_policy;
mod planned_stop;
mod rate_limiter;
mod record_delta;
mod request_identity;
mod request_verdict;
mod retry_budget;
mod route_table;
mod service_rules;
mod service_time_meter;
mod shard_hash;
mod shard_meter;
mod site_progress;
mod site_routes;
mod standby_state;
mod target_health;
mod target_selector;
mod transit_meter;
mod upload_pacer;

pub use admission_queue::{AdmissionQueue, AdmissionRequest, AdmissionStep, TicketId};
pub use admitted_shares::{AdmittedShares, PRIORITY_COUNT, ShareMilli, WHOLE_SHARE};
pub use at_most_once_record::{
    AtMostOnceKey, AtMostOnceLimits, AtMostOnceRecord, AtMostOnceRequest, ExportedRun,
    ExportedShard, RunDecision, RunOutcome,
};
pub use bounded_duration::{bounded_duration, optional_bounded_duration};
pub use call_routes::CallRoutes;
pub use cell_record::{CellMember, CellRecord, ShardOwner, WriterStamp};
pub use clock::BootTime;
pub use coordinator_state::{
    CoordinatorState, MemberReport, ReleaseOrder, ReleaseReport, RenewalAnswer, ReportSequence,
};
pub use crash_quarantine::{
    CrashId, CrashObservation, CrashQuarantine, CrashReport, RequestFingerprint,
};
pub use demand_meter::{DemandMeter, OfferedRequest};
pub use entry_admission::{AdmissionHint, EntryAdmission, RateHint, RunAdmission};
pub use event_catalogue::{EVENT_CATALOGUE, LogEvent, events};
pub use fair_share::FairShare;
pub use ids::{
    CellVersion, DomainName, Epoch, FencingToken, Incarnation, NodeId, RegionName, Revision,
    ServiceName, ShardId,
};
pub use key_sketch::{KeyCount, KeySketch};
pub use latency_limit::LatencyLimit;
pub use lease_terms::LeaseTerms;
pub use load_view::LoadView;
pub use metric_catalogue::{METRIC_CATALOGUE, MetricInfo, metrics};
pub use owner_state::{OwnerState, ShardPermit};
pub use placement_decision::{
    PlacementDecision, PlacementHistory, PlacementReason, placement_decisions,
};
pub use placement_policy::{PlacementPolicy, PlacementView};
pub use planned_stop::{PlannedStop, StopBacklog, StopPhase};
pub use rate_limiter::{RateLimiter, RequestRate};
pub use record_delta::{RecordDelta, RecordStamp};
pub use request_identity::{fingerprint_of, first_sent_at};
pub use request_verdict::{RefusalReason, RequestVerdict, TargetAnswer, UncertainReason};
pub use retry_budget::{ResendSafety, RetryBudget, RetryStep, retry_backoff, retry_step};
pub use route_table::{RouteError, RouteTable, ShardRoute, TableChanges};
pub use service_rules::{
    ConfigDocument, ConfigRecord, PlacementWeights, RequestClass, ServiceRules, SitePlan,
};
pub use service_time_meter::ServiceTimeMeter;
pub use shard_hash::ShardHash;
pub use shard_meter::{ShardLoad, ShardMeter};
pub use site_progress::{SiteProgress, SiteSource};
pub use site_routes::{CallerLimits, RouteRules, RoutedService, SiteRoutes, SiteVersion};
pub use standby_state::{StandbyState, TakeoverStep};
pub use target_health::{HealthOutcome, TargetHealth};
pub use target_selector::{ChoiceDraws, TargetDistance, TargetLoad, TargetSelector};
pub use transit_meter::TransitMeter;
pub use upload_pacer::UploadPacer;
