//! Tracks which requests have started at the target and which were cancelled before that.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use anvilrack_core::BootTime;

use crate::RequestId;

/// Time for which a request is remembered; longer than any request timeout.
const RETENTION_TIME: Duration = Duration::from_secs(20);

/// Maximum number of requests that are remembered; the oldest are removed first.
const MAX_REMEMBERED: usize = 20_000;

/// The recent requests that either started at the target or were cancelled before they started.
///
/// A router whose link to this one broke, or that is about to stop, cancels its request here. If the
/// request has not started yet, it never will, and the response to the caller can safely say that it has
/// not run.
#[derive(Debug, Default)]
pub struct StartedRequests {
    requests: HashMap<RequestId, RequestState>,
    order: VecDeque<(BootTime, RequestId)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Started,
    Cancelled,
}

impl StartedRequests {
    /// Marks a request as started, just before it is sent to the target.
    ///
    /// Returns false if the request was cancelled.
    pub fn mark_started(&mut self, request: &RequestId, now: BootTime) -> bool {
        self.set_state_if_new(request, RequestState::Started, now) == RequestState::Started
    }

    /// Cancels a request before it starts; returns false if it has already started.
    pub fn cancel_before_start(&mut self, request: &RequestId, now: BootTime) -> bool {
        self.set_state_if_new(request, RequestState::Cancelled, now) == RequestState::Cancelled
    }

    fn set_state_if_new(
        &mut self,
        request: &RequestId,
        state: RequestState,
        now: BootTime,
    ) -> RequestState {
        self.remove_expired(now);
        if let Some(state) = self.requests.get(request) {
            return *state;
        }
        self.requests.insert(request.clone(), state);
        self.order.push_back((now, request.clone()));
        state
    }

    fn remove_expired(&mut self, now: BootTime) {
        while let Some((recorded_at, _)) = self.order.front() {
            if now < *recorded_at + RETENTION_TIME && self.order.len() < MAX_REMEMBERED {
                return;
            }
            if let Some((_, request)) = self.order.pop_front() {
                self.requests.remove(&request);
            }
        }
    }
}
