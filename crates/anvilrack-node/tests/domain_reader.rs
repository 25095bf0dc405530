//! One router of a failure domain watches the store for all of it.

use std::time::Duration;

use anvilrack_node::directory::{
    BeatEffect, DirectoryEntry, ReaderBeat, ReaderWatch, digest_of, reader_of,
};
use anvilrack_node::peers::PeerPlace;

fn entry(node: &str, domain: &str, version: u64, stopping: bool) -> DirectoryEntry {
    DirectoryEntry {
        place: PeerPlace {
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

fn beat(site: u64, digest: u64) -> ReaderBeat {
    ReaderBeat {
        site: Some(site),
        digest,
    }
}

#[test]
fn first_router_of_the_domain_reads() {
    let entries = [
        entry("c", "norte-a", 1, false),
        entry("b", "norte-a", 1, false),
        entry("a", "sul-a", 1, false),
    ];
    assert_eq!(reader_of("norte-a", entries.iter()), Some("b"));
    assert_eq!(reader_of("sul-a", entries.iter()), Some("a"));
    assert_eq!(reader_of("centro-a", entries.iter()), None);
}

#[test]
fn stopping_router_does_not_read() {
    let entries = [
        entry("a", "norte-a", 2, true),
        entry("b", "norte-a", 1, false),
    ];
    assert_eq!(reader_of("norte-a", entries.iter()), Some("b"));
}

#[test]
fn silent_reader_is_not_waited_for() {
    let mut watch = ReaderWatch::new(at(0));
    assert!(watch.is_heard(at(800)));
    // A document has to be in force two seconds after it was written, and be read in that time.
    assert!(!watch.is_heard(at(1_000)));
    watch.take(beat(1, 7), beat(1, 7), at(2_000));
    assert!(watch.is_heard(at(2_800)));
    assert!(!watch.is_heard(at(3_000)));
}

macro_rules! beats {
    ($($name:ident: [$(($theirs:expr, $own:expr)),*] => $effect:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut watch = ReaderWatch::new(at(0));
            let effects = [$(watch.take($theirs, $own, at(100))),*];
            assert_eq!(effects.last(), Some(&BeatEffect::$effect));
        }
    )*};
}

beats! {
    same_view: [(beat(3, 7), beat(3, 7))] => Same;
    newer_document_is_asked_for_at_once: [(beat(4, 7), beat(3, 7))] => SiteMissing;
    older_document_of_the_reader_is_not: [(beat(2, 7), beat(3, 7))] => Same;
    view_that_is_unlike_once_may_be_on_its_way: [(beat(3, 8), beat(3, 7))] => Same;
    view_that_stays_unlike_is_asked_for:
        [(beat(3, 8), beat(3, 7)), (beat(3, 8), beat(3, 7))] => EntriesMissing;
    view_that_was_alike_in_between_is_not:
        [(beat(3, 8), beat(3, 7)), (beat(3, 8), beat(3, 8)), (beat(3, 9), beat(3, 8))] => Same;
}

#[test]
fn digest_does_not_hang_on_the_order() {
    let (a, b) = (entry("a", "x", 1, false), entry("b", "x", 4, false));
    assert_eq!(
        digest_of([&a, &b].into_iter()),
        digest_of([&b, &a].into_iter())
    );
    let newer = entry("b", "x", 5, false);
    assert_ne!(
        digest_of([&a, &b].into_iter()),
        digest_of([&a, &newer].into_iter())
    );
}
