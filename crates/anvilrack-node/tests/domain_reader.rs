//! Tests of the reader, the router that watches the store for its whole failure domain.

use std::time::Duration;

use anvilrack_node::directory::{
    DirectoryEntry, HeartbeatEffect, ReaderHeartbeat, ReaderMonitor, entries_digest, reader_rank,
};
use anvilrack_node::peers::PeerLocation;

fn entry(node: &str, domain: &str, version: u64, stopping: bool) -> DirectoryEntry {
    DirectoryEntry {
        place: PeerLocation {
            node: node.into(),
            address: ([127, 0, 0, 1], 7000).into(),
            failure_domain: domain.into(),
            region: "norte".into(),
        },
        run: 1,
        version,
        service: "views".into(),
        target: None,
        stopping,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn heartbeat(digest: u64) -> ReaderHeartbeat {
    heartbeat_of("b", digest)
}

fn heartbeat_of(reader: &str, digest: u64) -> ReaderHeartbeat {
    ReaderHeartbeat {
        entry: entry(reader, "norte-a", 1, false),
        digest,
        evacuations: None,
    }
}

#[test]
fn routers_of_a_domain_are_ordered_by_name() {
    let entries = [
        entry("c", "norte-a", 1, false),
        entry("b", "norte-a", 1, false),
        entry("a", "sul-a", 1, false),
    ];
    let rank = |node, domain| reader_rank(node, domain, entries.iter());
    assert_eq!(rank("b", "norte-a"), 0);
    assert_eq!(rank("c", "norte-a"), 1);
    assert_eq!(rank("a", "sul-a"), 0);
    assert_eq!(rank("d", "centro-a"), 0);
}

#[test]
fn stopping_router_is_not_the_reader() {
    let entries = [
        entry("a", "norte-a", 2, true),
        entry("b", "norte-a", 1, false),
    ];
    assert_eq!(reader_rank("b", "norte-a", entries.iter()), 0);
}

#[test]
fn silent_reader_is_replaced_after_its_timeout() {
    let mut monitor = ReaderMonitor::new(at(0));
    assert!(!monitor.has_live_reader(0, at(0)));
    assert!(monitor.has_live_reader(1, at(800)));
    // A document has to be read and in force within two seconds after it was written.
    assert!(!monitor.has_live_reader(1, at(1_000)));
    monitor.on_heartbeat(&heartbeat(7), &heartbeat_of("c", 7), at(2_000));
    assert!(monitor.has_live_reader(1, at(2_800)));
    assert!(!monitor.has_live_reader(1, at(3_000)));
}

#[test]
fn silent_reader_is_replaced_by_one_router_at_a_time() {
    let mut second_replacement = ReaderMonitor::new(at(0));
    // The router before it becomes the reader at 900 ms and sends a heartbeat.
    assert!(second_replacement.has_live_reader(2, at(1_200)));
    second_replacement.on_heartbeat(&heartbeat_of("b", 7), &heartbeat_of("c", 7), at(1_200));
    assert!(second_replacement.has_live_reader(2, at(2_100)));
    // If that router is silent too, the wait is short at every rank.
    assert!(!ReaderMonitor::new(at(0)).has_live_reader(2, at(1_300)));
    assert!(!ReaderMonitor::new(at(0)).has_live_reader(11, at(1_700)));
}

#[test]
fn reader_ignores_heartbeats_of_its_replacement() {
    let mut monitor = ReaderMonitor::new(at(0));
    monitor.on_heartbeat(&heartbeat_of("c", 7), &heartbeat_of("b", 7), at(2_000));
    assert!(!monitor.has_live_reader(1, at(2_100)));
}

macro_rules! heartbeat_tests {
    ($($name:ident: [$(($theirs:expr, $own:expr)),*] => $effect:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut monitor = ReaderMonitor::new(at(0));
            let effects = [$(monitor.on_heartbeat(&$theirs, &$own, at(100))),*];
            assert_eq!(effects.last(), Some(&HeartbeatEffect::$effect));
        }
    )*};
}

heartbeat_tests! {
    equal_view_needs_nothing: [(heartbeat(7), heartbeat(7))] => Same;
    first_digest_mismatch_is_ignored: [(heartbeat(8), heartbeat(7))] => Same;
    repeated_digest_mismatch_requests_entries:
        [(heartbeat(8), heartbeat(7)), (heartbeat(8), heartbeat(7))] => EntriesMissing;
    matching_digest_resets_the_mismatch_count:
        [
            (heartbeat(8), heartbeat(7)),
            (heartbeat(8), heartbeat(8)),
            (heartbeat(9), heartbeat(8))
        ] => Same;
}

#[test]
fn digest_is_independent_of_order() {
    let (a, b) = (entry("a", "x", 1, false), entry("b", "x", 4, false));
    assert_eq!(
        entries_digest([&a, &b].into_iter()),
        entries_digest([&b, &a].into_iter())
    );
    let newer = entry("b", "x", 5, false);
    assert_ne!(
        entries_digest([&a, &b].into_iter()),
        entries_digest([&a, &newer].into_iter())
    );
}
