//! Selects the target of a request and retries on another target when that is safe.

mod forward;

pub use forward::{CallerRequest, ForwardOutcome, forward};
