//! Learns which routes carry the calls that targets make while they run a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ServiceName;

/// Probability below which a route's requests are no longer taken to come from one service by chance.
const MAX_CHANCE: f64 = 1e-4;

/// Maximum number of routes that are tracked; one more clears them all.
const MAX_ROUTES: usize = 256;

/// The routes that are used only by the targets of one service.
///
/// Callers' requests enter at the routers of all services, while the calls of a target enter only at the
/// router beside it. So if all requests of a route enter beside targets of a single service, they are
/// calls of that service. How many requests this takes depends on the share of the routers that stand
/// beside that service: with a tenth of the routers, five in a row cannot be chance.
///
/// ```
/// use anvilrack_core::CallRoutes;
///
/// let mut routes = CallRoutes::default();
/// for _ in 0..5 {
///     routes.record(&"check".into(), &"orders".into(), || 0.1);
/// }
/// assert!(routes.is_call("check"));
/// routes.record(&"check".into(), &"billing".into(), || 0.3);
/// assert!(!routes.is_call("check"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallRoutes {
    routes: BTreeMap<Arc<str>, RouteOrigin>,
}

#[derive(Clone, Debug)]
struct RouteOrigin {
    service: ServiceName,
    /// Probability of this sequence of requests if callers sent them.
    chance: f64,
}

impl CallRoutes {
    /// Records where a request of a route entered.
    ///
    /// `router_share` returns the share of all routers that stand beside targets of `service`, from 0
    /// to 1.
    pub fn record(
        &mut self,
        route: &Arc<str>,
        service: &ServiceName,
        router_share: impl FnOnce() -> f64,
    ) {
        if let Some(origin) = self.routes.get_mut(route)
            && origin.service == *service
        {
            if origin.chance > MAX_CHANCE {
                origin.chance *= router_share();
            }
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let origin = RouteOrigin {
            service: service.clone(),
            chance: router_share(),
        };
        self.routes.insert(route.clone(), origin);
    }

    /// Returns whether the requests of a route are calls of targets.
    #[must_use]
    pub fn is_call(&self, route: &str) -> bool {
        self.routes
            .get(route)
            .is_some_and(|origin| origin.chance <= MAX_CHANCE)
    }
}
