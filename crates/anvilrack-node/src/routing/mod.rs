//! Finding the target for a request, and trying again where that is right.

mod forward;

pub use forward::{CallerRequest, ForwardOutcome, forward};
