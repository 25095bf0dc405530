//! Refuses requests at the router where they enter, if a service that they need is overloaded.
//!
//! A request that needs three services, each of which sheds some load on its own, mostly fails half
//! done: the work at the first two is wasted. So each target publishes which shares of new requests it
//! can serve ([`AdmittedShares`]), the router beside a caller's target learns this from the responses
//! that pass anyway, and a request is refused before any work is done for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bounded_duration;
use crate::{AdmittedShares, BootTime, Incarnation, NodeId, ServiceName, ShareMilli, WHOLE_SHARE};

/// Divisor for the weight of the newest shares in a moving average.
const AVERAGE_WEIGHT_DIVISOR: i32 = 6;

/// Time without news after which shares begin to rise to the whole again.
const SHARE_TTL: Duration = Duration::from_millis(600);

/// Time in which a share without news rises by one [`RECOVERY_STEP`].
const RECOVERY_PERIOD: Duration = Duration::from_millis(100);

/// Rise of a share without news in each [`RECOVERY_PERIOD`].
const RECOVERY_STEP: ShareMilli = 50;

/// Number of calls per ten runs from which a called service limits the runs of its caller.
///
/// Below that, refusing runs costs more requests than letting a few calls fail.
const MIN_CALLS_PER_TEN_RUNS: u32 = 5;

/// Number of runs after which calls and runs are halved, so that old ones count less.
const MAX_COUNTED_RUNS: u32 = 200;

/// Number of runs before calls per run are known.
const MIN_COUNTED_RUNS: u32 = 5;

/// Number of overloaded owners above which those without recent news are forgotten.
const MAX_OWNERS: usize = 256;

/// Maximum number of routes known to carry calls; one more clears them all.
const MAX_CALL_ROUTES: usize = 256;

/// What a target's router tells in each reply about the load that it can take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionHint {
    /// Shares that the target itself can serve; `None` if all.
    pub own: Option<AdmittedShares>,
    /// Shares that the services can serve that the target calls; `None` if all.
    pub called: Option<AdmittedShares>,
    /// The limit that the target names on its rate of requests; `None` if it names none.
    pub rate: Option<RateHint>,
    /// Whether the request was a call of a target.
    pub is_call: bool,
    /// The target's incarnation if it says that it is leaving.
    pub leaving: Option<Incarnation>,
}

/// The part of the demand that a target takes which limits its rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateHint {
    /// Shares that the target takes.
    pub shares: AdmittedShares,
    /// Mean time between two requests at the limit.
    #[serde(deserialize_with = "bounded_duration")]
    pub interval: Duration,
}

/// What one router knows about the load that services can take.
///
/// The router of a target also uses it for the services that its own target calls.
#[derive(Clone, Debug, Default)]
pub struct EntryAdmission {
    services: BTreeMap<ServiceName, ServiceShares>,
    owners: BTreeMap<NodeId, ShareAverage>,
    rate_limits: BTreeMap<ServiceName, RateLimits>,
    call_routes: BTreeSet<Arc<str>>,
    called: BTreeMap<ServiceName, CalledService>,
    runs: u32,
    latest_run: Option<RunAdmission>,
}

/// How a request was admitted that the local target runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAdmission {
    /// Priority of the request.
    pub priority: u8,
    /// Share of such requests that was admitted.
    pub admitted: ShareMilli,
}

#[derive(Clone, Debug, Default)]
struct ServiceShares {
    own: ShareAverage,
    called: ShareAverage,
}

/// Limits on the rate of requests that the targets of a service name.
#[derive(Clone, Debug, Default)]
struct RateLimits {
    shares: ShareAverage,
    interval: Duration,
}

/// A service that the local target calls.
#[derive(Clone, Debug, Default)]
struct CalledService {
    calls: u32,
    shares: ShareAverage,
}

/// Moving average of published shares.
#[derive(Clone, Copy, Debug, Default)]
struct ShareAverage {
    shares: AdmittedShares,
    updated_at: BootTime,
}

impl EntryAdmission {
    /// Returns the shares of requests for a service that are admitted now.
    ///
    /// `owner` is the router of the only target that can serve the request, if it has a key.
    #[must_use]
    pub fn shares(&self, service: &str, owner: Option<&str>, now: BootTime) -> AdmittedShares {
        let Some(known) = self.services.get(service) else {
            return AdmittedShares::ALL;
        };
        let own = match owner {
            Some(owner) => self.owners.get(owner).copied().unwrap_or_default(),
            None => known.own,
        };
        own.at(now).min(known.called.at(now))
    }

    /// Returns whether the requests of a route are calls of the local target.
    ///
    /// Calls are never refused at the entry: they belong to a run that has already begun.
    #[must_use]
    pub fn is_call(&self, route: &str) -> bool {
        self.call_routes.contains(route)
    }

    /// Applies the hint in the reply to a request that was sent to `router`.
    pub fn apply_hint(
        &mut self,
        service: &ServiceName,
        route: &Arc<str>,
        router: &NodeId,
        hint: &AdmissionHint,
        now: BootTime,
    ) {
        let own = hint.own.unwrap_or_default();
        let called = hint.called.unwrap_or_default();
        self.set_call_route(route, hint.is_call);
        if hint.is_call {
            let service = self.called.entry(service.clone()).or_default();
            service.calls += 1;
            service.shares.add(own.min(called), now);
            return;
        }
        self.apply_rate_hint(service, hint.rate, now);
        let known = self.services.entry(service.clone()).or_default();
        known.own.add(own, now);
        known.called.add(called, now);
        if own.is_all() {
            self.owners.remove(router);
        } else {
            if self.owners.len() >= MAX_OWNERS {
                self.owners.retain(|_, latest| !latest.at(now).is_all());
            }
            let latest = ShareAverage {
                shares: own,
                updated_at: now,
            };
            self.owners.insert(router.clone(), latest);
        }
    }

    /// Returns the shares of requests that a service takes all of whose targets limit their rate, and the
    /// mean time between two requests at their limits.
    #[must_use]
    pub fn rate_limits(&self, service: &str, now: BootTime) -> Option<(AdmittedShares, Duration)> {
        let limits = self.rate_limits.get(service)?;
        let shares = limits.shares.at(now);
        (!shares.is_all()).then_some((shares, limits.interval))
    }

    fn apply_rate_hint(&mut self, service: &ServiceName, hint: Option<RateHint>, now: BootTime) {
        if hint.is_none() && !self.rate_limits.contains_key(service) {
            return;
        }
        let limits = self.rate_limits.entry(service.clone()).or_default();
        limits
            .shares
            .add(hint.map_or(AdmittedShares::ALL, |hint| hint.shares), now);
        if let Some(hint) = hint {
            limits.interval = hint.interval;
        } else if limits.shares.at(now).is_all() {
            self.rate_limits.remove(service);
        }
    }

    /// Returns how the latest request was admitted that the local target runs and that is not a call.
    ///
    /// A call does not name the run that it belongs to, so it counts with that of the latest run.
    #[must_use]
    pub fn latest_run(&self) -> Option<RunAdmission> {
        self.latest_run
    }

    /// Counts a request that is not a call and that the local target begins to run.
    pub fn on_run(&mut self, admission: RunAdmission) {
        self.latest_run = Some(admission);
        self.runs += 1;
        if self.runs >= MAX_COUNTED_RUNS {
            self.runs /= 2;
            for service in self.called.values_mut() {
                service.calls /= 2;
            }
            self.called.retain(|_, service| service.calls > 0);
        }
    }

    /// Returns the shares that the services can serve that the local target calls.
    #[must_use]
    pub fn called_shares(&self, now: BootTime) -> AdmittedShares {
        if self.runs < MIN_COUNTED_RUNS {
            return AdmittedShares::ALL;
        }
        let needed =
            |service: &&CalledService| service.calls * 10 >= self.runs * MIN_CALLS_PER_TEN_RUNS;
        self.called
            .values()
            .filter(needed)
            .fold(AdmittedShares::ALL, |shares, service| {
                shares.min(service.shares.at(now))
            })
    }

    /// Returns the services that the local target calls, with the calls per hundred runs.
    pub fn called_services(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        let runs = self.runs.max(1);
        self.called
            .iter()
            .map(move |(service, called)| (service, called.calls * 100 / runs))
    }

    fn set_call_route(&mut self, route: &Arc<str>, is_call: bool) {
        if !is_call {
            self.call_routes.remove(route);
        } else if !self.call_routes.contains(route) {
            if self.call_routes.len() >= MAX_CALL_ROUTES {
                self.call_routes.clear();
            }
            self.call_routes.insert(route.clone());
        }
    }
}

impl ShareAverage {
    fn add(&mut self, shares: AdmittedShares, now: BootTime) {
        let known = self.at(now);
        self.shares = known.combine(shares, |known, newest| {
            let step = (i32::from(newest) - i32::from(known)) / AVERAGE_WEIGHT_DIVISOR;
            let average = i32::from(known) + step;
            // The division rounds to zero, which would keep an average from reaching the whole.
            if step == 0 {
                newest
            } else {
                ShareMilli::try_from(average).unwrap_or(newest)
            }
        });
        self.updated_at = now;
    }

    fn at(&self, now: BootTime) -> AdmittedShares {
        let age = now.saturating_sub(self.updated_at + SHARE_TTL);
        let periods = age.as_millis() / RECOVERY_PERIOD.as_millis();
        let periods = ShareMilli::try_from(periods).unwrap_or(ShareMilli::MAX);
        let rise = RECOVERY_STEP.saturating_mul(periods).min(WHOLE_SHARE);
        self.shares.combine(AdmittedShares::ALL, |share, whole| {
            (share + rise).min(whole)
        })
    }
}
