//! The operators' documents: routes, services and their rules.

mod region_rule;
mod service_rules;
mod site_progress;
mod site_routes;

pub use region_rule::RegionRule;
pub use service_rules::{
    ConfigDocument, ConfigRecord, PlacementWeights, RequestClass, ServiceRules, SitePlan,
};
pub use site_progress::{SiteProgress, SiteSource};
pub use site_routes::{CallerLimits, RouteRules, RoutedService, SiteRoutes, SiteVersion};
