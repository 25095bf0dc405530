//! The outcome of a request, as reported to its caller.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The outcome of one request, and whether the request may have run.
///
/// On its way back to the caller a verdict can only become less certain: `NotRun` may turn into
/// `MayHaveRun`, never the reverse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// The target ran the request and returned this complete response.
    Ran(TargetAnswer),
    /// The request has not run and will not run; the caller may retry after the given time.
    NotRun(RefusalReason, Duration),
    /// It is unknown whether the request ran.
    MayHaveRun(UncertainReason),
}

impl RequestVerdict {
    /// Returns the value of the `Anvilrack-Verdict` header.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::NotRun(..) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }

    /// Returns the reason code for logs; empty if the request ran.
    #[must_use]
    pub fn reason_code(&self) -> &'static str {
        match self {
            Self::Ran(_) => "",
            Self::NotRun(reason, ..) => reason.as_str(),
            Self::MayHaveRun(reason) => reason.as_str(),
        }
    }

    /// Combines this verdict with the outcome of an earlier attempt that may have run: `NotRun`
    /// becomes `MayHaveRun`.
    #[must_use]
    pub fn downgraded_by(self, earlier: Option<UncertainReason>) -> Self {
        match (self, earlier) {
            (Self::NotRun(..), Some(reason)) => Self::MayHaveRun(reason),
            (verdict, _) => verdict,
        }
    }

    /// Returns whether the request is known not to have run, so that resending it cannot run
    /// it twice.
    #[must_use]
    pub fn is_known_not_run(&self) -> bool {
        matches!(self, Self::NotRun(..))
    }
}

/// A complete response of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body; `None` if the target sent none.
    pub content_type: Option<Arc<str>>,
    /// The complete body.
    pub body: Arc<[u8]>,
}

/// Why a request was refused before it could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The configuration has no service of that name.
    UnknownService,
    /// The request is malformed.
    BadRequest,
    /// The request's body exceeds the size limit.
    BodyTooLarge,
    /// The key's shard has no owner at the moment.
    NoOwner,
    /// The router that got the request does not own the key's shard, or no longer owns it.
    NotOwner,
    /// The owner's lease has ended, so it may not serve the shard.
    LeaseEnded,
    /// The shard is moving to another owner.
    Moving,
    /// The router or the target has no capacity for the request.
    Overloaded,
    /// The request cannot be served within the caller's deadline.
    DeadlineTooShort,
    /// The owner's router could not be reached.
    OwnerUnreachable,
    /// The target refused the request.
    TargetRefused,
    /// Requests with this fingerprint were running when targets crashed, and are quarantined for some time.
    Quarantined,
    /// This router is shutting down.
    Stopping,
    /// The at-most-once record is full, and none of its entries may be dropped yet.
    RecordFull,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// A service that the target calls for such a request has no capacity.
    CalledServiceOverloaded,
    /// The route no longer leads to this service; the router that took the request has an old document.
    OutdatedRoute,
    /// The request was running at a crash, and the target runs another such request; they run one at a time.
    SuspectRunning,
    /// The target's router has just started and does not know yet which requests crash targets.
    Starting,
    /// The target names a limit on its rate of requests, which is reached.
    RateLimited,
    /// The route does not allow the regions in which targets could run the request.
    RegionNotAllowed,
    /// The failure domain of the target is evacuated.
    Evacuated,
    /// A router has no memory for the request's body.
    NoMemory,
}

impl RefusalReason {
    /// Returns the reason code for logs and for the `Anvilrack-Reason` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown-service",
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::NoOwner => "no-owner",
            Self::NotOwner => "not-owner",
            Self::LeaseEnded => "lease-ended",
            Self::Moving => "moving",
            Self::Overloaded => "overloaded",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::OwnerUnreachable => "owner-unreachable",
            Self::TargetRefused => "target-refused",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::RecordFull => "record-full",
            Self::KeyReused => "key-reused",
            Self::CalledServiceOverloaded => "called-service-overloaded",
            Self::OutdatedRoute => "outdated-route",
            Self::SuspectRunning => "suspect-running",
            Self::Starting => "starting",
            Self::RateLimited => "rate-limited",
            Self::RegionNotAllowed => "region-not-allowed",
            Self::Evacuated => "evacuated",
            Self::NoMemory => "no-memory",
        }
    }

    /// Returns the HTTP status code of the response to the caller.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::BadRequest | Self::KeyReused => 400,
            Self::BodyTooLarge => 413,
            _ => 503,
        }
    }
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UncertainReason {
    /// The request was sent to the target, and its deadline passed before the target responded.
    TimedOut,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The target's response was incomplete.
    AnswerCutShort,
    /// The request may have run under an earlier owner whose at-most-once record was lost.
    RecordLost,
    /// The target's response exceeds the size limit and was not stored.
    AnswerTooLarge,
    /// The same request is in progress, and there is no capacity to wait for its outcome.
    AtWork,
}

impl UncertainReason {
    /// Returns the reason code for logs and for the `Anvilrack-Reason` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TimedOut => "timed-out",
            Self::ConnectionLost => "connection-lost",
            Self::AnswerCutShort => "answer-cut-short",
            Self::RecordLost => "record-lost",
            Self::AnswerTooLarge => "answer-too-large",
            Self::AtWork => "at-work",
        }
    }
}
