//! Routes by host and path prefix, from the operators' site document.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::{RegionName, RegionRule, RequestClass, RequestRate, ServiceName};

/// Version number of a site document; it rises with each new document.
pub type SiteVersion = u64;

/// One complete site document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteRoutes {
    /// Version of the document.
    pub version: SiteVersion,
    /// Limits for the requests of callers.
    pub limits: CallerLimits,
    /// The services by name.
    pub services: BTreeMap<ServiceName, RoutedService>,
    hosts: HashMap<Arc<str>, HostRoutes>,
    /// Whether a route is restricted to some regions.
    restricts_regions: bool,
}

/// The routes of one host, by path prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HostRoutes {
    routes: HashMap<Arc<str>, Arc<RouteRules>>,
}

/// The rules for requests under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRules {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Time within which a response is most useful to the caller.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Services that share the route, with their weights.
    pub splits: Vec<(ServiceName, u32)>,
    /// Regions whose targets may run the requests.
    pub allowed_regions: RegionRule,
}

/// What the site document says about one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutedService {
    /// Whether each key is owned by one target.
    pub divided_by_key: bool,
    /// Path of the target's health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections to a target, from all callers together.
    pub connections: u32,
    /// Rate of requests that a cold target tolerates; `None` if it is not limited.
    pub cold_rate: Option<RequestRate>,
    /// Time for which a target is cold after it has started.
    pub cold_start: Duration,
}

/// Limits for the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to receive a request head, from its first byte.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl SiteRoutes {
    /// Creates a document without routes.
    #[must_use]
    pub fn new(version: SiteVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route for a host.
    #[must_use]
    pub fn with_route(mut self, host: &str, rules: RouteRules) -> Self {
        self.restricts_regions |= !rules.allowed_regions.allows_all();
        let routes = &mut self.hosts.entry(host.into()).or_default().routes;
        routes.insert(rules.prefix.clone(), Arc::new(rules));
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, name: ServiceName, service: RoutedService) -> Self {
        self.services.insert(name, service);
        self
    }

    /// Returns the route of a host with the longest prefix that matches `path`.
    ///
    /// The cost depends on the number of slashes in the path, not on the number of routes.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRules>> {
        let routes = &self.hosts.get(host)?.routes;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes().count()
    }

    // --- regions ---------------------------------------------------------------------------------

    /// Returns whether a route is restricted to some regions.
    #[must_use]
    pub fn restricts_regions(&self) -> bool {
        self.restricts_regions
    }

    /// Returns the regions in which some route allows its requests to a service to run; `None` if they may
    /// run everywhere.
    ///
    /// A route on which the service has no share sends it no requests, so its rule does not count.
    #[must_use]
    pub fn regions_of_service(&self, service: &str) -> Option<BTreeSet<RegionName>> {
        if !self.restricts_regions {
            return None;
        }
        let mut routes = self
            .routes()
            .filter(|route| route.leads_to(service))
            .peekable();
        routes.peek()?;
        let mut regions = BTreeSet::new();
        for route in routes {
            regions.extend(route.allowed_regions.regions()?.iter().cloned());
        }
        Some(regions)
    }

    /// Returns the routes whose rules name none of the given regions, in the order of their names.
    #[must_use]
    pub fn routes_outside(&self, regions: &BTreeSet<RegionName>) -> Vec<&Arc<RouteRules>> {
        if !self.restricts_regions {
            return Vec::new();
        }
        let is_outside = |route: &&Arc<RouteRules>| {
            let allowed = &route.allowed_regions;
            !allowed.allows_all() && !regions.iter().any(|region| allowed.allows(region))
        };
        let mut routes: Vec<_> = self.routes().filter(is_outside).collect();
        routes.sort_by(|left, right| left.name.cmp(&right.name));
        routes
    }

    fn routes(&self) -> impl Iterator<Item = &Arc<RouteRules>> {
        self.hosts.values().flat_map(|host| host.routes.values())
    }
}

impl RouteRules {
    /// Picks one of the route's services by weight; `draw` is a random number.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .splits
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = draw.checked_rem(total)?;
        for (service, weight) in &self.splits {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }

    /// Returns whether a service has a share of the route.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        let mut splits = self.splits.iter();
        splits.any(|(name, weight)| **name == *service && *weight > 0)
    }

    /// Returns the class in which a target admits requests of this route.
    #[must_use]
    pub fn class(&self) -> RequestClass {
        match self.priority {
            0 => RequestClass::Claim,
            1 => RequestClass::Read,
            _ => RequestClass::Archive,
        }
    }
}
