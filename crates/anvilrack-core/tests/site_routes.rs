//! Selection of a route by host and path, and of a service by weight.

use std::time::Duration;

use anvilrack_core::{RegionRule, RouteRules, SiteRoutes};

fn rules(prefix: &str, splits: &[(&str, u32)]) -> RouteRules {
    RouteRules {
        name: prefix.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        splits: splits
            .iter()
            .map(|(name, weight)| ((*name).into(), *weight))
            .collect(),
        allowed_regions: RegionRule::default(),
    }
}

fn site() -> SiteRoutes {
    SiteRoutes::new(1)
        .with_route("a.example", rules("/trips/", &[("views", 1)]))
        .with_route("a.example", rules("/trips/maps/", &[("maps", 1)]))
        .with_route("b.example", rules("/", &[("archive", 1)]))
}

macro_rules! route_cases {
    ($($name:ident: $host:literal $path:literal => $prefix:expr;)*) => {$(
        #[test]
        fn $name() {
            let site = site();
            let found = site.find($host, $path).map(|rules| &*rules.prefix);
            assert_eq!(found, $prefix);
        }
    )*};
}

route_cases! {
    longest_prefix_wins: "a.example" "/trips/maps/7" => Some("/trips/maps/");
    shorter_prefix_takes_the_rest: "a.example" "/trips/mapsize" => Some("/trips/");
    prefix_itself_matches: "a.example" "/trips/" => Some("/trips/");
    path_without_the_closing_slash_does_not_match: "a.example" "/trips" => None;
    unknown_path_has_no_route: "a.example" "/other/7" => None;
    unknown_host_has_no_route: "c.example" "/trips/7" => None;
    root_prefix_matches_every_path: "b.example" "/anything" => Some("/");
}

#[test]
fn services_are_picked_in_proportion_to_weight() {
    let rules = rules("/", &[("views", 90), ("maps", 10)]);
    let maps = (0..1000).filter(|draw| rules.pick_service(*draw).is_some_and(|s| &**s == "maps"));
    assert_eq!(maps.count(), 100);
}

#[test]
fn weight_of_zero_is_never_picked() {
    let rules = rules("/", &[("views", 0), ("maps", 3)]);
    assert!((0..100).all(|draw| rules.pick_service(draw).is_some_and(|s| &**s == "maps")));
    assert_eq!(self::rules("/", &[("views", 0)]).pick_service(5), None);
}

// Guards against a request that runs in a region which one of two rules forbids.
#[test]
fn both_region_rules_bind() {
    let route = RegionRule::default().with_regions(["north".into(), "south".into()]);
    let both = route.with_regions(["south".into(), "east".into()]);
    assert!(both.allows("south"));
    for region in ["north", "east", "west"] {
        assert!(!both.allows(region), "{region}");
    }
    let contradictory = both.with_regions(["north".into()]);
    assert!(!contradictory.allows("south"));
    assert!(!contradictory.allows_all());
}
