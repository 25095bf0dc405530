//! The queue in front of the target beside this router.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anvilrack_core::{
    AdmissionQueue, AdmissionRequest, AdmissionStep, HealthOutcome, LatencyLimit, RefusalReason,
    ServiceRules, TargetHealth, TicketId,
};
use anvilrack_settings::AdmissionMode;

use crate::boot_clock;

/// Connections of a target that are left for its own health checks.
const SPARE_CONNECTIONS: u32 = 2;

/// The [`AdmissionQueue`] of one target, with the threads that wait at it.
#[derive(Debug)]
pub struct AdmissionControl {
    mode: AdmissionMode,
    state: Mutex<ControlState>,
}

#[derive(Debug)]
struct ControlState {
    queue: AdmissionQueue,
    health: TargetHealth,
    /// What each waiting thread waits on; one each, so that only those with news are woken.
    sleepers: BTreeMap<TicketId, Arc<Condvar>>,
}

/// Why there is no room, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmitRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time until the queue as it is now has drained.
    pub retry_after: Duration,
}

impl AdmissionControl {
    /// You say by which rules room is found.
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
            sleepers: BTreeMap::new(),
        };
        Self {
            mode,
            state: Mutex::new(state),
        }
    }

    /// Waits for room as long as the request's deadline allows.
    ///
    /// # Errors
    ///
    /// The reason to refuse; the request has not run.
    pub fn enter(
        &self,
        request: AdmissionRequest,
        rules: &ServiceRules,
    ) -> Result<TicketId, AdmitRefusal> {
        let mut state = self.state();
        state.queue.set_slots(self.most_at_once(rules));
        let mut step = state.queue.offer(request, boot_clock::now());
        state.wake();
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
                    state = sleep(state, ticket, until);
                    step = state.queue.poll(ticket, boot_clock::now());
                }
            }
        }
    }

    /// Gives room back, and takes what the request says of the target.
    pub fn leave(&self, ticket: TicketId, outcome: HealthOutcome) {
        let now = boot_clock::now();
        let mut state = self.state();
        state.health.end(outcome, now);
        let measured = outcome != HealthOutcome::NotTried;
        state.queue.leave(ticket, measured, now);
        state.wake();
    }

    /// True while the requests of this router say that its target is sick.
    ///
    /// It is false again when a probe is due: the shards that come back are the probe.
    #[must_use]
    pub fn is_sick(&self) -> bool {
        let now = boot_clock::now();
        let mut state = self.state();
        let latency = state.queue.limit().mean();
        state.health.look(latency, now);
        state.health.is_suspect() && !state.health.may_probe(now)
    }

    /// What the target's own endpoint says of its health; `true` where it says that it is sick.
    pub fn hint(&self, sick: bool) {
        self.state().health.hint(sick);
    }

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.queue.in_flight(), state.queue.waiting())
    }

    /// Each request at the target has a connection, and kept ones are used before new ones are
    /// opened; so this bounds the connections too.
    fn most_at_once(&self, rules: &ServiceRules) -> u32 {
        let connections = rules.connections.saturating_sub(SPARE_CONNECTIONS).max(1);
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
    fn wake(&mut self) {
        for ticket in self.queue.take_news() {
            if let Some(sleeper) = self.sleepers.remove(&ticket) {
                sleeper.notify_one();
            }
        }
    }
}

/// Waits for news of a ticket, at most until the given time.
fn sleep(
    mut state: MutexGuard<'_, ControlState>,
    ticket: TicketId,
    until: Duration,
) -> MutexGuard<'_, ControlState> {
    let sleeper = Arc::new(Condvar::new());
    state.sleepers.insert(ticket, sleeper.clone());
    let time = until.saturating_sub(boot_clock::now());
    let mut state = sleeper
        .wait_timeout(state, time)
        .map_or_else(|error| error.into_inner().0, |(state, _)| state);
    state.sleepers.remove(&ticket);
    state
}
