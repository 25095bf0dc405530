//! The interface to a platform's protocols: its headers, target calls and site document.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    DomainName, FencingToken, RequestRate, ServiceName, SiteRoutes, TargetReport,
};
use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, StatusCode};
use thiserror::Error;

use crate::directory::MetadataStore;
use crate::guard::TargetNotification;

/// Identifies one attempt of a caller to send a request.
pub type RequestId = Arc<str>;

/// A request's key as the number that is sent with it.
pub type KeyNumber = u16;

/// Number of distinct [`KeyNumber`]s.
pub const KEY_SPACE: u32 = 65_536;

/// Names and message formats of one platform; implementations only convert between formats.
pub trait PlatformDialect: Send + Sync + 'static {
    /// Client of the platform's metadata store.
    type Store: MetadataStore;

    /// Extracts the routing information from a caller's headers.
    fn read_caller_headers(&self, headers: &HeaderMap) -> CallerRequestInfo;

    /// Sets the router's headers on a request to a target, replacing any sent by the caller.
    fn set_request_headers(&self, headers: &mut HeaderMap, info: &TargetRequestInfo);

    /// Extracts the router's information from the status and headers of a target's response.
    fn read_response_info(&self, status: StatusCode, headers: &HeaderMap) -> TargetResponseInfo;

    /// Sets the headers that tell a refused caller when to retry.
    fn set_retry_headers(
        &self,
        headers: &mut HeaderMap,
        request: Option<&RequestId>,
        retry_after: Duration,
    );

    /// Returns the store key of the site document.
    fn site_key(&self) -> &'static str;

    /// Returns the prefix of all store keys that the operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the failure domain whose evacuation a store key requests; `None` for other keys.
    fn evacuated_domain(&self, key: &str) -> Option<DomainName>;

    /// Parses the site document.
    ///
    /// # Errors
    ///
    /// Returns a [`SiteDocumentError`] with the field and the allowed values if the document is invalid.
    fn read_site(&self, document: &[u8]) -> Result<SiteRoutes, SiteDocumentError>;

    /// Parses a notification that a target sent to the control address.
    ///
    /// # Errors
    ///
    /// Returns a [`NotificationError`] if the path is unknown or the notification is invalid.
    fn parse_notification(
        &self,
        request: &Request<Bytes>,
    ) -> Result<TargetNotification, NotificationError>;

    /// Builds the response to an accepted notification.
    fn notification_accepted(&self) -> Response<Bytes>;

    /// Returns the path of the readiness check at the ready address.
    fn ready_path(&self) -> &'static str;

    /// Builds the call that grants keys to the target or renews their grant.
    fn grant_call(&self, key_range: &KeyRangeGrant) -> Request<Bytes>;

    /// Builds the call that releases keys from the target.
    fn release_call(&self, key_range: &KeyRangeGrant) -> Request<Bytes>;

    /// Reads the data that the target hands over in its response to a release.
    fn read_handover(&self, headers: &HeaderMap) -> Option<Arc<str>>;
}

/// Routing information from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequestInfo {
    /// Identifies this attempt; `None` if the caller sent no id.
    pub request: Option<RequestId>,
    /// Time for which the caller waits; `None` if it states none.
    pub time_left: Option<Duration>,
    /// The request's key; `None` if the caller named none.
    pub key: Option<KeyNumber>,
}

/// Information that the router adds to a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRequestInfo {
    /// Time within which the target must respond.
    pub time_left: Duration,
    /// Id of the intended target; a different target at the same address refuses the request.
    pub target: Arc<str>,
    /// Service of the router that received the request from its caller.
    pub caller_service: ServiceName,
}

/// Information about a target's response, from its status and headers.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetResponseInfo {
    /// Id of the request that it responds to; `None` if the target sent none.
    pub request: Option<RequestId>,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Whether the target signed the response.
    pub signed: bool,
    /// Whether the body differs from what the target wrote, because it is encoded.
    pub encoded: bool,
    /// Id of the target that responded, if it is not the intended one.
    pub other_target: Option<Arc<str>>,
    /// What the target says about its own condition.
    pub condition: TargetCondition,
}

/// What a target says about its own condition in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetCondition {
    /// The rate of requests that it takes.
    pub rate_limit: RateLimitNotice,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Remaining time for which it is cold; `None` if it does not state it.
    pub cold_for: Option<Duration>,
    /// Its load; `None` if it states none, or an invalid one.
    pub report: Option<TargetReport>,
}

/// What a response says about the rate of requests that its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitNotice {
    /// The target names no limit.
    #[default]
    Unlimited,
    /// Maximum number of requests a second, from all routers together; zero or more.
    Limited(RequestRate),
    /// The target names a limit that is not a decimal number.
    Invalid,
}

/// A grant of a range of keys to the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRangeGrant {
    /// Id of the intended target; a different target at the same address must not accept the grant.
    pub target: Arc<str>,
    /// First key of the range.
    pub first: KeyNumber,
    /// Last key of the range, inclusive.
    pub last: KeyNumber,
    /// Fencing token, greater than that of every earlier owner.
    pub token: FencingToken,
    /// Time for which the target holds the keys, from the arrival of the call.
    pub hold: Duration,
    /// Data that the previous owner handed over; `None` if there is none.
    pub handover: Option<Arc<str>>,
}

/// An invalid site document.
#[derive(Debug, Error)]
#[error("field `{field}`: {message}")]
pub struct SiteDocumentError {
    /// Path of the invalid field.
    pub field: String,
    /// Description of the error and the allowed values.
    pub message: String,
}

/// A target notification that cannot be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotificationError {
    /// The path is not one of the control address.
    #[error("no such call")]
    UnknownPath,
    /// Fields are missing or have the wrong type.
    #[error("the target notification is invalid")]
    InvalidNotification,
}
