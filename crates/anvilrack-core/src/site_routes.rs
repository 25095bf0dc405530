//! Routes by host and prefix, as the operators' document for a whole site gives them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::{RequestClass, ServiceName};

/// Number of a site's document; a later one has a greater number.
pub type SiteVersion = u64;

/// One document of the operators, complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteRoutes {
    /// Which document this is.
    pub version: SiteVersion,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The services by name.
    pub services: BTreeMap<ServiceName, RoutedService>,
    hosts: HashMap<Arc<str>, HostRoutes>,
}

/// The routes of one host by their prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct HostRoutes {
    routes: HashMap<Arc<str>, Arc<RouteRules>>,
}

/// How requests under one prefix are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRules {
    /// Name, for logs.
    pub name: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub latency_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// The services that share the route, with their weights.
    pub splits: Vec<(ServiceName, u32)>,
}

/// What the routers know of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutedService {
    /// True where each key is held by one target.
    pub divided_by_key: bool,
    /// Path of the target's health check.
    pub health_path: Arc<str>,
    /// Connections that a target accepts from all callers together.
    pub connections: u32,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: u64,
    /// Time for a head, from its first byte.
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
    /// Starts a document without routes.
    #[must_use]
    pub fn new(version: SiteVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route of a host.
    #[must_use]
    pub fn with_route(mut self, host: &str, rules: RouteRules) -> Self {
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

    /// The route of that host with the longest prefix that begins `path`.
    ///
    /// The cost grows with the slashes of the path and not with the number of routes.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRules>> {
        let routes = &self.hosts.get(host)?.routes;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Number of routes over all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(|host| host.routes.len()).sum()
    }
}

impl RouteRules {
    /// Picks one of the services by weight; `draw` is a random number.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .splits
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for (service, weight) in &self.splits {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
        }
        None
    }

    /// The class in which a target admits requests of this route.
    #[must_use]
    pub fn class(&self) -> RequestClass {
        match self.priority {
            0 => RequestClass::Claim,
            1 => RequestClass::Read,
            _ => RequestClass::Archive,
        }
    }
}
