//! A caller's request on its way to the router beside the owner, and what comes back.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{RefusalReason, RequestVerdict, ServiceName, TargetAnswer, UncertainReason};
use serde::{Deserialize, Serialize};

use crate::BodyBytes;

/// A caller's request as the routers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The service asked for.
    pub service: ServiceName,
    /// The key asked for, percent-decoded.
    pub key: Arc<str>,
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// The path as the caller wrote it, with its query.
    pub path: Arc<str>,
    /// Media type of the body, where the caller named one.
    pub content_type: Option<Arc<str>>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Who asks, for fair shares: the caller's IP address.
    pub caller: Arc<str>,
    /// Time left for the request.
    pub timeout: Duration,
    /// The body.
    pub body: BodyBytes,
}

impl ForwardRequest {
    /// True where running the request twice does no harm, by its HTTP method.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        !matches!(&*self.method, "POST" | "PATCH")
    }

    /// The idempotency key of a non-idempotent request: what the at-most-once record goes by.
    #[must_use]
    pub fn recorded_key(&self) -> Option<&Arc<str>> {
        self.idempotency_key
            .as_ref()
            .filter(|_| !self.is_idempotent())
    }
}

/// A verdict on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The target's whole answer.
    Ran {
        /// HTTP status code.
        status: u16,
        /// Media type of the body.
        content_type: Option<Arc<str>>,
        /// The body.
        body: BodyBytes,
    },
    /// Refused before it ran.
    NotRun(RefusalReason, Duration),
    /// It may have run.
    MayHaveRun(UncertainReason),
}

impl From<RequestVerdict> for ForwardReply {
    fn from(verdict: RequestVerdict) -> Self {
        match verdict {
            RequestVerdict::Ran(answer) => Self::Ran {
                status: answer.status,
                content_type: answer.content_type,
                body: BodyBytes(answer.body),
            },
            RequestVerdict::NotRun(reason, retry_after) => Self::NotRun(reason, retry_after),
            RequestVerdict::MayHaveRun(reason) => Self::MayHaveRun(reason),
        }
    }
}

impl From<ForwardReply> for RequestVerdict {
    fn from(reply: ForwardReply) -> Self {
        match reply {
            ForwardReply::Ran {
                status,
                content_type,
                body,
            } => Self::Ran(TargetAnswer {
                status,
                content_type,
                body: body.0,
            }),
            ForwardReply::NotRun(reason, retry_after) => Self::NotRun(reason, retry_after),
            ForwardReply::MayHaveRun(reason) => Self::MayHaveRun(reason),
        }
    }
}
