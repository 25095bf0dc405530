//! Targets whose work takes longer than usual get less load, and reports that cannot be used change nothing.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellMember, ChoiceDraws, HealthOutcome, RegionRule, TargetCapacity, TargetLoad,
    TargetPace, TargetReport, TargetSelector,
};

const START: BootTime = BootTime::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn member(index: usize) -> CellMember {
    CellMember {
        node: format!("router-{index}").into(),
        incarnation: 1,
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "norte-a".into(),
        region: "norte".into(),
        leaving: false,
    }
}

fn load(busy: u32, pace: Option<TargetPace>) -> TargetLoad {
    TargetLoad {
        busy,
        slots: 12,
        pace,
        ..TargetLoad::default()
    }
}

fn draws(round: u64) -> ChoiceDraws {
    std::array::from_fn(|index| {
        (round * 7 + index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
    })
}

/// Targets in one failure domain; the pace of the first one is reported at [`START`].
fn selector(pace: Option<TargetPace>, measured: bool) -> TargetSelector {
    let members: Vec<CellMember> = (0..3).map(member).collect();
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members.iter(), BootTime::ZERO);
    for member in &members {
        selector.set_load(&member.node, load(1, None), START);
        if measured {
            let node = &member.node;
            selector.begin(node, START);
            selector.end(node, &"read".into(), HealthOutcome::Answered, ms(90), START);
        }
    }
    selector.set_load("router-0", load(1, pace), START);
    selector
}

/// Returns which of 300 choices went to the first target.
fn choices(mut selector: TargetSelector, now: BootTime) -> Vec<bool> {
    let chosen = (0..300).map(|round| {
        selector
            .choose(draws(round), &RegionRule::default(), now)
            .unwrap()
    });
    chosen.map(|node| &*node == "router-0").collect()
}

macro_rules! unusable_pace_cases {
    ($($name:ident: $pace:expr, $age:expr;)*) => {
        $(
            /// A report that is absurd or old must not change a single choice.
            #[test]
            fn $name() {
                for measured in [false, true] {
                    let now = START + $age;
                    let without = choices(selector(None, measured), now);
                    assert!(without.contains(&true) && without.contains(&false));
                    assert_eq!(choices(selector($pace, measured), now), without);
                }
            }
        )*
    };
}

unusable_pace_cases! {
    pace_of_zero_is_ignored: Some(TargetPace { percent: 0, age_ms: 0 }), ms(0);
    absurd_pace_is_ignored: Some(TargetPace { percent: 10_001, age_ms: 0 }), ms(0);
    pace_older_than_a_step_is_ignored: Some(TargetPace { percent: 300, age_ms: 0 }), ms(400);
    pace_that_was_old_when_sent_is_ignored: Some(TargetPace { percent: 300, age_ms: 390 }), ms(10);
    pace_of_long_ago_is_ignored: Some(TargetPace { percent: 300, age_ms: u16::MAX }), ms(0);
}

macro_rules! report_cases {
    ($($name:ident: slots $slots:literal pace $pace:literal => $expected:expr;)*) => {
        $(
            /// The router beside the target must not pass on a report that cannot be true.
            #[test]
            fn $name() {
                let mut capacity = TargetCapacity::default();
                let report = TargetReport { running: 3, waiting: 0, slots: $slots, pace_percent: $pace };
                capacity.apply_report(&report, START);
                let expected: Option<u16> = $expected;
                let age_ms = 150;
                let pace = expected.map(|percent| TargetPace { percent, age_ms });
                assert_eq!(capacity.pace(START + ms(150)), pace);
                let percent = expected.map_or(100, u128::from);
                assert_eq!(capacity.cost_percent(START + ms(150)), percent);
                assert_eq!(capacity.pace(START + ms(400)), None);
            }
        )*
    };
}

report_cases! {
    slow_target_is_reported: slots 12 pace 300 => Some(300);
    report_without_slots_is_ignored: slots 0 pace 300 => None;
    report_with_pace_zero_is_ignored: slots 12 pace 0 => None;
    report_with_absurd_pace_is_ignored: slots 12 pace 10_001 => None;
}

/// Links differ in delay, so an older report may arrive after a newer one.
#[test]
fn older_pace_does_not_replace_a_newer_one() {
    let mut capacity = TargetCapacity::default();
    let pace = |percent, age_ms| Some(TargetPace { percent, age_ms });
    capacity.set_load(load(1, pace(300, 10)), START);
    capacity.set_load(load(1, pace(100, 200)), START + ms(5));
    assert_eq!(capacity.pace_percent(START + ms(5)), 300);
    capacity.set_load(load(1, None), START + ms(6));
    assert_eq!(capacity.pace_percent(START + ms(6)), 300);
}

/// Without the pace, a target whose work takes three times as long got as many requests as the others
/// until its latency had been measured several times.
#[test]
fn slow_target_is_not_chosen_for_one_step_whether_or_not_it_was_measured() {
    let slow = Some(TargetPace {
        percent: 300,
        age_ms: 0,
    });
    for measured in [false, true] {
        let to_slow = |age| {
            let chosen = choices(selector(slow, measured), START + age);
            chosen.into_iter().filter(|first| *first).count()
        };
        // Each of the two draws takes the cheaper target.
        assert_eq!(to_slow(ms(399)), 0);
        assert!(to_slow(ms(400)) > 50);
    }
}

/// Responses of a slow step must not raise the cost a second time, nor after the step has ended.
#[test]
fn latency_of_a_slow_step_counts_at_the_usual_pace() {
    let mut selector = selector(None, true);
    let slow = TargetPace {
        percent: 300,
        age_ms: 0,
    };
    for round in 0..40 {
        let now = START + ms(round * 10);
        selector.begin("router-0", now);
        selector.set_load("router-0", load(1, Some(slow)), now);
        let kind = "read".into();
        selector.end("router-0", &kind, HealthOutcome::Answered, ms(270), now);
    }
    let after = START + ms(390 + 400);
    for node in ["router-0", "router-1", "router-2"] {
        selector.set_load(node, load(1, None), after);
    }
    let to_first = choices(selector, after).into_iter().filter(|first| *first);
    assert!(to_first.count() > 50);
}

/// With more requests than the fast targets can run, the slow one has to take what it can: a third of
/// the requests of a fast one, neither as many nor none.
#[test]
fn busy_targets_get_load_in_proportion_to_their_speed() {
    let members: Vec<CellMember> = (0..4).map(member).collect();
    let mut selector = TargetSelector::default();
    selector.set_members(&members[0], members.iter(), BootTime::ZERO);
    let paces = [300_u16, 100, 100, 100];
    // Times at which the slots of each target are free again, in milliseconds.
    let mut slots = [[0_u64; 12]; 4];
    let mut open: Vec<(u64, u64, usize)> = Vec::new();
    let mut counts = [0_u32; 4];
    for now_ms in 0..8_000_u64 {
        let now = START + ms(now_ms);
        for (end, began, target) in open.extract_if(.., |(end, ..)| *end <= now_ms) {
            let (kind, node) = ("read".into(), &members[target].node);
            selector.end(node, &kind, HealthOutcome::Answered, ms(end - began), now);
        }
        for (target, member) in members.iter().enumerate() {
            let busy = open.iter().filter(|(.., at)| *at == target).count();
            let percent = paces[target];
            let pace = Some(TargetPace { percent, age_ms: 0 });
            selector.set_load(&member.node, load(u32::try_from(busy).unwrap(), pace), now);
        }
        // 400 requests a second: a fast target runs 120 a second, the slow one 40.
        if now_ms % 5 < 2 {
            let node = selector
                .choose(draws(now_ms), &RegionRule::default(), now)
                .unwrap();
            let target = members.iter().position(|member| member.node == node);
            let target = target.unwrap();
            selector.begin(&node, now);
            let slot = slots[target].iter_mut().min().unwrap();
            *slot = now_ms.max(*slot) + u64::from(paces[target]);
            open.push((*slot, now_ms, target));
            counts[target] += 1;
        }
    }
    let per_fast = (counts[1] + counts[2] + counts[3]) / 3;
    let percent = counts[0] * 100 / per_fast;
    assert!((20..=45).contains(&percent), "{counts:?}");
}
