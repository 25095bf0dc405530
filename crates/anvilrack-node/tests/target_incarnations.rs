//! Which incarnation of a target is current when notifications are late, forged or out of order.

use std::time::Duration;

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
    let mut incarnations = IncarnationTracker::default();
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
    notification_of_another_service_is_stale:
        [alive("a", 10, 1), of_service(alive("b", 20, 1), "maps")]
        => Stale, "a", IncarnationState::Serving;
}

#[test]
fn incarnation_ends_only_once() {
    let mut incarnations = IncarnationTracker::default();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    assert!(incarnations.end(10));
    assert!(!incarnations.end(10));
    assert!(!incarnations.end(9));
}

#[test]
fn gone_target_that_sends_a_notification_serves_again() {
    let mut incarnations = IncarnationTracker::default();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    incarnations.end(10);
    let effect = incarnations.apply(&alive("a", 10, 2), SERVICE, at(900), WALL_MS);
    assert_eq!(effect, NotificationEffect::Changed);
}

#[test]
fn earlier_start_is_accepted_once_the_current_incarnation_is_silent() {
    let mut incarnations = IncarnationTracker::default();
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
    let mut incarnations = IncarnationTracker::default();
    incarnations.apply(&alive("a", 10, 1), SERVICE, at(0), WALL_MS);
    assert_eq!(incarnations.said_leaving(), None);
    assert!(
        !incarnations.say_leaving(9, at(500)),
        "an earlier incarnation"
    );
    assert!(incarnations.say_leaving(10, at(500)));
    assert!(!incarnations.say_leaving(10, at(700)), "known already");
    // The notifications still say that it is ready.
    incarnations.apply(&alive("a", 10, 2), SERVICE, at(900), WALL_MS);
    let state = incarnations.current().map(|current| current.state);
    assert_eq!(state, Some(IncarnationState::Leaving(at(500))));
    assert_eq!(incarnations.said_leaving(), Some(10));
    incarnations.apply(&alive("b", 20, 1), SERVICE, at(1_000), WALL_MS);
    assert_eq!(incarnations.said_leaving(), None);
}
