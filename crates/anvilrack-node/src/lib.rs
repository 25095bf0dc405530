//! The asynchronous router process.
//!
//! One process runs beside each target, on one thread. A request goes down through the folders:
//!
//! * [`callers`] reads it and finds its route,
//! * [`routing`] finds the target and tries again where that does no harm,
//! * [`peers`] carries it to the router beside that target,
//! * [`guard`] admits it there and sends it to the target.
//!
//! Beside that way stand [`ownership`] (who holds which keys), [`directory`] (which routers there
//! are, and the operators' document) and [`observe`] (logs and metrics).
//!
//! What callers, targets, operators and the store speak is behind [`PlatformDialect`] and
//! [`directory::MetadataStore`]. What is decided is decided by `anvilrack-core`.

pub mod callers;
pub mod directory;
pub mod guard;
pub mod http_pool;
mod message_headers;
mod node_process;
mod node_settings;
mod node_shared;
pub mod observe;
pub mod ownership;
mod pause_range;
pub mod peers;
mod platform_dialect;
pub mod routing;
mod socket_options;
mod state_lock;

pub use node_process::{accept_loop, run};
pub use node_settings::{DeploymentTerms, ListenAddresses, NodeSettings, parse_duration};
pub use node_shared::NodeShared;
pub use platform_dialect::{
    AnswerMark, CallerHead, GrantOrder, KEY_SPACE, KeyNumber, NoticeFault, PlatformDialect,
    RequestId, SiteFault, TargetMark,
};
