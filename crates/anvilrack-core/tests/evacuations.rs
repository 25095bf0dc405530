//! Which set of evacuated failure domains is in force, and for how long owners serve their keys.

use std::time::Duration;

use anvilrack_core::{
    BootTime, DomainName, EvacuatedDomain, EvacuationChange, EvacuationSet, Evacuations,
    StoreReading, StoreStamp,
};

const BOUND: Duration = Duration::from_secs(5);

/// Part of the bound for which keys may be served if the request was seen as it was written.
const HANDOVER: Duration = Duration::from_secs(3);

macro_rules! evacuation_cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() $body)*
    };
}

fn at(ms: u64) -> BootTime {
    Duration::from_millis(ms)
}

fn stamp(era: u64, revision: u64) -> StoreStamp {
    StoreStamp { era, revision }
}

/// Returns a set as another router sends it.
fn sent(era: u64, revision: u64, domains: &[&str]) -> EvacuationSet {
    let domains = domains.iter().map(|domain| EvacuatedDomain {
        domain: (*domain).into(),
        keys_left: HANDOVER,
    });
    EvacuationSet {
        stamp: stamp(era, revision),
        domains: domains.collect(),
    }
}

fn names(domains: &[&str]) -> Vec<DomainName> {
    domains.iter().map(|domain| (*domain).into()).collect()
}

fn evacuations() -> Evacuations {
    Evacuations::new("a".into(), BOUND)
}

/// Returns the view of a router that has known since second 1 that none is evacuated.
fn without_evacuation() -> Evacuations {
    let mut evacuations = evacuations();
    evacuations.apply(&sent(1, 10, &[]), at(1_000));
    evacuations
}

evacuation_cases! {
    /// A message that was overtaken must not bring an evacuation back that has ended, or the reverse.
    older_set_is_ignored => {
        let mut evacuations = without_evacuation();
        assert!(evacuations.apply(&sent(1, 12, &["a"]), at(2_000)).is_some());
        assert_eq!(evacuations.apply(&sent(1, 11, &[]), at(2_100)), None);
        assert_eq!(evacuations.apply(&sent(1, 12, &[]), at(2_200)), None);
        assert!(evacuations.is_evacuated("a"));
    }

    /// An empty set must end the evacuations of an older one.
    empty_set_ends_evacuations => {
        let mut evacuations = without_evacuation();
        evacuations.apply(&sent(1, 12, &["a", "b"]), at(2_000));
        let change = evacuations.apply(&sent(1, 13, &[]), at(3_000)).expect("it is newer");
        assert_eq!(change.ended, names(&["a", "b"]));
        assert!(!evacuations.is_evacuated("a") && !evacuations.refuses(false, at(3_000)));
        assert_eq!(evacuations.own_ended_at(), Some(at(3_000)));
    }

    /// A restored store counts its revisions anew from a smaller one, and may have lost the key.
    newer_era_wins_with_a_smaller_revision => {
        let mut evacuations = without_evacuation();
        evacuations.apply(&sent(1, 900, &["a"]), at(2_000));
        assert!(evacuations.apply(&sent(2, 3, &[]), at(3_000)).is_some());
        assert_eq!(evacuations.apply(&sent(1, 901, &["a"]), at(3_100)), None);
        assert!(!evacuations.is_evacuated("a"));
    }

    /// A set that only names a newer state of the store must not cause work or messages.
    newer_set_with_the_same_domains_changes_nothing => {
        let mut evacuations = without_evacuation();
        evacuations.apply(&sent(1, 12, &["b"]), at(2_000));
        let change = evacuations.apply(&sent(1, 50, &["b"]), at(2_500)).expect("it is newer");
        assert!(change.is_empty());
    }

    /// The first set must be told from none, also if it is empty.
    first_set_is_a_change => {
        let mut evacuations = evacuations();
        assert!(!evacuations.is_known() && evacuations.set(at(0)).is_none());
        let change = evacuations.apply(&sent(0, 0, &[]), at(100));
        assert_eq!(change, Some(EvacuationChange { is_first: true, ..EvacuationChange::default() }));
        assert!(evacuations.is_known());
    }

    /// Keys must be served by their owner until they have moved, but no longer than the bound allows.
    keys_are_served_for_a_part_of_the_bound => {
        let mut evacuations = without_evacuation();
        let set = evacuations.stored_set(stamp(1, 12), names(&["a"]), StoreReading::Watch);
        evacuations.apply(&set, at(2_000));
        assert!(evacuations.refuses(false, at(2_000)));
        assert!(!evacuations.refuses(true, at(4_999)));
        assert!(evacuations.refuses(true, at(5_000)));
    }

    /// A reader that replaces another one may see a request only seconds after it was written.
    late_reading_leaves_less_time_for_keys => {
        let mut evacuations = without_evacuation();
        let set = evacuations.stored_set(stamp(1, 12), names(&["a"]), StoreReading::List);
        evacuations.apply(&set, at(4_000));
        assert!(!evacuations.refuses(true, at(4_999)) && evacuations.refuses(true, at(5_000)));
    }

    /// A router that starts does not know for how long the domain has been evacuated.
    first_reading_leaves_no_time_for_keys => {
        let mut evacuations = evacuations();
        let set = evacuations.stored_set(stamp(1, 12), names(&["a"]), StoreReading::List);
        evacuations.apply(&set, at(9_000));
        assert!(evacuations.refuses(true, at(9_000)));
    }

    /// The time left for keys must not grow on the way from router to router.
    time_left_for_keys_is_passed_on => {
        let (mut first, mut second) = (without_evacuation(), evacuations());
        let set = first.stored_set(stamp(1, 12), names(&["a"]), StoreReading::Watch);
        first.apply(&set, at(2_000));
        // The clocks of two machines differ.
        second.apply(&first.set(at(4_000)).expect("it is known"), at(70_000));
        assert_eq!(second.own_keys_until(), Some(at(71_000)));
        let mut absurd = sent(1, 13, &["a"]);
        absurd.domains[0].keys_left = Duration::from_hours(1);
        let mut third = evacuations();
        third.apply(&absurd, at(2_000));
        assert_eq!(third.own_keys_until(), Some(at(2_000) + HANDOVER));
    }

    /// A second reading of the same evacuation, or one of another domain, must not start the time anew.
    known_evacuation_keeps_its_time => {
        let mut evacuations = without_evacuation();
        evacuations.apply(&sent(1, 12, &["a"]), at(2_000));
        evacuations.apply(&sent(1, 14, &["a", "b"]), at(4_000));
        assert_eq!(evacuations.own_keys_until(), Some(at(5_000)));
    }

    /// A domain that is evacuated twice gets the time for its keys twice.
    second_evacuation_begins_anew => {
        let mut evacuations = without_evacuation();
        evacuations.apply(&sent(1, 12, &["a"]), at(2_000));
        evacuations.apply(&sent(1, 13, &[]), at(20_000));
        assert_eq!(evacuations.own_ended_at(), Some(at(20_000)));
        evacuations.apply(&sent(1, 14, &["a"]), at(30_000));
        assert_eq!(evacuations.own_keys_until(), Some(at(33_000)));
        assert_eq!(evacuations.own_ended_at(), None);
    }

    /// The end of another domain's evacuation says nothing about the own one.
    end_of_another_domain_is_not_the_own_end => {
        let mut evacuations = without_evacuation();
        evacuations.apply(&sent(1, 12, &["b"]), at(2_000));
        assert!(!evacuations.refuses(false, at(2_000)));
        evacuations.apply(&sent(1, 13, &[]), at(3_000));
        assert_eq!(evacuations.own_ended_at(), None);
    }
}
