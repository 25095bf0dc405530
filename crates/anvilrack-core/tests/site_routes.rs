//! Which route a request takes.

use std::time::Duration;

use anvilrack_core::{RouteRules, SiteRoutes};

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
    }
}

fn site() -> SiteRoutes {
    SiteRoutes::new(1)
        .with_route("a.example", rules("/trips/", &[("views", 1)]))
        .with_route("a.example", rules("/trips/maps/", &[("maps", 1)]))
        .with_route("b.example", rules("/", &[("archive", 1)]))
}

macro_rules! finds {
    ($($name:ident: $host:literal $path:literal => $prefix:expr;)*) => {$(
        #[test]
        fn $name() {
            let site = site();
            let found = site.find($host, $path).map(|rules| &*rules.prefix);
            assert_eq!(found, $prefix);
        }
    )*};
}

finds! {
    longest_prefix_wins: "a.example" "/trips/maps/7" => Some("/trips/maps/");
    shorter_prefix_takes_the_rest: "a.example" "/trips/mapsize" => Some("/trips/");
    prefix_itself_matches: "a.example" "/trips/" => Some("/trips/");
    path_without_the_closing_slash_does_not: "a.example" "/trips" => None;
    unknown_path: "a.example" "/other/7" => None;
    unknown_host: "c.example" "/trips/7" => None;
    root_prefix: "b.example" "/anything" => Some("/");
}

#[test]
fn weights_are_shares() {
    let rules = rules("/", &[("views", 90), ("maps", 10)]);
    let maps = (0..1000).filter(|draw| rules.pick_service(*draw).is_some_and(|s| &**s == "maps"));
    assert_eq!(maps.count(), 100);
}

#[test]
fn weight_of_zero_gets_nothing() {
    let rules = rules("/", &[("views", 0), ("maps", 3)]);
    assert!((0..100).all(|draw| rules.pick_service(draw).is_some_and(|s| &**s == "maps")));
    assert_eq!(self::rules("/", &[("views", 0)]).pick_service(5), None);
}
