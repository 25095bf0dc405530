//! One router of a failure domain watches the store for all of it.

use std::time::Duration;

use anvilrack_node::directory::{
    BeatEffect, DirectoryEntry, ReaderBeat, ReaderWatch, digest_of, place_in_line,
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
    beat_of("b", site, digest)
}

fn beat_of(reader: &str, site: u64, digest: u64) -> ReaderBeat {
    ReaderBeat {
        reader: reader.into(),
        site: Some(site),
        digest,
    }
}

#[test]
fn routers_of_a_domain_stand_in_line_by_name() {
    let entries = [
        entry("c", "norte-a", 1, false),
        entry("b", "norte-a", 1, false),
        entry("a", "sul-a", 1, false),
    ];
    let place = |node, domain| place_in_line(node, domain, entries.iter());
    assert_eq!(place("b", "norte-a"), 0);
    assert_eq!(place("c", "norte-a"), 1);
    assert_eq!(place("a", "sul-a"), 0);
    assert_eq!(place("d", "centro-a"), 0);
}

#[test]
fn stopping_router_does_not_read() {
    let entries = [
        entry("a", "norte-a", 2, true),
        entry("b", "norte-a", 1, false),
    ];
    assert_eq!(place_in_line("b", "norte-a", entries.iter()), 0);
}

#[test]
fn silent_reader_is_not_waited_for() {
    let mut watch = ReaderWatch::new(at(0));
    assert!(!watch.is_heard(0, at(0)));
    assert!(watch.is_heard(1, at(800)));
    // A document has to be in force two seconds after it was written, and be read in that time.
    assert!(!watch.is_heard(1, at(1_000)));
    watch.take(&beat(1, 7), &beat_of("c", 1, 7), at(2_000));
    assert!(watch.is_heard(1, at(2_800)));
    assert!(!watch.is_heard(1, at(3_000)));
}

#[test]
fn one_router_at_a_time_stands_in_for_a_silent_reader() {
    let mut last = ReaderWatch::new(at(0));
    // The router before it reads from 900 ms on and says so.
    assert!(last.is_heard(2, at(1_200)));
    last.take(&beat_of("b", 1, 7), &beat_of("c", 1, 7), at(1_200));
    assert!(last.is_heard(2, at(2_100)));
    // Where that is silent too, nobody waits for long, whatever its place.
    assert!(!ReaderWatch::new(at(0)).is_heard(2, at(1_300)));
    assert!(!ReaderWatch::new(at(0)).is_heard(11, at(1_700)));
}

#[test]
fn reader_does_not_rely_on_the_one_that_stands_in_for_it() {
    let mut watch = ReaderWatch::new(at(0));
    watch.take(&beat_of("c", 1, 7), &beat_of("b", 1, 7), at(2_000));
    assert!(!watch.is_heard(1, at(2_100)));
}

macro_rules! beats {
    ($($name:ident: [$(($theirs:expr, $own:expr)),*] => $effect:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut watch = ReaderWatch::new(at(0));
            let effects = [$(watch.take(&$theirs, &$own, at(100))),*];
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
