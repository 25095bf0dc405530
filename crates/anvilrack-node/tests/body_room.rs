//! Many uploads towards a target whose VM has a slow link.
//!
//! Answers the days after growth, on which a few VMs with 10 Mbit/s take all uploads.

use std::time::Duration;

use anvilrack_node::guard::BodyRoom;

/// At 10 Mbit/s a link carries some 312 KB in a quarter of a second.
const LINK_MBPS: u32 = 10;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Reserves for bodies of 60 KB until there is no room; returns how many had some.
fn fill(room: &mut BodyRoom, now: Duration) -> usize {
    let bodies = (0..100).map(|number| format!("{number}@{now:?}").into());
    bodies
        .take_while(|id| room.reserve(id, 60_000, now).is_ok())
        .count()
}

#[test]
fn bodies_on_their_way_fit_the_link() {
    let mut room = BodyRoom::new(LINK_MBPS);
    assert_eq!(fill(&mut room, ms(0)), 5);
    assert_eq!(room.expected(), 5);
    let again = room.reserve(&"late".into(), 60_000, ms(1)).unwrap_err();
    assert!(again > ms(150) && again < ms(300), "{again:?}");
}

#[test]
fn body_that_came_makes_room() {
    let mut room = BodyRoom::new(LINK_MBPS);
    room.reserve(&"a".into(), 300_000, ms(0)).unwrap();
    assert!(room.reserve(&"b".into(), 60_000, ms(1)).is_err());
    room.take(&"a".into());
    assert_eq!(room.reserve(&"b".into(), 60_000, ms(2)), Ok(()));
}

#[test]
fn body_that_never_comes_is_forgotten() {
    let mut room = BodyRoom::new(LINK_MBPS);
    fill(&mut room, ms(0));
    assert_eq!(fill(&mut room, ms(1_900)), 0);
    assert_eq!(fill(&mut room, ms(2_000)), 5);
}

#[test]
fn longest_body_may_come_alone() {
    let mut room = BodyRoom::new(LINK_MBPS);
    assert_eq!(room.reserve(&"a".into(), 2_000_000, ms(0)), Ok(()));
    assert!(room.reserve(&"b".into(), 1_000, ms(0)).is_err());
}

#[test]
fn fast_link_takes_many() {
    let mut room = BodyRoom::new(1_000);
    assert_eq!(fill(&mut room, ms(0)), 100);
}
