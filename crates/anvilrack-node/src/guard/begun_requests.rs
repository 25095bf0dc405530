//! Which requests have begun at the target, and which never may.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use anvilrack_core::BootTime;

use crate::RequestId;

/// A request is remembered for this long; its time limit is shorter.
const KEPT_FOR: Duration = Duration::from_secs(20);

/// Requests that are remembered at most; the oldest are forgotten first.
const KEPT_LIMIT: usize = 20_000;

/// What is known of the requests that came here.
///
/// Where the link to another router breaks, or that router stops, it asks whether its request has begun.
/// If it has not, it is barred, and then the caller can truthfully be told that it has not run.
#[derive(Debug, Default)]
pub struct BegunRequests {
    known: HashMap<RequestId, RequestMark>,
    order: VecDeque<(BootTime, RequestId)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestMark {
    Begun,
    Barred,
}

impl BegunRequests {
    /// A request is about to go to the target; false where it was barred.
    pub fn begin(&mut self, request: &RequestId, now: BootTime) -> bool {
        self.mark(request, RequestMark::Begun, now) == RequestMark::Begun
    }

    /// Bars a request; false where it has begun.
    pub fn bar(&mut self, request: &RequestId, now: BootTime) -> bool {
        self.mark(request, RequestMark::Barred, now) == RequestMark::Barred
    }

    fn mark(&mut self, request: &RequestId, mark: RequestMark, now: BootTime) -> RequestMark {
        self.forget_old(now);
        if let Some(known) = self.known.get(request) {
            return *known;
        }
        self.known.insert(request.clone(), mark);
        self.order.push_back((now, request.clone()));
        mark
    }

    fn forget_old(&mut self, now: BootTime) {
        while let Some((at, _)) = self.order.front() {
            if now < *at + KEPT_FOR && self.order.len() < KEPT_LIMIT {
                return;
            }
            if let Some((_, request)) = self.order.pop_front() {
                self.known.remove(&request);
            }
        }
    }
}
