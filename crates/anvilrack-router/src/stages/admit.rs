//! Between the guard and the target: is there room for this request?

use anvilrack_core::{
    AdmissionRequest, BootTime, HealthOutcome, RequestClass, RequestVerdict, ServiceRules,
    TicketId, events,
};
use anvilrack_wire::ForwardRequest;

use crate::admission_control::AdmissionControl;
use crate::log_event;
use crate::router_context::RouterContext;
use crate::spread_choices::outcome_of;

/// Room at the target for one request; dropping it gives the room back.
#[derive(Debug)]
pub struct AdmitPermit<'a> {
    control: &'a AdmissionControl,
    ticket: TicketId,
    outcome: HealthOutcome,
}

/// Finds room for a request, waiting for it no longer than the deadline allows.
///
/// # Errors
///
/// The verdict to tell: the request has not run.
pub fn process<'a>(
    context: &'a RouterContext,
    request: &ForwardRequest,
    rules: &ServiceRules,
    deadline: BootTime,
) -> Result<AdmitPermit<'a>, RequestVerdict> {
    let class = class_of(request, rules);
    let asked = AdmissionRequest {
        class,
        kind: request.service.clone(),
        // Callers name a deadline alone.
        objective: deadline,
        deadline,
        caller: request.caller.clone(),
    };
    let control = &context.admission;
    let refusal = match control.enter(asked, rules) {
        Ok(ticket) => {
            return Ok(AdmitPermit {
                control,
                ticket,
                outcome: HealthOutcome::NotTried,
            });
        }
        Err(refusal) => refusal,
    };
    let (in_flight, waiting) = control.load();
    log_event!(
        Info,
        events::ADMISSION_REFUSED,
        "service" = request.service,
        "reason" = refusal.reason.word(),
        "class" = class.word(),
        "in_flight" = in_flight,
        "waiting" = waiting
    );
    Err(RequestVerdict::NotRun(refusal.reason, refusal.retry_after))
}

/// A request that changes something is a claim in each service.
fn class_of(request: &ForwardRequest, rules: &ServiceRules) -> RequestClass {
    if request.is_idempotent() {
        rules.class
    } else {
        RequestClass::Claim
    }
}

impl AdmitPermit<'_> {
    /// Gives the room back after the target was asked, and takes its latency into account.
    pub fn close(mut self, verdict: &RequestVerdict) {
        self.outcome = outcome_of(verdict);
    }
}

impl Drop for AdmitPermit<'_> {
    fn drop(&mut self) {
        self.control.leave(self.ticket, self.outcome);
    }
}
