//! Tests of what a router knows about newer site documents, and of its sources for them.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{SiteProgress, SiteSource};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn router(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7000).into()
}

/// The sources of consecutive attempts that fail.
fn sources(progress: &mut SiteProgress, now: Duration, count: usize) -> Vec<SiteSource> {
    let attempt = |_| {
        let source = progress.next_source(now).unwrap();
        progress.on_failure(source);
        source
    };
    (0..count).map(attempt).collect()
}

#[test]
fn newer_document_is_requested_immediately() {
    let mut progress = SiteProgress::default();
    progress.on_applied(3, at(0));
    assert!(progress.on_named(4, Some(router(1)), at(100)));
    assert_eq!(progress.behind_for(at(250)), Some(at(150)));
    assert_eq!(
        progress.next_source(at(100)),
        Some(SiteSource::Reader(router(1)))
    );
}

#[test]
fn older_or_equal_document_is_not_requested() {
    let mut progress = SiteProgress::default();
    progress.on_applied(3, at(0));
    for version in [2, 3] {
        assert!(!progress.on_named(version, Some(router(1)), at(100)));
        assert_eq!(progress.behind_for(at(200)), None);
        assert_eq!(progress.next_source(at(200)), None);
    }
}

#[test]
fn router_without_a_document_requests_any() {
    let mut progress = SiteProgress::default();
    assert!(progress.on_named(1, Some(router(1)), at(0)));
    assert!(progress.next_source(at(0)).is_some());
}

#[test]
fn version_that_is_named_again_is_reported_once() {
    let mut progress = SiteProgress::default();
    progress.on_applied(3, at(0));
    assert!(progress.on_named(5, None, at(100)));
    assert!(!progress.on_named(5, None, at(200)));
    assert!(!progress.on_named(4, None, at(300)));
    assert_eq!(progress.newest(), Some(5));
    assert_eq!(progress.behind_for(at(300)), Some(at(200)));
}

#[test]
fn router_is_behind_until_it_has_the_newest_version() {
    let mut progress = SiteProgress::default();
    progress.on_applied(3, at(0));
    progress.on_named(5, None, at(100));
    progress.on_applied(4, at(200));
    assert_eq!(progress.behind_for(at(300)), Some(at(200)));
    progress.on_applied(5, at(400));
    assert_eq!(progress.behind_for(at(500)), None);
    assert_eq!(progress.in_force_for(at(500)), Some(at(100)));
}

#[test]
fn version_never_goes_back() {
    let mut progress = SiteProgress::default();
    progress.on_applied(5, at(0));
    progress.on_applied(4, at(100));
    assert_eq!(progress.version(), Some(5));
    assert_eq!(progress.in_force_for(at(200)), Some(at(200)));
}

#[test]
fn consecutive_attempts_use_different_sources() {
    let mut progress = SiteProgress::default();
    progress.on_named(4, Some(router(1)), at(0));
    let reader = SiteSource::Reader(router(1));
    assert_eq!(
        sources(&mut progress, at(0), 4),
        [
            reader,
            SiteSource::SameDomain,
            reader,
            SiteSource::OtherDomain
        ]
    );
}

#[test]
fn busy_source_is_asked_again_until_the_store_is_due() {
    let mut progress = SiteProgress::default();
    progress.on_named(4, Some(router(1)), at(0));
    // A reply that the link is occupied is no failure.
    for ms in [0, 300, 700] {
        let source = progress.next_source(at(ms));
        assert_eq!(source, Some(SiteSource::Reader(router(1))));
    }
    assert_eq!(progress.next_source(at(900)), Some(SiteSource::Store));
}

#[test]
fn store_and_routers_take_turns_once_the_store_is_due() {
    let mut progress = SiteProgress::default();
    progress.on_named(4, Some(router(1)), at(0));
    assert!(!sources(&mut progress, at(700), 8).contains(&SiteSource::Store));
    let taken = sources(&mut progress, at(1_000), 6);
    let is_store: Vec<_> = taken.iter().map(|s| *s == SiteSource::Store).collect();
    assert_eq!(is_store, [true, false, true, false, true, false]);
}

/// A document has to be in force within two seconds; reading and applying it takes part of that.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Additional time if the store does not reply, as the deployments allow.
const MAX_SKEW: Duration = Duration::from_secs(5);

/// The time that an attempt takes if the source is silent.
const SILENT_ATTEMPT: Duration = Duration::from_millis(500);

macro_rules! single_source_tests {
    ($($name:ident: $source:pat, $max_wait:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut progress = SiteProgress::default();
            progress.on_named(4, Some(router(1)), at(0));
            let mut now = at(0);
            loop {
                let source = progress.next_source(now).unwrap();
                if matches!(source, $source) {
                    break;
                }
                progress.on_failure(source);
                now += SILENT_ATTEMPT + progress.retry_pause(now);
            }
            assert!(now <= $max_wait, "asked after {now:?}");
        }
    )*};
}

// All other sources are silent.
single_source_tests! {
    only_the_reader_replies: SiteSource::Reader(_), at(0);
    only_the_failure_domain_replies: SiteSource::SameDomain, MAX_WAIT;
    only_the_store_replies: SiteSource::Store, MAX_WAIT;
    only_other_failure_domains_reply: SiteSource::OtherDomain, MAX_WAIT + MAX_SKEW;
}

#[test]
fn pauses_are_short_within_the_bound_and_long_after_it() {
    let mut progress = SiteProgress::default();
    progress.on_named(4, None, at(0));
    assert_eq!(progress.retry_pause(at(100)), at(40));
    assert_eq!(progress.retry_pause(at(2_000)), at(250));
    assert_eq!(progress.retry_pause(at(60_000)), at(1_000));
}
