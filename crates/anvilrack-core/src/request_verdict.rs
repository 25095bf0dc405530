//! What a caller is told about its request.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The outcome of one request, and whether it may have run.
///
/// A verdict only gets weaker on its way back to the caller: `NotRun` may turn into `MayHaveRun`,
/// never the other way round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// The target ran the request, and this is its whole answer.
    Ran(TargetAnswer),
    /// The request has not run and will not; the caller may come back after the given time.
    NotRun(RefusalReason, Duration),
    /// Nobody can tell whether the request ran.
    MayHaveRun(UncertainReason),
}

impl RequestVerdict {
    /// The word in the `Anvilrack-Verdict` header.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::NotRun(..) => "not-run",
            Self::MayHaveRun(_) => "may-have-run",
        }
    }

    /// Why it is not "ran", as a word for logs; empty where it ran.
    #[must_use]
    pub fn reason_word(&self) -> &'static str {
        match self {
            Self::Ran(_) => "",
            Self::NotRun(reason, ..) => reason.word(),
            Self::MayHaveRun(reason) => reason.word(),
        }
    }

    /// The verdict for a request of which an earlier try may have run: it is not told as not run
    /// any more.
    #[must_use]
    pub fn weakened_by(self, earlier: Option<UncertainReason>) -> Self {
        match (self, earlier) {
            (Self::NotRun(..), Some(reason)) => Self::MayHaveRun(reason),
            (verdict, _) => verdict,
        }
    }

    /// True where sending the request again cannot make it run twice.
    #[must_use]
    pub fn surely_not_run(&self) -> bool {
        matches!(self, Self::NotRun(..))
    }
}

/// A target's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body, where the target named one.
    pub content_type: Option<Arc<str>>,
    /// The whole body.
    pub body: Arc<[u8]>,
}

/// Why a request was refused before it could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// No such service in the configuration.
    UnknownService,
    /// The request cannot be understood.
    BadRequest,
    /// The request's body is above the bound.
    BodyTooLarge,
    /// Nobody owns the key's shard just now.
    NoOwner,
    /// The router asked does not own the key's shard, or not any more.
    NotOwner,
    /// The owner's lease has ended, so it may not serve.
    LeaseEnded,
    /// The shard is being handed to another owner.
    Moving,
    /// The router or the target has no room for the request.
    Overloaded,
    /// The time that the caller allowed cannot be met.
    DeadlineTooShort,
    /// The router beside the owner could not be reached at all.
    OwnerUnreachable,
    /// The target itself refused to take the request.
    TargetRefused,
    /// A request like this one crashed targets, and is kept off them for a while.
    Quarantined,
    /// This router is shutting down.
    Stopping,
    /// The at-most-once record has no room, and forgetting is not allowed.
    RecordFull,
    /// The idempotency key was used before for a different request.
    KeyReused,
}

impl RefusalReason {
    /// The word for logs and for the `Anvilrack-Reason` header.
    #[must_use]
    pub fn word(self) -> &'static str {
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
        }
    }

    /// HTTP status code for the caller.
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

/// Why nobody can tell whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UncertainReason {
    /// The time allowed passed after the request went to the target.
    TimedOut,
    /// The connection broke after the request went out.
    ConnectionLost,
    /// The target's answer ended early.
    AnswerCutShort,
    /// A request like this may have run under an owner that is gone with its record.
    RecordLost,
    /// The target's answer is above the bound and was not kept.
    AnswerTooLarge,
    /// The same request is at work already, and there is no room to wait for its outcome.
    AtWork,
}

impl UncertainReason {
    /// The word for logs and for the `Anvilrack-Reason` header.
    #[must_use]
    pub fn word(self) -> &'static str {
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
