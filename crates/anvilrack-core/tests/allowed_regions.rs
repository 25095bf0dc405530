//! Requests and keys of routes with allowed regions go to targets in these regions only.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, HealthOutcome, MemberReport, RegionRule,
    ReportSequence, RequestClass, RouteRules, ServiceRules, ShardOwner, SiteRoutes, TargetLoad,
    TargetSelector, WriterStamp,
};
use common::{member, terms};

const REGIONS: [&str; 3] = ["norte", "centro", "sul"];

const EPOCH: u64 = 1;

fn rule(regions: &[&str]) -> RegionRule {
    RegionRule::default().with_regions(regions.iter().map(|region| (*region).into()))
}

/// Returns the members `norte-0`, `norte-1` and so on: `count` in each region.
fn members(count: usize) -> Vec<CellMember> {
    let names = REGIONS
        .iter()
        .flat_map(|region| (0..count).map(move |number| (*region, format!("{region}-{number}"))));
    names
        .map(|(region, name)| CellMember {
            region: region.into(),
            ..member(&name, 1)
        })
        .collect()
}

fn selector(members: &[CellMember]) -> TargetSelector {
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members.iter(), BootTime::ZERO);
    selector
}

/// Fails requests to a target until it is suspected.
fn make_suspect(selector: &mut TargetSelector, node: &str, now: BootTime) {
    for _ in 0..20 {
        selector.begin(node, now);
        let took = Duration::from_millis(5);
        selector.end(node, &"view".into(), HealthOutcome::Failed, took, now);
    }
    assert!(selector.is_suspect(node));
}

/// Returns the targets of 500 choices.
fn chosen(selector: &mut TargetSelector, rule: &RegionRule, now: BootTime) -> BTreeSet<String> {
    let choices = (0..500_u64).map(|draw| {
        let draws = [draw, draw / 3, draw / 7, draw * 5];
        selector.choose(draws, rule, now)
    });
    choices.flatten().map(|node| node.to_string()).collect()
}

macro_rules! choice_cases {
    ($($name:ident: allowed $regions:expr => $targets:expr;)*) => {$(
        /// Requests ran in regions that their route forbids.
        #[test]
        fn $name() {
            let members = members(2);
            let mut selector = selector(&members);
            let rule = rule(&$regions);
            let expected: &[&str] = &$targets;
            let now = BootTime::from_secs(1);
            let expected: BTreeSet<String> = expected.iter().map(ToString::to_string).collect();
            assert_eq!(chosen(&mut selector, &rule, now), expected);
            // Targets elsewhere must not be chosen for being idle either.
            let busy = TargetLoad { busy: 400, slots: 8, overloaded: true, rate_limited: true, ..TargetLoad::default() };
            for node in &expected {
                selector.set_load(node, busy, now);
                selector.set_busy(node, now + Duration::from_secs(1));
            }
            for node in chosen(&mut selector, &rule, now) {
                assert!($regions.iter().any(|region| node.starts_with(region)), "{node}");
            }
            assert_eq!(selector.has_allowed(&rule), !expected.is_empty());
        }
    )*};
}

choice_cases! {
    nearest_target_is_allowed: allowed ["norte"] => ["norte-0"];
    only_another_region_is_allowed: allowed ["sul"] => ["sul-0", "sul-1"];
    two_other_regions_are_allowed: allowed ["centro", "sul"] => ["centro-0", "centro-1", "sul-0", "sul-1"];
    region_without_targets_is_allowed: allowed ["oeste"] => [];
}

/// A rule that names all regions must choose as no rule does, also with suspects and loads.
#[test]
fn rule_that_names_all_regions_changes_no_choice() {
    let members = members(3);
    let now = BootTime::from_secs(1);
    let [mut restricted, mut unrestricted] = [(); 2].map(|()| {
        let mut selector = selector(&members);
        make_suspect(&mut selector, "norte-1", now);
        let busy = TargetLoad {
            busy: 30,
            slots: 8,
            ..TargetLoad::default()
        };
        selector.set_load("norte-0", busy, now);
        selector
    });
    for draw in 0..2_000_u64 {
        let draws = [draw, draw / 3, draw / 7, draw * 5];
        let now = now + Duration::from_millis(draw);
        let chosen = restricted.choose(draws, &rule(&REGIONS), now);
        assert_eq!(
            chosen,
            unrestricted.choose(draws, &RegionRule::default(), now)
        );
    }
}

/// A request of a restricted route was the probe of a suspect elsewhere.
#[test]
fn suspect_elsewhere_is_not_probed() {
    let members = members(3);
    let mut selector = selector(&members);
    make_suspect(&mut selector, "sul-0", BootTime::from_secs(1));
    let late = BootTime::from_mins(1);
    let probed = chosen(&mut selector, &RegionRule::default(), late);
    assert!(probed.contains("sul-0"), "the probe is due: {probed:?}");
    let chosen = chosen(&mut selector, &rule(&["norte"]), late);
    assert!(
        chosen.iter().all(|node| node.starts_with("norte")),
        "{chosen:?}"
    );
}

/// Suspects elsewhere must not decide whether a suspect in the allowed region is avoided.
#[test]
fn share_of_suspects_is_that_of_the_allowed_targets() {
    let members = members(3);
    let now = BootTime::from_secs(1);
    let norte = rule(&["norte"]);
    let mut avoided = selector(&members);
    for node in ["norte-0", "sul-0", "sul-1", "sul-2"] {
        make_suspect(&mut avoided, node, now);
    }
    assert!(!chosen(&mut avoided, &norte, now).contains("norte-0"));
    let mut not_credible = selector(&members);
    for node in ["norte-0", "norte-1"] {
        make_suspect(&mut not_credible, node, now);
    }
    assert!(chosen(&mut not_credible, &norte, now).contains("norte-0"));
}

/// Requests entered for targets that are all at their limit, because a target elsewhere was not.
#[test]
fn limits_are_judged_among_the_allowed_targets() {
    let members = members(2);
    let mut selector = selector(&members);
    let now = BootTime::from_secs(1);
    let limited = TargetLoad {
        slots: 8,
        rate_limited: true,
        ..TargetLoad::default()
    };
    for node in ["norte-0", "norte-1"] {
        selector.set_load(node, limited, now);
    }
    assert!(selector.all_rate_limited(&rule(&["norte"]), now));
    assert!(!selector.all_rate_limited(&rule(&["norte", "sul"]), now));
    assert!(!selector.all_rate_limited(&rule(&["oeste"]), now));
}

// --- site document -------------------------------------------------------------------------------

fn route(prefix: &str, splits: &[(&str, u32)], allowed_regions: RegionRule) -> RouteRules {
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
        allowed_regions,
    }
}

/// The routes of one host: the shares of the services, and the allowed regions; none if all are allowed.
type TestRoutes<'a> = &'a [(&'a [(&'a str, u32)], &'a [&'a str])];

fn site(routes: TestRoutes<'_>) -> SiteRoutes {
    let mut site = SiteRoutes::new(1);
    for (index, (splits, regions)) in routes.iter().enumerate() {
        let rule = if regions.is_empty() {
            RegionRule::default()
        } else {
            rule(regions)
        };
        site = site.with_route("trips.example", route(&format!("/{index}/"), splits, rule));
    }
    site
}

macro_rules! service_cases {
    ($($name:ident: $routes:expr => $regions:expr;)*) => {$(
        /// Keys were owned where no request for them may run, or had no owner where one may.
        #[test]
        fn $name() {
            let expected: Option<&[&str]> = $regions;
            let expected = expected.map(|regions| regions.iter().map(|r| (*r).into()).collect());
            assert_eq!(site($routes).regions_of_service("views"), expected);
        }
    )*};
}

service_cases! {
    without_rules_keys_may_be_everywhere: &[(&[("views", 1)], &[])] => None;
    rules_of_all_routes_are_joined: &[(&[("views", 1)], &["norte"]), (&[("views", 1)], &["sul", "norte"])] => Some(&["norte", "sul"]);
    one_route_without_a_rule_allows_all: &[(&[("views", 1)], &["norte"]), (&[("views", 1)], &[])] => None;
    routes_of_other_services_do_not_count: &[(&[("views", 1)], &["norte"]), (&[("maps", 1)], &[])] => Some(&["norte"]);
    share_of_a_split_counts: &[(&[("maps", 9), ("views", 1)], &["norte"])] => Some(&["norte"]);
    share_of_zero_does_not_count: &[(&[("views", 1)], &["norte"]), (&[("maps", 1), ("views", 0)], &[])] => Some(&["norte"]);
    service_without_routes_may_be_everywhere: &[(&[("maps", 1)], &["norte"])] => None;
}

/// Operators did not learn that a rule names no region with routers.
#[test]
fn routes_without_routers_are_found() {
    let site = site(&[
        (&[("views", 1)], &["oeste"]),
        (&[("views", 1)], &["oeste", "sul"]),
        (&[("views", 1)], &[]),
    ]);
    let outside = |regions: &[&str]| -> Vec<String> {
        let regions = regions.iter().map(|region| (*region).into()).collect();
        let routes = site.routes_outside(&regions);
        routes.iter().map(|route| route.name.to_string()).collect()
    };
    assert_eq!(outside(&REGIONS), ["/0/"]);
    assert_eq!(outside(&["norte"]), ["/0/", "/1/"]);
    assert!(outside(&["oeste"]).is_empty());
    assert!(site.restricts_regions());
}

// --- placement -----------------------------------------------------------------------------------

fn shard_rules(regions: &[&str]) -> ServiceRules {
    ServiceRules {
        divided_by_key: true,
        shards: 8,
        slots: 0,
        connections: 0,
        checks_fence: true,
        max_timeout_ms: 0,
        class: RequestClass::default(),
        regions: regions.iter().map(|region| (*region).into()).collect(),
        pinned_keys: std::collections::BTreeMap::default(),
    }
}

/// Returns the coordinator of a cell whose eight shards are owned in all three regions.
fn coordinator(now: BootTime) -> CoordinatorState {
    let members = members(1);
    let owner = |shard: usize| ShardOwner {
        node: members[shard % members.len()].node.clone(),
        incarnation: 1,
        token: shard as u64 + 1,
        record_lost: false,
        handover: None,
    };
    let record = CellRecord {
        epoch: EPOCH,
        coordinator: members[0].node.clone(),
        writer: WriterStamp {
            node: members[0].node.clone(),
            incarnation: 1,
            sequence: 0,
        },
        shards: (0..8).map(|shard| Some(owner(shard))).collect(),
        last_token: 8,
        members: members.clone(),
        ..CellRecord::default()
    };
    let mut coordinator = CoordinatorState::new(record, terms(), now, now, BootTime::ZERO);
    for member in members {
        let report = MemberReport {
            mark: ReportSequence::default(),
            member,
            epoch: EPOCH,
            ready: true,
            released: Vec::new(),
            sick: false,
            loads: Vec::new(),
            pace_us: 0,
            cold_rate: None,
        };
        coordinator.on_heartbeat(&report, now);
    }
    coordinator
}

macro_rules! placement_cases {
    ($($name:ident: allowed $regions:expr, moving $moving:literal to $targets:expr;)*) => {$(
        /// Owners outside of the allowed regions kept their shards, which no request could use.
        #[test]
        fn $name() {
            let now = BootTime::from_secs(10);
            let mut coordinator = coordinator(now);
            let rules = shard_rules(&$regions);
            let expected: &[&str] = &$targets;
            coordinator.plan(&rules, 0, now);
            let moves = coordinator.moves();
            assert_eq!(moves.len(), $moving, "{moves:?}");
            for (shard, successor) in moves {
                assert!(expected.contains(&&**successor), "{shard} to {successor}");
                let owner = coordinator.record().owner(*shard).unwrap();
                assert!(!expected.contains(&&*owner.node), "{shard} of {}", owner.node);
            }
        }
    )*};
}

// Other moves of a cell of this size are at most four at once.
placement_cases! {
    owners_outside_lose_their_shards: allowed ["norte"], moving 5 to ["norte-0"];
    owners_in_one_of_two_regions_keep_theirs: allowed ["norte", "sul"], moving 3 to ["norte-0", "sul-0"];
    no_shard_moves_without_a_rule: allowed [], moving 0 to [];
    without_an_allowed_member_no_shard_moves: allowed ["oeste"], moving 0 to [];
}
