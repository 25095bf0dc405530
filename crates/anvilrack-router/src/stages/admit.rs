//! Between the grant and the target: is there room for this request?

use anvilrack_core::{BootTime, RefusalReason, ServiceRules};
use anvilrack_wire::ForwardRequest;

use crate::router_context::RouterContext;

/// Room at the target for one request; dropping it gives the room back.
#[derive(Debug)]
pub struct AdmitPermit;

/// Finds room for a request, waiting for it no longer than the deadline allows.
///
/// # Errors
///
/// The reason to refuse; the request has not run.
pub fn process(
    _context: &RouterContext,
    _request: &ForwardRequest,
    _rules: &ServiceRules,
    _deadline: BootTime,
) -> Result<AdmitPermit, RefusalReason> {
    Ok(AdmitPermit)
}
