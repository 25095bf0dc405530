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

mod admission;
mod bounded_duration;
mod catalogue;
mod clock;
mod ids;
mod moving_average;
mod ownership;
mod planned_stop;
mod requests;
mod site;
mod stop_admission;
mod targets;

pub use admission::{
    AdmissionHint, AdmissionQueue, AdmissionRequest, AdmissionStep, AdmittedShares, BodyRoom,
    CallRoutes, CheckReason, ColdCheck, ColdRules, ColdStart, ConnectionId, ConnectionLimit,
    ConnectionShares, ConnectionStep, DemandMeter, EntryAdmission, FairShare, HoldPurpose,
    HolderId, KeyCount, KeySketch, KindDurations, LatencyLimit, MemoryBudget, MemoryStep,
    OfferedRequest, PRIORITY_COUNT, RateHint, RateLimiter, RecentDurations, RequestRate,
    RunAdmission, STALL_TIME, ServiceTimeMeter, ShareMilli, TicketId, UploadPacer, WHOLE_SHARE,
};
pub use bounded_duration::{bounded_duration, optional_bounded_duration};
pub use catalogue::{EVENT_CATALOGUE, LogEvent, METRIC_CATALOGUE, MetricInfo, events, metrics};
pub use clock::BootTime;
pub use ids::{
    CellVersion, DomainName, Epoch, FencingToken, Incarnation, NodeId, RegionName, Revision,
    ServiceName, ShardId,
};
pub use ownership::{
    CellMember, CellRecord, CoordinatorState, EvacuatedDomain, EvacuationChange, EvacuationSet,
    Evacuations, LeaseTerms, LoadView, MemberReport, OwnerState, PlacementDecision,
    PlacementHistory, PlacementPolicy, PlacementReason, PlacementView, RecordDelta, RecordHistory,
    RecordStamp, ReleaseOrder, ReleaseReport, RenewalAnswer, ReportSequence, RouteError,
    RouteTable, ShardHash, ShardLoad, ShardMeter, ShardOwner, ShardPermit, ShardRoute,
    StandbyState, StoreReading, StoreStamp, TableChanges, TakeoverStep, TargetHolds, WriterStamp,
    placement_decisions,
};
pub use planned_stop::{PlannedStop, StopBacklog, StopPhase};
pub use requests::{
    AtMostOnceKey, AtMostOnceLimits, AtMostOnceRecord, AtMostOnceRequest, AttemptLimit,
    AttemptOutcome, CallCosts, CrashId, CrashObservation, CrashQuarantine, CrashReport,
    ExportedRun, ExportedShard, ONE_REPEAT, RefusalReason, RepeatDenial, RepeatMilli, RepeatReason,
    RequestFingerprint, RequestVerdict, ResendSafety, RetryBudget, RetryBudgets, RetryStep,
    RetryTerms, RunDecision, RunOutcome, SharedRetryBudget, TargetAnswer, UncertainReason,
    fingerprint_of, fingerprint_with_body, first_sent_at, is_cancellation_reliable, retry_backoff,
    retry_step,
};
pub use site::{
    CallerLimits, ConfigDocument, ConfigRecord, PlacementWeights, RegionRule, RequestClass,
    RouteRules, RoutedService, ServiceRules, SitePlan, SiteProgress, SiteRoutes, SiteSource,
    SiteVersion,
};
pub use stop_admission::{StopAdmission, StopRequest};
pub use targets::{
    ChoiceDraws, DEPARTURE_RETENTION, DepartureKeeper, DepartureLog, DepartureReading,
    DepartureReceipt, DepartureVersion, HealthOutcome, KeptDepartures, MAX_DEPARTURES,
    ReadingSource, ReadingStep, ReceiptStep, TargetCapacity, TargetDeparture, TargetDistance,
    TargetHealth, TargetLoad, TargetPace, TargetReport, TargetSelector, TransitMeter,
    USUAL_PACE_PERCENT, departure_keepers,
};
