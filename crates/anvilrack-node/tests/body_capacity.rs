//! Many concurrent uploads to a target whose VM has a slow link.
//!
//! Guards against a saturated link: after the deployment grows, a few VMs with 10 Mbit/s links may
//! receive all uploads.

use std::time::Duration;

use anvilrack_node::guard::BodyCapacity;

/// Bandwidth at which the link carries about 312 KB in a quarter of a second.
const LINK_MBPS: u32 = 10;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Reserves capacity for bodies of 60 KB until one is refused; returns the number of reservations.
fn reserve_all(capacity: &mut BodyCapacity, now: Duration) -> usize {
    let bodies = (0..100).map(|number| format!("{number}@{now:?}").into());
    bodies
        .take_while(|id| capacity.reserve(id, 60_000, now).is_ok())
        .count()
}

#[test]
fn bodies_in_transit_fit_the_link() {
    let mut capacity = BodyCapacity::new(LINK_MBPS);
    assert_eq!(reserve_all(&mut capacity, ms(0)), 5);
    assert_eq!(capacity.in_transit(), 5);
    let retry_after = capacity.reserve(&"late".into(), 60_000, ms(1)).unwrap_err();
    assert!(
        retry_after > ms(150) && retry_after < ms(300),
        "{retry_after:?}"
    );
}

#[test]
fn received_body_releases_capacity() {
    let mut capacity = BodyCapacity::new(LINK_MBPS);
    capacity.reserve(&"a".into(), 300_000, ms(0)).unwrap();
    assert!(capacity.reserve(&"b".into(), 60_000, ms(1)).is_err());
    capacity.release_reservation(&"a".into());
    assert_eq!(capacity.reserve(&"b".into(), 60_000, ms(2)), Ok(()));
}

#[test]
fn reservation_of_missing_body_expires() {
    let mut capacity = BodyCapacity::new(LINK_MBPS);
    reserve_all(&mut capacity, ms(0));
    assert_eq!(reserve_all(&mut capacity, ms(1_900)), 0);
    assert_eq!(reserve_all(&mut capacity, ms(2_000)), 5);
}

#[test]
fn longest_body_is_accepted_alone() {
    let mut capacity = BodyCapacity::new(LINK_MBPS);
    assert_eq!(capacity.reserve(&"a".into(), 2_000_000, ms(0)), Ok(()));
    assert!(capacity.reserve(&"b".into(), 1_000, ms(0)).is_err());
}

#[test]
fn fast_link_accepts_many_bodies() {
    let mut capacity = BodyCapacity::new(1_000);
    assert_eq!(reserve_all(&mut capacity, ms(0)), 100);
}
