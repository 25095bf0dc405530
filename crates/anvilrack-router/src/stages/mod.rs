//! The stages of a request.
//!
//! On the callers' side: [`accept`] → [`resolve`] → [`forward`] → [`reply`]. On the target's side:
//! [`guard`] → [`admit`] → [`deliver`].

use std::time::Duration;

pub mod accept;
pub mod admit;
pub mod deliver;
pub mod forward;
pub mod guard;
pub mod reply;
pub mod resolve;

/// When to come back after a refusal that should pass within a second.
pub const RETRY_SOON: Duration = Duration::from_secs(1);
