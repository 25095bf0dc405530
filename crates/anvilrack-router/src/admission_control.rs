//! Admission queue of this router's local target.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{
    AdmissionQueue, AdmissionRequest, AdmissionStep, HealthOutcome, LatencyLimit, RefusalReason,
    ServiceRules, TargetHealth, TicketId,
};
use anvilrack_settings::AdmissionMode;

use crate::boot_clock;

/// Connections of a target that stay reserved for health checks.
const RESERVED_CONNECTIONS: u32 = 2;

/// The [`AdmissionQueue`] of one target, shared by the threads that wait for capacity.
#[derive(Debug)]
pub struct AdmissionControl {
    mode: AdmissionMode,
    state: Mutex<ControlState>,
}

#[derive(Debug)]
struct ControlState {
    queue: AdmissionQueue,
    health: TargetHealth,
    /// One condition variable per waiting thread, so that only threads whose ticket changed are
    /// woken.
    waiters: BTreeMap<TicketId, Arc<Condvar>>,
}

/// Why a request was not admitted, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmitRefusal {
    /// Reason to return to the caller.
    pub reason: RefusalReason,
    /// Estimated time until the current queue has drained.
    pub retry_after: Duration,
}

impl AdmissionControl {
    /// Creates the admission control of one target; `mode` selects how its capacity is limited.
    #[must_use]
    pub fn new(mode: AdmissionMode) -> Self {
        let limit = LatencyLimit::new(1);
        let limit = match mode {
            AdmissionMode::Adaptive => limit,
            AdmissionMode::Slots | AdmissionMode::None => limit.with_fixed_limit(),
        };
        let state = ControlState {
            queue: AdmissionQueue::new(limit),
            health: TargetHealth::default(),
            waiters: BTreeMap::new(),
        };
        Self {
            mode,
            state: Mutex::new(state),
        }
    }

    /// Waits for capacity, at most until the request's deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not admitted; it has not run.
    pub fn acquire(
        &self,
        request: AdmissionRequest,
        rules: &ServiceRules,
    ) -> Result<TicketId, AdmitRefusal> {
        let mut state = self.state();
        state.queue.set_slots(self.max_concurrent(rules));
        let mut step = state.queue.offer(request, boot_clock::now());
        state.wake_updated();
        loop {
            match step {
                AdmissionStep::Enter(ticket) => {
                    state.health.begin(boot_clock::now());
                    return Ok(ticket);
                }
                AdmissionStep::Refuse(reason, retry_after) => {
                    return Err(AdmitRefusal {
                        reason,
                        retry_after,
                    });
                }
                AdmissionStep::Wait(ticket, until) => {
                    state = wait_for_update(state, ticket, until);
                    step = state.queue.poll(ticket, boot_clock::now());
                }
            }
        }
    }

    /// Releases the capacity of a request and records its outcome for the target's health.
    pub fn release(&self, ticket: TicketId, outcome: HealthOutcome) {
        let now = boot_clock::now();
        let mut state = self.state();
        state.health.end(outcome, now);
        let reached_target = outcome != HealthOutcome::NotReached;
        state.queue.finish(ticket, reached_target, now);
        state.wake_updated();
    }

    /// Returns `true` while the outcomes of this router's requests indicate an unhealthy target.
    ///
    /// Returns `false` again when a probe is due: the shards that are assigned again act as the
    /// probe.
    #[must_use]
    pub fn is_unhealthy(&self) -> bool {
        let now = boot_clock::now();
        let mut state = self.state();
        let latency = state.queue.limit().mean();
        state.health.check_stall(latency, now);
        state.health.is_suspect() && !state.health.may_probe(now)
    }

    /// Records the result of the target's health endpoint; `unhealthy` is `true` if it reports a
    /// failure.
    pub fn set_unhealthy_hint(&self, unhealthy: bool) {
        self.state().health.set_unhealthy_hint(unhealthy);
    }

    /// Returns the number of requests in flight and the number of waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.queue.in_flight(), state.queue.waiting())
    }

    /// Returns the maximum number of concurrent requests. Each one uses one connection, and idle
    /// connections are reused before new ones are opened, so this limits the connections too.
    fn max_concurrent(&self, rules: &ServiceRules) -> u32 {
        let connections = rules
            .connections
            .saturating_sub(RESERVED_CONNECTIONS)
            .max(1);
        match self.mode {
            AdmissionMode::Adaptive | AdmissionMode::Slots => rules.slots.min(connections),
            AdmissionMode::None => connections,
        }
    }

    fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ControlState {
    fn wake_updated(&mut self) {
        for ticket in self.queue.take_updates() {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                waiter.notify_one();
            }
        }
    }
}

/// Waits until the state of a ticket changes, at most until the given time.
fn wait_for_update(
    mut state: MutexGuard<'_, ControlState>,
    ticket: TicketId,
    until: Duration,
) -> MutexGuard<'_, ControlState> {
    let waiter = Arc::new(Condvar::new());
    state.waiters.insert(ticket, waiter.clone());
    let timeout = until.saturating_sub(boot_clock::now());
    let mut state = waiter
        .wait_timeout(state, timeout)
        .map_or_else(|error| error.into_inner().0, |(state, _)| state);
    state.waiters.remove(&ticket);
    state
}
