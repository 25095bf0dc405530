//! A caller's request, forwarded to the router that owns the key's shard, and the verdict it
//! returns.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    RefusalReason, RequestVerdict, ServiceName, TargetAnswer, UncertainReason, bounded_duration,
};
use serde::{Deserialize, Serialize};

use crate::BodyBytes;

/// A caller's request as it is forwarded between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The requested service.
    pub service: ServiceName,
    /// The requested key, percent-decoded.
    pub key: Arc<str>,
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// The path and query as the caller sent them.
    pub path: Arc<str>,
    /// Media type of the request body, or `None` if the caller sent none.
    pub content_type: Option<Arc<str>>,
    /// The caller's idempotency key, or `None` if the caller sent none.
    pub idempotency_key: Option<Arc<str>>,
    /// The caller's IP address, by which capacity is shared fairly.
    pub caller: Arc<str>,
    /// Time left until the request's deadline.
    #[serde(deserialize_with = "bounded_duration")]
    pub timeout: Duration,
    /// The request body.
    pub body: BodyBytes,
}

impl ForwardRequest {
    /// Returns whether the HTTP method is idempotent, so that the request may run twice.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        !matches!(&*self.method, "POST" | "PATCH")
    }

    /// Returns the idempotency key of a non-idempotent request, under which the at-most-once record
    /// stores its outcome.
    #[must_use]
    pub fn effective_idempotency_key(&self) -> Option<&Arc<str>> {
        self.idempotency_key
            .as_ref()
            .filter(|_| !self.is_idempotent())
    }
}

/// The serialized form of a [`RequestVerdict`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The request ran; this is the target's complete response.
    Ran {
        /// HTTP status code.
        status: u16,
        /// Media type of the response body, or `None` if the target sent none.
        content_type: Option<Arc<str>>,
        /// The response body.
        body: BodyBytes,
    },
    /// The request was refused and has not run; it may be retried after the given time.
    NotRun(
        RefusalReason,
        #[serde(deserialize_with = "bounded_duration")] Duration,
    ),
    /// The outcome is uncertain: the request may have run.
    MayHaveRun(UncertainReason),
}

impl From<RequestVerdict> for ForwardReply {
    fn from(verdict: RequestVerdict) -> Self {
        match verdict {
            RequestVerdict::Ran(response) => Self::Ran {
                status: response.status,
                content_type: response.content_type,
                body: BodyBytes(response.body),
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
