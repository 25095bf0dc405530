//! Request pipeline.
//!
//! Caller side, on the router that receives the request: [`accept`] → [`resolve`] → [`forward`] →
//! [`reply`]. Target side, on the owner's router: [`guard`] → [`admit`] → [`deliver`].

use std::time::Duration;

pub mod accept;
pub mod admit;
pub mod deliver;
pub mod forward;
pub mod guard;
mod lease_transport;
mod refusal_transport;
pub mod reply;
mod reset_transport;
pub mod resolve;

/// Time to retry after, for refusals whose cause usually passes within a second.
pub const RETRY_SOON: Duration = Duration::from_secs(1);
