//! The asynchronous router process.
//!
//! One single-threaded process runs on the VM of each target. A request passes through these modules:
//!
//! * [`callers`] reads it and finds its route,
//! * [`routing`] selects a target and retries when that is safe,
//! * [`peers`] sends it to the router of that target,
//! * [`guard`] admits it there and sends it to the target.
//!
//! The other modules are [`ownership`] (which target holds which keys), [`directory`] (the known
//! routers and the site document) and [`observe`] (logs and metrics).
//!
//! The protocols of callers, targets, operators and the store are implemented behind
//! [`PlatformDialect`] and [`directory::MetadataStore`]. The decisions are made in `anvilrack-core`.

mod body_collector;
pub mod callers;
mod connection_gates;
pub mod directory;
mod end_to_end_headers;
pub mod guard;
pub mod held_body;
pub mod http_pool;
mod mutex_lock;
mod node_process;
mod node_settings;
mod node_shared;
pub mod observe;
pub mod ownership;
pub mod peers;
mod platform_dialect;
mod request_content;
mod retry_backoff;
pub mod routing;
mod socket_options;
mod supervised_task;

pub use connection_gates::ConnectionGates;
pub use node_process::{accept_loop, run, serve_pending};
pub use node_settings::{
    DeploymentLimits, ListenAddresses, NodeSettings, RetryLimits, parse_duration,
};
pub use node_shared::NodeState;
pub use platform_dialect::{
    CallerRequestInfo, KEY_SPACE, KeyNumber, KeyRangeGrant, NotificationError, PlatformDialect,
    RateLimitNotice, RequestId, SiteDocumentError, TargetCondition, TargetRequestInfo,
    TargetResponseInfo,
};
pub use request_content::RequestContent;
pub use supervised_task::spawn_supervised;
