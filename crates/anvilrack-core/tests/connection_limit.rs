//! Which connections a router closes for new ones.

use std::time::Duration;

use anvilrack_core::{BootTime, ConnectionLimit, ConnectionShares, ConnectionStep};

fn at(seconds: u64) -> BootTime {
    Duration::from_secs(seconds)
}

fn full_limit() -> ConnectionLimit {
    let mut limit = ConnectionLimit::new(3);
    for id in 0..3 {
        assert_eq!(limit.open(at(id)), ConnectionStep::Opened(id));
    }
    limit
}

/// Connections that stay open without a request.
#[test]
fn new_connection_replaces_the_one_that_waits_the_longest() {
    let mut limit = full_limit();
    limit.set_waiting(0, Some(at(5)));
    let step = limit.open(at(6));
    assert_eq!(
        step,
        ConnectionStep::Replaced {
            opened: 3,
            closed: 1
        }
    );
    assert_eq!(limit.open_count(), 3);
}

/// Requests in progress.
#[test]
fn connection_with_a_request_keeps_its_place() {
    let mut limit = full_limit();
    limit.set_waiting(0, None);
    limit.set_waiting(1, None);
    let step = limit.open(at(6));
    assert_eq!(
        step,
        ConnectionStep::Replaced {
            opened: 3,
            closed: 2
        }
    );
    limit.set_waiting(3, None);
    assert_eq!(limit.open(at(7)), ConnectionStep::Refused);
    limit.close(1);
    assert_eq!(limit.open(at(8)), ConnectionStep::Opened(4));
}

/// A connection that was replaced may still report what happens to it.
#[test]
fn closed_connection_is_forgotten() {
    let mut limit = full_limit();
    limit.close(0);
    limit.set_waiting(0, Some(at(9)));
    assert_eq!(limit.open(at(9)), ConnectionStep::Opened(3));
    assert_eq!(
        limit.open(at(9)),
        ConnectionStep::Replaced {
            opened: 4,
            closed: 1
        }
    );
}

/// All ports are full at the same time.
#[test]
fn own_connections_keep_an_eighth_of_the_descriptors() {
    for (descriptors, memory) in [
        (4_100, 160_000_000),
        (4_100, 4_000_000_000),
        (8_192, 512_000_000),
    ] {
        let shares = ConnectionShares::new(descriptors, memory);
        let used = shares.callers + shares.routers + 3 * shares.clients;
        assert!(used <= descriptors * 7 / 8, "{shares:?}");
    }
}
