//! The regions that the routes of the site document allow.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilrack_core::{
    CellMember, RegionName, RouteRules, ServiceName, ShardId, SiteRoutes, events,
};
use anvilrack_router::boot_clock;

use super::NodeState;
use crate::peers::RunCall;
use crate::routing::CallerRequest;
use crate::{KeyNumber, PlatformDialect, emit_event};

/// Time after a document was applied and after the start of the process in which routers become known.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of routes that the log line about unserved routes names.
const MAX_NAMED_ROUTES: usize = 8;

impl<D: PlatformDialect> NodeState<D> {
    /// Returns the newest rules for a request, which may be newer than those by which it was routed.
    #[must_use]
    pub fn newest_rules(&self, request: &CallerRequest) -> Arc<RouteRules> {
        let newest = self
            .restricting_site()
            .filter(|site| site.version > request.site);
        let newest = newest.and_then(|site| find_route(&site, &request.headers, &request.path));
        newest.unwrap_or_else(|| request.route.clone())
    }

    /// Returns false if the route of a request forbids this router's region.
    ///
    /// The sender's document may be older. If it is newer, the sender chose the target by that one.
    #[must_use]
    pub fn allows_here(&self, call: &RunCall) -> bool {
        let Some(site) = self
            .restricting_site()
            .filter(|site| site.version >= call.site)
        else {
            return true;
        };
        let route = find_route(&site, &call.headers, &call.path);
        route.is_none_or(|route| route.allowed_regions.allows(&self.settings.region))
    }

    /// Returns whether no target that could run a request is in a region that the route allows; false if
    /// no target is known at all.
    #[must_use]
    pub fn lacks_allowed_target(
        &self,
        route: &RouteRules,
        service: &str,
        key: Option<KeyNumber>,
    ) -> bool {
        let rule = &route.allowed_regions;
        if rule.allows_all() {
            return false;
        }
        if let Some(shard) = self.shard_of(service, key) {
            let region = self.owner_region(service, shard);
            return region.is_some_and(|region| !rule.allows(&region));
        }
        let selectors = self.target_choices();
        let selector = selectors.get(service);
        selector.is_some_and(|selector| selector.target_count() > 0 && !selector.has_allowed(rule))
    }

    /// Counts a request that is refused because of its route's regions.
    pub fn count_region_refusal(&self, service: &ServiceName) {
        let labels = format!("service=\"{service}\"");
        self.metrics.count("refused_by_region", labels);
    }

    /// Returns the regions whose members may own shards of the local target's service; `None` for all.
    #[must_use]
    pub fn shard_regions(&self) -> Option<Vec<RegionName>> {
        let site = self.restricting_site()?;
        let regions = site.regions_of_service(&self.settings.service)?;
        Some(regions.into_iter().collect())
    }

    /// Logs once for each document which of its routes allow only regions without routers.
    pub fn log_routes_without_routers(&self) {
        let Some(site) = self.restricting_site() else {
            return;
        };
        let in_force_for = {
            let progress = self.site_tracker.progress();
            progress.in_force_for(boot_clock::now())
        };
        let is_checked = self.checked_regions_of.load(Ordering::Relaxed) == site.version;
        if is_checked || in_force_for < Some(KNOWN_AFTER) || !self.has_run_for(KNOWN_AFTER) {
            return;
        }
        self.checked_regions_of
            .store(site.version, Ordering::Relaxed);
        let known: BTreeSet<RegionName> = {
            let directory = self.directory();
            let regions = directory.entries().map(|entry| entry.place.region.clone());
            regions.chain([self.settings.region.clone()]).collect()
        };
        let routes = site.routes_outside(&known);
        if routes.is_empty() {
            return;
        }
        let named: Vec<&str> = routes
            .iter()
            .take(MAX_NAMED_ROUTES)
            .map(|route| &*route.name)
            .collect();
        emit_event!(
            Warn,
            events::SITE_REGIONS_EMPTY,
            version = site.version,
            routes = routes.len(),
            named = named.join(",")
        );
    }

    fn owner_region(&self, service: &str, shard: ShardId) -> Option<RegionName> {
        let cell = self.cell(service)?;
        let member: &CellMember = cell.member(&cell.owner(shard)?.node)?;
        Some(member.region.clone())
    }

    /// Returns the site document if it restricts a route to some regions.
    ///
    /// Without such a route, requests cost no look-up.
    fn restricting_site(&self) -> Option<Arc<SiteRoutes>> {
        if !self.restricts_regions.load(Ordering::Relaxed) {
            return None;
        }
        self.site()
    }
}

/// Returns the route of a request with these headers and this path and query.
pub(super) fn find_route(
    site: &SiteRoutes,
    headers: &[(String, Vec<u8>)],
    path: &str,
) -> Option<Arc<RouteRules>> {
    let (_, host) = headers.iter().find(|(name, _)| name == "host")?;
    let host = std::str::from_utf8(host).ok()?;
    let host = host.split(':').next().unwrap_or(host);
    let path = path.split('?').next().unwrap_or(path);
    site.find(host, path).cloned()
}
