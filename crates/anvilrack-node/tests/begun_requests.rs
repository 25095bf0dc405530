//! "Not run" is told only of a request that has not begun and never will.

use std::time::Duration;

use anvilrack_node::guard::BegunRequests;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn barred_request_never_begins() {
    let mut begun = BegunRequests::default();
    assert!(begun.bar(&"r1".into(), NOW));
    assert!(!begun.begin(&"r1".into(), NOW));
}

#[test]
fn begun_request_cannot_be_barred() {
    let mut begun = BegunRequests::default();
    assert!(begun.begin(&"r1".into(), NOW));
    assert!(!begun.bar(&"r1".into(), NOW + Duration::from_secs(5)));
}

#[test]
fn asking_twice_gives_the_same_answer() {
    let mut begun = BegunRequests::default();
    assert!(begun.bar(&"r1".into(), NOW));
    assert!(begun.bar(&"r1".into(), NOW));
}

#[test]
fn bar_holds_longer_than_any_time_limit() {
    let mut begun = BegunRequests::default();
    begun.bar(&"r1".into(), NOW);
    // The longest time limit of the deployments is 12 seconds.
    assert!(!begun.begin(&"r1".into(), NOW + Duration::from_secs(12)));
}
