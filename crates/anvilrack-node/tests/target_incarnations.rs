//! Which incarnation of a target is current when notifications are late, forged or out of order.

use std::time::Duration;

use anvilrack_core::TargetDeparture;
use anvilrack_node::guard::{
    IncarnationState, IncarnationTracker, NotificationEffect, NotificationKind, TargetNotification,
};

const SERVICE: &str = "views";

/// Wall clock at which notifications arrive.
const WALL_MS: u64 = 15;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn alive(id: &str, started_ms: u64, sequence: u64) -> TargetNotification {
    TargetNotification {
        id: id.into(),
        started_ms: Some(started_ms),
        kind: NotificationKind::Alive {
            service: SERVICE.into(),
            sequence,
            slots: 9,
            draining: false,
            cold_for: Some(Duration::ZERO),
        },
    }
}

fn draining(mut notification: TargetNotification) -> TargetNotification {
    if let NotificationKind::Alive { draining, .. } = &mut notification.kind {
        *draining = true;
    }
    notification
}

fn without_start(mut notification: TargetNotification) -> TargetNotification {
    notification.started_ms = None;
    notification
}

fn of_service(mut notification: TargetNotification, name: &str) -> TargetNotification {
    if let NotificationKind::Alive { service, .. } = &mut notification.kind {
        *service = name.into();
    }
    notification
}

fn leaving(id: &str, started_ms: Option<u64>) -> TargetNotification {
    TargetNotification {
        id: id.into(),
        started_ms,
        kind: NotificationKind::Leaving,
    }
}

/// Applies notifications one second apart.
///
/// Returns the effect of the last one, and the id and state of the current incarnation.
fn apply(
    notifications: &[TargetNotification],
) -> (NotificationEffect, Option<(String, IncarnationState)>) {
    let mut incarnations = IncarnationTracker::without_former();
    let mut effect = NotificationEffect::TimeUpdated;
    for (notification, seconds) in notifications.iter().zip(1..) {
        effect = incarnations.apply(notification, SERVICE, at(seconds * 1_000), WALL_MS);
    }
    let incarnation = incarnations.current();
    (
        effect,
        incarnation.map(|current| (current.id.to_string(), current.state)),
    )
}

macro_rules! incarnations {
    ($($name:ident: [$($notification:expr),*] => $effect:ident, $id:literal, $state:expr;)*) => {$(
        #[test]
        fn $name() {
            let (effect, incarnation) = apply(&[$($notification),*]);
            assert_eq!(effect, NotificationEffect::$effect);
            assert_eq!(incarnation, Some(($id.to_owned(), $state)));
        }
    )*};
}

incarnations! {
    first_notification_starts_an_incarnation:
        [alive("a", 10, 1)] => NewIncarnation, "a", IncarnationState::Serving;
    next_notification_changes_only_its_time:
        [alive("a", 10, 1), alive("a", 10, 2)] => TimeUpdated, "a", IncarnationState::Serving;
    repeated_sequence_is_stale:
        [alive("a", 10, 2), alive("a", 10, 2)] => Stale, "a", IncarnationState::Serving;
    late_drain_notification_of_the_same_incarnation_is_stale:
        [alive("a", 10, 3), draining(alive("a", 10, 2))] => Stale, "a", IncarnationState::Serving;
    later_incarnation_replaces_the_current_one:
        [alive("a", 10, 5), alive("b", 20, 1)] => NewIncarnation, "b", IncarnationState::Serving;
    later_start_under_the_same_id_replaces_the_current_one:
        [alive("a", 10, 5), alive("a", 20, 1)] => NewIncarnation, "a", IncarnationState::Serving;
    late_notification_of_an_earlier_incarnation_is_stale:
        [alive("a", 10, 5), alive("b", 20, 1), alive("a", 10, 6)]
        => Stale, "b", IncarnationState::Serving;
    leaving_of_an_earlier_incarnation_is_stale:
        [alive("a", 10, 5), alive("b", 20, 1), leaving("a", Some(10))]
        => Stale, "b", IncarnationState::Serving;
    leaving_of_another_start_under_the_same_id_is_stale:
        [alive("a", 20, 1), leaving("a", Some(10))] => Stale, "a", IncarnationState::Serving;
    leaving_notification_stops_new_requests:
        [alive("a", 10, 1), leaving("a", None)] => StartedLeaving, "a", IncarnationState::Leaving(at(2_000));
    draining_notification_stops_new_requests:
        [alive("a", 10, 1), draining(alive("a", 10, 2))]
        => StartedLeaving, "a", IncarnationState::Leaving(at(2_000));
    leaving_time_is_that_of_the_first_notification:
        [alive("a", 10, 1), draining(alive("a", 10, 2)), draining(alive("a", 10, 3))]
        => TimeUpdated, "a", IncarnationState::Leaving(at(2_000));
    // A router that had restarted acknowledged that its target was leaving, and sent requests to it after its next
    // heartbeat.
    leaving_before_the_first_heartbeat_counts:
        [leaving("a", None), alive("a", 10, 7)]
        => NewIncarnation, "a", IncarnationState::Leaving(at(1_000));
    leaving_of_a_named_start_before_the_first_heartbeat_counts:
        [leaving("a", Some(10)), alive("a", 10, 7)]
        => NewIncarnation, "a", IncarnationState::Leaving(at(1_000));
    leaving_does_not_count_for_a_later_start_under_the_same_id:
        [leaving("a", None), alive("a", 20, 1)] => NewIncarnation, "a", IncarnationState::Serving;
    leaving_of_a_named_start_does_not_count_for_another_one:
        [leaving("a", Some(9)), alive("a", 10, 1)] => NewIncarnation, "a", IncarnationState::Serving;
    leaving_of_a_successor_before_its_first_heartbeat_counts:
        [alive("a", 10, 1), leaving("b", Some(20)), alive("b", 20, 3)]
        => NewIncarnation, "b", IncarnationState::Leaving(at(2_000));
    // A late heartbeat of a target that had left replaced the next one, which was not heard of for a while.
    late_heartbeat_of_a_departed_target_does_not_replace_the_next_one:
        [alive("a", 10, 1), leaving("a", None), alive("b", 20, 1), alive("a", 10, 2)]
        => Departed, "b", IncarnationState::Serving;
    target_with_its_clock_set_back_replaces_one_that_has_left:
        [alive("a", 10, 1), leaving("a", None), alive("a", 5, 1)]
        => NewIncarnation, "a", IncarnationState::Serving;
    late_heartbeat_of_a_departed_target_does_not_replace_one_with_its_clock_set_back:
        [alive("a", 10, 1), leaving("a", None), alive("a", 5, 1), alive("a", 10, 2)]
        => Departed, "a", IncarnationState::Serving;
    late_heartbeat_of_an_earlier_life_does_not_replace_a_target_that_is_leaving:
        [alive("a", 10, 5), alive("a", 20, 1), leaving("a", Some(20)), alive("a", 10, 6)]
        => Stale, "a", IncarnationState::Leaving(at(3_000));
    // One report without a start, with a high number, made all later ones stale, also that the target was draining.
    report_without_a_start_does_not_count_for_a_target_that_states_it:
        [alive("a", 10, 1), without_start(alive("a", 10, 1_000_000)), draining(alive("a", 10, 2))]
        => StartedLeaving, "a", IncarnationState::Leaving(at(3_000));
    report_without_a_start_does_not_replace_a_silent_target:
        [alive("a", 10, 1), leaving("x", None), leaving("x", None), leaving("x", None), without_start(alive("b", 0, 1))]
        => Stale, "a", IncarnationState::Serving;
    target_that_never_states_its_start_is_used:
        [without_start(alive("a", 0, 1)), without_start(alive("a", 0, 2))]
        => TimeUpdated, "a", IncarnationState::Serving;
    notification_of_another_service_is_stale:
        [alive("a", 10, 1), of_service(alive("b", 20, 1), "maps")]
        => Stale, "a", IncarnationState::Serving;
}

#[test]
fn incarnation_ends_only_once() {
    let mut incarnations = IncarnationTracker::without_former();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    assert!(incarnations.end(10));
    assert!(!incarnations.end(10));
    assert!(!incarnations.end(9));
}

#[test]
fn gone_target_that_sends_a_notification_serves_again() {
    let mut incarnations = IncarnationTracker::without_former();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    incarnations.end(10);
    let effect = incarnations.apply(&alive("a", 10, 2), SERVICE, at(900), WALL_MS);
    assert_eq!(effect, NotificationEffect::Changed);
}

#[test]
fn earlier_start_is_accepted_once_the_current_incarnation_is_silent() {
    let mut incarnations = IncarnationTracker::without_former();
    incarnations.apply(&alive("a", 5_000, 9), SERVICE, at(0), WALL_MS);
    let first = incarnations.apply(&alive("b", 3_000, 1), SERVICE, at(1_000), WALL_MS);
    assert_eq!(first, NotificationEffect::Stale);
    let second = incarnations.apply(&alive("b", 3_000, 4), SERVICE, at(3_500), WALL_MS);
    assert_eq!(second, NotificationEffect::NewIncarnation);
    // Incarnation numbers must still rise, because fencing and grants depend on them.
    assert!(
        incarnations
            .current()
            .is_some_and(|current| current.incarnation > 5_000)
    );
}

/// A target that said only in its responses that it was leaving was sent requests to the end.
#[test]
fn response_that_says_leaving_stops_new_requests() {
    let mut incarnations = IncarnationTracker::without_former();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    assert_eq!(incarnations.said_leaving(), None);
    assert!(
        !incarnations.say_leaving(9, at(500), WALL_MS),
        "an earlier incarnation"
    );
    assert!(incarnations.say_leaving(10, at(500), WALL_MS));
    assert!(
        !incarnations.say_leaving(10, at(700), WALL_MS),
        "known already"
    );
    // The notifications still say that it is ready.
    incarnations.apply(&alive("a", 10, 2), SERVICE, at(900), WALL_MS);
    let state = incarnations.current().map(|current| current.state);
    assert_eq!(state, Some(IncarnationState::Leaving(at(500))));
    assert_eq!(incarnations.said_leaving(), Some(10));
    incarnations.apply(&alive("b", 20, 1), SERVICE, at(1_000), WALL_MS);
    assert_eq!(incarnations.said_leaving(), None);
}

/// A target that had left refused a connection; a late heartbeat said that it was ready, and it was sent requests.
#[test]
fn departed_target_that_refused_a_connection_does_not_serve_again() {
    let mut incarnations = IncarnationTracker::without_former();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    incarnations.apply(&leaving("a", Some(10)), SERVICE, at(100), WALL_MS);
    assert!(incarnations.end(10));
    let effect = incarnations.apply(&alive("a", 10, 2), SERVICE, at(200), WALL_MS);
    assert_eq!(effect, NotificationEffect::TimeUpdated);
    let state = incarnations.current().map(|current| current.state);
    assert_eq!(state, Some(IncarnationState::Gone));
}

fn departure(id: &str, started_ms: u64) -> TargetDeparture {
    TargetDeparture {
        id: id.into(),
        started_ms: Some(started_ms),
        noted_ms: WALL_MS,
    }
}

/// What a restarted router does with the heartbeats that reach it before it knows what its former process acknowledged.
struct RestartCase {
    /// Departures in the store.
    stored: Vec<TargetDeparture>,
    /// Departures that other routers keep.
    kept: Vec<TargetDeparture>,
    heartbeats: Vec<TargetNotification>,
    expected: Option<(&'static str, u64, IncarnationState)>,
}

fn assert_restart(case: &RestartCase) {
    let mut incarnations = IncarnationTracker::default();
    for heartbeat in &case.heartbeats {
        let effect = incarnations.apply(heartbeat, SERVICE, at(100), WALL_MS);
        assert_eq!(effect, NotificationEffect::Deferred);
        assert_eq!(incarnations.current(), None, "not used yet");
    }
    let (stored, _) = incarnations.merge_stored(&case.stored, at(200));
    let (kept, _) = incarnations.merge_kept(&case.kept, at(200));
    assert_eq!((stored, kept), (case.stored.len(), case.kept.len()));
    for heartbeat in incarnations.end_reading() {
        incarnations.apply(&heartbeat, SERVICE, at(300), WALL_MS);
    }
    let current = incarnations.current();
    let current = current.map(|current| (&*current.id, current.started_ms, current.state));
    assert_eq!(current, case.expected);
}

macro_rules! restarts {
    ($($name:ident: stored [$($stored:expr),*], kept [$($kept:expr),*], [$($heartbeat:expr),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_restart(&RestartCase {
                stored: vec![$($stored),*],
                kept: vec![$($kept),*],
                heartbeats: vec![$($heartbeat),*],
                expected: $expected,
            });
        }
    )*};
}

restarts! {
    restarted_router_uses_its_target:
        stored [], kept [], [alive("a", 10, 7)] => Some(("a", 10, IncarnationState::Serving));
    restarted_router_does_not_use_a_target_that_the_store_says_has_left:
        stored [departure("a", 10)], kept [], [alive("a", 10, 7)]
        => Some(("a", 10, IncarnationState::Leaving(at(0))));
    restarted_router_does_not_use_a_target_that_routers_say_has_left:
        stored [], kept [departure("a", 10)], [alive("a", 10, 7), alive("a", 10, 8)]
        => Some(("a", 10, IncarnationState::Leaving(at(0))));
    restarted_router_uses_the_next_target:
        stored [departure("a", 10)], kept [], [alive("a", 10, 7), alive("b", 20, 1)]
        => Some(("b", 20, IncarnationState::Serving));
    restarted_router_uses_the_next_target_with_its_clock_set_back:
        stored [departure("a", 10)], kept [], [alive("a", 5, 1), alive("a", 10, 7)]
        => Some(("a", 5, IncarnationState::Serving));
    restarted_router_hears_of_the_draining_before_it_may_use_its_target:
        stored [], kept [], [draining(alive("a", 10, 7)), alive("a", 10, 6)]
        => Some(("a", 10, IncarnationState::Leaving(at(100))));
}

/// The store responded only after the target was in use because of its health check.
#[test]
fn departure_that_is_read_late_stops_new_requests() {
    let mut incarnations = IncarnationTracker::default();
    incarnations.end_reading();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    assert_eq!(
        incarnations.merge_stored(&[departure("a", 10)], at(100)),
        (1, true)
    );
    let state = incarnations.current().map(|current| current.state);
    assert_eq!(state, Some(IncarnationState::Leaving(at(0))));
}

/// The number of an incarnation exceeds that of one that has left, also after a restart of the router, because fencing
/// and grants depend on it.
#[test]
fn incarnation_numbers_rise_through_a_restart_with_the_clock_set_back() {
    let mut incarnations = IncarnationTracker::default();
    incarnations.merge_stored(&[departure("a", 5_000)], at(0));
    incarnations.end_reading();
    incarnations.apply(&alive("a", 3_000, 1), SERVICE, at(100), WALL_MS);
    let number = incarnations.current().map(|current| current.incarnation);
    assert_eq!(number, Some(5_001));
}
