//! Second stage on the target side: waits for capacity at the target.

use anvilrack_core::{
    AdmissionRequest, BootTime, HealthOutcome, RequestClass, RequestVerdict, ServiceRules,
    TicketId, events,
};
use anvilrack_wire::ForwardRequest;

use crate::admission_control::AdmissionControl;
use crate::log_event;
use crate::router_context::RouterContext;
use crate::service_selectors::health_outcome_of;

/// Capacity at the target for one request; released on drop.
#[derive(Debug)]
pub struct AdmitPermit<'a> {
    control: &'a AdmissionControl,
    ticket: TicketId,
    outcome: HealthOutcome,
}

/// Acquires capacity for a request, waiting no longer than until the deadline.
///
/// # Errors
///
/// Returns `NotRun` with the reason and the time to retry after if the request is not admitted.
pub fn process<'a>(
    context: &'a RouterContext,
    request: &ForwardRequest,
    rules: &ServiceRules,
    deadline: BootTime,
) -> Result<AdmitPermit<'a>, RequestVerdict> {
    let class = class_of(request, rules);
    let admission = AdmissionRequest {
        class,
        kind: request.service.clone(),
        // Callers send no latency objective, only a deadline.
        objective: deadline,
        deadline,
        caller: request.caller.clone(),
    };
    let control = &context.admission;
    let refusal = match control.acquire(admission, rules) {
        Ok(ticket) => {
            return Ok(AdmitPermit {
                control,
                ticket,
                outcome: HealthOutcome::NotReached,
            });
        }
        Err(refusal) => refusal,
    };
    let (in_flight, waiting) = control.load();
    log_event!(
        Info,
        events::ADMISSION_REFUSED,
        "service" = request.service,
        "reason" = refusal.reason.as_str(),
        "class" = class.as_str(),
        "in_flight" = in_flight,
        "waiting" = waiting
    );
    Err(RequestVerdict::NotRun(refusal.reason, refusal.retry_after))
}

/// Returns the class of a request: non-idempotent requests are claims in every service.
fn class_of(request: &ForwardRequest, rules: &ServiceRules) -> RequestClass {
    if request.is_idempotent() {
        rules.class
    } else {
        RequestClass::Claim
    }
}

impl AdmitPermit<'_> {
    /// Releases the capacity with the verdict of the attempt, so that the target's health and the
    /// latency of the attempt are recorded.
    pub fn finish(mut self, verdict: &RequestVerdict) {
        self.outcome = health_outcome_of(verdict);
    }
}

impl Drop for AdmitPermit<'_> {
    fn drop(&mut self) {
        self.control.release(self.ticket, self.outcome);
    }
}
