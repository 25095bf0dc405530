//! What a router needs to know of the words that callers, targets and operators speak.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{FencingToken, ServiceName, SiteRoutes};
use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, StatusCode};
use thiserror::Error;

use crate::directory::MetadataStore;
use crate::guard::TargetNotice;

/// Identifies one try of a caller.
pub type RequestId = Arc<str>;

/// A caller's key as the number that it travels with.
pub type KeyNumber = u16;

/// How many different [`KeyNumber`]s there are.
pub const KEY_SPACE: u32 = 65_536;

/// Names and formats of one platform; implementations translate and decide nothing.
pub trait PlatformDialect: Send + Sync + 'static {
    /// The platform's store.
    type Store: MetadataStore;

    /// Reads what the router needs of a request's headers.
    fn read_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Puts the router's own headers on a request to a target, over any that a caller sent.
    fn mark_request(&self, headers: &mut HeaderMap, mark: &TargetMark);

    /// Reads what the router needs of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMark;

    /// Says when a refused caller may come back.
    fn mark_refusal(&self, headers: &mut HeaderMap, request: Option<&RequestId>, after: Duration);

    /// Where the operators' document stands in the store.
    fn site_key(&self) -> &'static str;

    /// Reads the operators' document.
    ///
    /// # Errors
    ///
    /// [`SiteFault`] names the field and says what is allowed.
    fn read_site(&self, document: &[u8]) -> Result<SiteRoutes, SiteFault>;

    /// Reads what a target says of itself at the control address.
    ///
    /// # Errors
    ///
    /// [`NoticeFault`] where it names no target.
    fn read_notice(&self, request: &Request<Bytes>) -> Result<TargetNotice, NoticeFault>;

    /// The answer to a notice that was taken.
    fn notice_taken(&self) -> Response<Bytes>;

    /// Path of the readiness question at the ready address.
    fn ready_path(&self) -> &'static str;

    /// The call that grants keys to the target, or renews the grant.
    fn grant_call(&self, order: &GrantOrder) -> Request<Bytes>;

    /// The call that takes keys back from the target.
    fn release_call(&self, order: &GrantOrder) -> Request<Bytes>;

    /// What the target handed over with a release.
    fn read_handover(&self, headers: &HeaderMap) -> Option<Arc<str>>;
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Names this try.
    pub request: Option<RequestId>,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// The key, where the service is divided by key.
    pub key: Option<KeyNumber>,
}

/// What a target is told with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetMark {
    /// How long the target may work on it.
    pub time_left: Duration,
    /// The target that is meant; another one at its address refuses.
    pub target: Arc<str>,
    /// The service beside the router that took the request from its caller.
    pub caller_service: ServiceName,
}

/// What a target's answer says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerMark {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// True where the target says that it has not run the request.
    pub not_run: bool,
    /// True where the target signed the answer.
    pub sealed: bool,
    /// True where the body is not as the target wrote it.
    pub encoded: bool,
    /// The target that answered instead of the one that was meant.
    pub other_target: Option<Arc<str>>,
}

/// Keys for the target beside this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// Id of the target that the order is for; another one at its address must not take it.
    pub target: Arc<str>,
    /// First key.
    pub first: KeyNumber,
    /// Last key, inclusive.
    pub last: KeyNumber,
    /// Greater than that of any earlier owner.
    pub token: FencingToken,
    /// How long the target holds the keys from the arrival of the call.
    pub hold: Duration,
    /// What the previous owner handed over.
    pub handover: Option<Arc<str>>,
}

/// A document of the operators that cannot be used.
#[derive(Debug, Error)]
#[error("field `{field}`: {fault}")]
pub struct SiteFault {
    /// Path of the field.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub fault: String,
}

/// A notice that names no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoticeFault {
    /// There is no such call.
    #[error("no such call")]
    UnknownCall,
    /// Fields are missing or of another type.
    #[error("the notice cannot be read")]
    Unreadable,
}
