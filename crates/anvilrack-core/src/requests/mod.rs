//! What happened to a request: its verdict, whether it may be sent again, and what it did to targets.

mod at_most_once_record;
mod attempt_limit;
mod crash_quarantine;
mod request_identity;
mod request_verdict;
mod retry_budget;
mod retry_budgets;
mod shared_retry_budget;

pub use at_most_once_record::{
    AtMostOnceKey, AtMostOnceLimits, AtMostOnceRecord, AtMostOnceRequest, ExportedRun,
    ExportedShard, RunDecision, RunOutcome,
};
pub use attempt_limit::{
    AttemptLimit, AttemptOutcome, RepeatDenial, RepeatReason, is_cancellation_reliable,
};
pub use crash_quarantine::{
    CrashId, CrashObservation, CrashQuarantine, CrashReport, RequestFingerprint,
};
pub use request_identity::{fingerprint_of, fingerprint_with_body, first_sent_at};
pub use request_verdict::{RefusalReason, RequestVerdict, TargetAnswer, UncertainReason};
pub use retry_budget::{ResendSafety, RetryBudget, RetryStep, retry_backoff, retry_step};
pub use retry_budgets::{CallCosts, RetryBudgets};
pub use shared_retry_budget::{ONE_REPEAT, RepeatMilli, RetryTerms, SharedRetryBudget};
