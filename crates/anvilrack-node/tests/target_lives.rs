//! Which life of a target counts, when notices are late, forged or out of order.

use std::time::Duration;

use anvilrack_node::guard::{LifeState, NoticeEffect, NoticeKind, TargetLives, TargetNotice};

const SERVICE: &str = "views";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn beat(id: &str, born_ms: u64, sequence: u64) -> TargetNotice {
    TargetNotice {
        id: id.into(),
        born_ms: Some(born_ms),
        kind: NoticeKind::Alive {
            service: SERVICE.into(),
            sequence,
            slots: 9,
            draining: false,
            cold: Duration::ZERO,
        },
    }
}

fn draining(mut notice: TargetNotice) -> TargetNotice {
    if let NoticeKind::Alive { draining, .. } = &mut notice.kind {
        *draining = true;
    }
    notice
}

fn of_service(mut notice: TargetNotice, name: &str) -> TargetNotice {
    if let NoticeKind::Alive { service, .. } = &mut notice.kind {
        *service = name.into();
    }
    notice
}

fn farewell(id: &str, born_ms: Option<u64>) -> TargetNotice {
    TargetNotice {
        id: id.into(),
        born_ms,
        kind: NoticeKind::Leaving,
    }
}

/// Takes notices a second apart; says what the last one did and which life counts then.
fn play(notices: &[TargetNotice]) -> (NoticeEffect, Option<(String, LifeState)>) {
    let mut lives = TargetLives::default();
    let mut effect = NoticeEffect::Heard;
    for (notice, second) in notices.iter().zip(1..) {
        effect = lives.take(notice, SERVICE, at(second * 1_000));
    }
    let life = lives.current();
    (effect, life.map(|life| (life.id.to_string(), life.state)))
}

macro_rules! lives {
    ($($name:ident: [$($notice:expr),*] => $effect:ident, $id:literal, $state:expr;)*) => {$(
        #[test]
        fn $name() {
            let (effect, life) = play(&[$($notice),*]);
            assert_eq!(effect, NoticeEffect::$effect);
            assert_eq!(life, Some(($id.to_owned(), $state)));
        }
    )*};
}

lives! {
    first_notice_begins_a_life: [beat("a", 10, 1)] => NewLife, "a", LifeState::Serving;
    next_notice_is_heard: [beat("a", 10, 1), beat("a", 10, 2)] => Heard, "a", LifeState::Serving;
    repeated_sequence_is_stale: [beat("a", 10, 2), beat("a", 10, 2)] => Stale, "a", LifeState::Serving;
    late_drain_notice_of_the_same_life_is_stale:
        [beat("a", 10, 3), draining(beat("a", 10, 2))] => Stale, "a", LifeState::Serving;
    later_life_replaces: [beat("a", 10, 5), beat("b", 20, 1)] => NewLife, "b", LifeState::Serving;
    same_id_born_again_replaces: [beat("a", 10, 5), beat("a", 20, 1)] => NewLife, "a", LifeState::Serving;
    late_notice_of_an_earlier_life_is_stale:
        [beat("a", 10, 5), beat("b", 20, 1), beat("a", 10, 6)] => Stale, "b", LifeState::Serving;
    farewell_of_an_earlier_life_is_stale:
        [beat("a", 10, 5), beat("b", 20, 1), farewell("a", Some(10))] => Stale, "b", LifeState::Serving;
    farewell_of_another_start_under_the_same_id_is_stale:
        [beat("a", 20, 1), farewell("a", Some(10))] => Stale, "a", LifeState::Serving;
    farewell_leaves: [beat("a", 10, 1), farewell("a", None)] => Leaves, "a", LifeState::Leaving(at(2_000));
    drain_leaves: [beat("a", 10, 1), draining(beat("a", 10, 2))] => Leaves, "a", LifeState::Leaving(at(2_000));
    leaving_is_counted_from_the_first_word:
        [beat("a", 10, 1), draining(beat("a", 10, 2)), draining(beat("a", 10, 3))]
        => Heard, "a", LifeState::Leaving(at(2_000));
    another_service_is_stale:
        [beat("a", 10, 1), of_service(beat("b", 20, 1), "maps")] => Stale, "a", LifeState::Serving;
}

#[test]
fn refused_connection_ends_a_life_once() {
    let mut lives = TargetLives::default();
    lives.take(&beat("a", 10, 1), SERVICE, at(0));
    assert!(lives.end(10));
    assert!(!lives.end(10));
    assert!(!lives.end(9));
}

#[test]
fn gone_target_that_speaks_again_serves() {
    let mut lives = TargetLives::default();
    lives.take(&beat("a", 10, 1), SERVICE, at(0));
    lives.end(10);
    let effect = lives.take(&beat("a", 10, 2), SERVICE, at(900));
    assert_eq!(effect, NoticeEffect::Changed);
}

#[test]
fn life_after_a_clock_that_was_put_back_counts_once_the_old_one_is_silent() {
    let mut lives = TargetLives::default();
    lives.take(&beat("a", 5_000, 9), SERVICE, at(0));
    let early = lives.take(&beat("b", 3_000, 1), SERVICE, at(1_000));
    assert_eq!(early, NoticeEffect::Stale);
    let later = lives.take(&beat("b", 3_000, 4), SERVICE, at(3_500));
    assert_eq!(later, NoticeEffect::NewLife);
    // The number of the life still rises, since fences and grants hang on it.
    assert!(lives.current().is_some_and(|life| life.incarnation > 5_000));
}
