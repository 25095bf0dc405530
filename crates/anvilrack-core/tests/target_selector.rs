//! Targets are chosen by cost, and unhealthy ones are avoided.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{BootTime, CellMember, HealthOutcome, TargetLoad, TargetSelector};

const LOCATIONS: [(&str, &str); 6] = [
    ("norte", "norte-a"),
    ("norte", "norte-b"),
    ("centro", "centro-a"),
    ("centro", "centro-b"),
    ("sul", "sul-a"),
    ("sul", "sul-b"),
];

fn member(index: usize) -> CellMember {
    let (region, domain) = LOCATIONS[index];
    CellMember {
        node: format!("router-{}", index + 1).into(),
        incarnation: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: domain.into(),
        region: region.into(),
        leaving: false,
    }
}

/// A linear congruential generator, so that the same seed gives the same draws.
struct DrawSource(u64);

impl DrawSource {
    fn draw(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.0 >> 33
    }
}

/// Latency of a target in milliseconds for a request sent at `ms`; `None` if it does not respond.
type LatencyFn = fn(target: usize, ms: u64) -> Option<u64>;

/// Sends two requests per millisecond for six seconds; returns how many requests each target got in
/// the last five.
fn simulate(latency_at: LatencyFn) -> [usize; 6] {
    let members: Vec<CellMember> = (0..6).map(member).collect();
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members.iter(), BootTime::ZERO);
    let mut draws = DrawSource(7);
    let mut ends: BTreeMap<(u64, usize), (usize, u64, bool)> = BTreeMap::new();
    let mut counts = [0; 6];
    for sent in 0..12_000_usize {
        let ms = sent as u64 / 2;
        let now = BootTime::from_millis(ms);
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= ms) {
            let (target, began, answered) = entry.remove();
            let outcome = if answered {
                HealthOutcome::Answered
            } else {
                HealthOutcome::Failed
            };
            let took = Duration::from_millis(ms - began);
            selector.end(&members[target].node, &"read".into(), outcome, took, now);
        }
        let node = selector
            .choose(std::array::from_fn(|_| draws.draw()), now)
            .unwrap();
        let target = members
            .iter()
            .position(|member| member.node == node)
            .unwrap();
        selector.begin(&node, now);
        counts[target] += usize::from(ms >= 1_000);
        // An unanswered request fails at its deadline of two seconds.
        let latency = latency_at(target, ms);
        ends.insert(
            (ms + latency.unwrap_or(2_000), sent),
            (target, ms, latency.is_some()),
        );
    }
    counts
}

macro_rules! selector_cases {
    ($($name:ident: $latency_at:expr => $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let counts = simulate($latency_at);
                let check: fn([usize; 6]) -> bool = $check;
                assert!(check(counts), "{counts:?}");
            }
        )*
    };
}

// 10000 requests are counted. The first target is in the router's failure domain.
selector_cases! {
    fast_near_target_gets_most_requests: |target, _| Some(if target == 0 { 1 } else { 12 })
        => |counts| counts[0] > 8_000;
    slow_near_target_is_avoided: |target, _| Some(if target == 0 { 120 } else { 10 })
        => |counts| counts[0] < 1_000 && counts[1..].iter().all(|count| *count > 1_000);
    equal_targets_share_the_load: |_, _| Some(10)
        => |counts| counts.iter().all(|count| *count > 500);
    stalled_target_gets_only_probes: |target, ms| (target != 0 || ms < 1_000).then_some(10)
        => |counts| counts[0] < 150;
    flapping_target_is_avoided: |target, ms| (target != 0 || (ms / 500) % 2 == 0).then_some(10)
        => |counts| counts[0] < 1_500;
    if_all_targets_look_unhealthy_all_get_requests: |_, ms| (ms < 1_000).then_some(10)
        => |counts| counts.iter().all(|count| *count > 100);
}

#[test]
fn newly_added_target_gets_a_reduced_share() {
    let members: Vec<CellMember> = (0..6).map(member).collect();
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members[1..].iter(), BootTime::ZERO);
    selector.set_members(&members[0], members.iter(), BootTime::from_secs(1));
    let mut draws = DrawSource(7);
    let mut counts = [0, 0];
    for (index, at) in [BootTime::from_secs(1), BootTime::from_secs(20)]
        .into_iter()
        .enumerate()
    {
        for _ in 0..1_000 {
            let node = selector
                .choose(std::array::from_fn(|_| draws.draw()), at)
                .unwrap();
            counts[index] += usize::from(node == members[0].node);
        }
    }
    assert!(counts[0] < 100 && counts[1] > 500, "{counts:?}");
}

/// Guards against requests that leave the region because of mixed request kinds: all targets are
/// equally fast, but a target whose last request was a long upload looked slower than one whose
/// last request was a look-up.
#[test]
fn latency_is_compared_within_a_request_kind() {
    // Only the first target is in the router's region.
    let members: Vec<CellMember> = [0, 2, 3, 4, 5].map(member).to_vec();
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members.iter(), BootTime::ZERO);
    let mut draws = DrawSource(7);
    let mut remote = 0;
    for step in 0..2_000_u64 {
        let now = BootTime::from_millis(step * 20);
        if step % 50 == 0 {
            // Each far target served a look-up while the near one had no capacity.
            for far in &members[1..] {
                let took = Duration::from_millis(4);
                selector.begin(&far.node, now);
                let kind = "look-up".into();
                selector.end(&far.node, &kind, HealthOutcome::Answered, took, now);
            }
        }
        let (kind, took) = if draws.draw().is_multiple_of(10) {
            ("upload", 400)
        } else {
            ("look-up", 4)
        };
        let choices = std::array::from_fn(|_| draws.draw());
        let node = selector.choose(choices, now).unwrap();
        remote += usize::from(members[1..].iter().any(|member| member.node == node));
        selector.begin(&node, now);
        let took = Duration::from_millis(took);
        selector.end(
            &node,
            &kind.into(),
            HealthOutcome::Answered,
            took,
            now + took,
        );
    }
    assert!(remote < 100, "{remote} of 2000 went to other regions");
}

/// Targets that had named a limit on their rate of requests got as many as the others.
#[test]
fn rate_limited_target_is_chosen_only_if_all_are() {
    let members: Vec<CellMember> = (0..6).map(member).collect();
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members.iter(), BootTime::ZERO);
    let now = BootTime::from_secs(1);
    let limited = TargetLoad {
        busy: 1,
        slots: 8,
        overloaded: false,
        rate_limited: true,
        pace: None,
    };
    let free = TargetLoad {
        rate_limited: false,
        ..limited
    };
    for member in &members {
        selector.set_load(&member.node, free, now);
    }
    // The router's own target, and the nearest one.
    selector.set_load(&members[0].node, limited, now);
    let mut draws = DrawSource(7);
    for _ in 0..1_000 {
        let node = selector.choose(std::array::from_fn(|_| draws.draw()), now);
        assert_ne!(node.unwrap(), members[0].node);
    }
    assert!(!selector.all_rate_limited(now));
    for member in &members {
        selector.set_load(&member.node, limited, now);
    }
    assert!(selector.all_rate_limited(now));
    assert!(
        selector
            .choose(std::array::from_fn(|_| draws.draw()), now)
            .is_some()
    );
    // Without news, the limits may be gone.
    assert!(!selector.all_rate_limited(now + Duration::from_secs(1)));
}
