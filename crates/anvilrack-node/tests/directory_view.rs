//! Tests of which routers a directory view contains, during store outages and after restarts.

use std::time::Duration;

use anvilrack_node::directory::{
    DirectoryEntry, DirectoryView, ENTRY_PREFIX, StoreChange, StoreItem, latest_changes,
};
use anvilrack_node::peers::{PeerLocation, TargetStatus};
use anvilrack_wire::encode;

fn entry(node: &str, run: u64, version: u64) -> DirectoryEntry {
    DirectoryEntry {
        place: PeerLocation {
            node: node.into(),
            address: ([127, 0, 0, 1], 7000).into(),
            failure_domain: "norte-a".into(),
            region: "norte".into(),
        },
        run,
        version,
        service: "views".into(),
        target: Some(TargetStatus {
            incarnation: 1,
            slots: 12,
            ready: true,
            cold_ms: 0,
        }),
        stopping: false,
    }
}

fn names(view: &DirectoryView) -> Vec<String> {
    view.entries()
        .map(|entry| entry.place.node.to_string())
        .collect()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn older_entry_of_a_run_is_ignored() {
    let mut view = DirectoryView::default();
    assert!(view.insert_newer(entry("a", 5, 2)));
    assert!(!view.insert_newer(entry("a", 5, 1)));
    assert!(!view.insert_newer(entry("a", 4, 9)));
}

#[test]
fn identical_entry_changes_nothing() {
    let mut view = DirectoryView::default();
    assert!(view.insert_newer(entry("a", 5, 2)));
    assert!(!view.insert_newer(entry("a", 5, 2)));
}

#[test]
fn expired_entries_are_kept_for_a_grace_period() {
    let mut view = DirectoryView::default();
    view.insert_newer(entry("a", 5, 1));
    view.insert_newer(entry("b", 5, 1));
    view.mark_expired("a", at(1_000));
    view.mark_expired("b", at(1_000));
    assert!(view.remove_expired(at(2_900)).is_empty());
    view.insert_newer(entry("a", 5, 1));
    let gone = view.remove_expired(at(3_600));
    assert_eq!(gone, vec!["b".into()]);
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn router_cut_off_from_the_store_is_kept_while_it_replies() {
    let mut view = DirectoryView::default();
    view.insert_newer(entry("a", 5, 1));
    view.insert_newer(entry("b", 5, 1));
    view.mark_expired("a", at(1_000));
    view.mark_expired("b", at(1_000));
    // A confirmation by the router itself does not put the entry back into the store.
    assert!(!view.confirm(entry("a", 5, 1), at(3_000)));
    assert!(view.is_expired("a"));
    assert_eq!(view.remove_expired(at(3_600)), vec!["b".into()]);
    assert!(view.confirm(entry("a", 5, 2), at(5_000)));
    assert_eq!(view.expired_addresses().count(), 1);
    assert!(view.remove_expired(at(7_400)).is_empty());
    assert_eq!(view.remove_expired(at(7_600)), vec!["a".into()]);
}

#[test]
fn router_missing_from_a_full_list_expires() {
    let mut view = DirectoryView::default();
    view.insert_newer(entry("a", 5, 1));
    view.insert_newer(entry("b", 5, 1));
    view.mark_unlisted_expired(&["b".into()], at(0));
    assert_eq!(view.remove_expired(at(2_600)), vec!["a".into()]);
}

#[test]
fn run_with_an_earlier_clock_is_accepted_after_expiry() {
    let mut view = DirectoryView::default();
    view.insert_newer(entry("a", 5_000, 3));
    assert!(!view.insert_newer(entry("a", 3_000, 1)));
    view.mark_expired("a", at(0));
    assert!(view.insert_newer(entry("a", 3_000, 1)));
    assert!(view.remove_expired(at(9_000)).is_empty());
}

#[test]
fn stopping_router_or_missing_target_is_not_ready() {
    let mut stopping = entry("a", 1, 1);
    stopping.stopping = true;
    assert!(!stopping.is_ready());
    let mut silent = entry("a", 1, 1);
    silent.target = None;
    assert!(!silent.is_ready());
    assert!(entry("a", 1, 1).is_ready());
}

/// An entry that was removed and written again at once was passed on as removed.
#[test]
fn latest_of_several_changes_of_an_entry_counts() {
    let written = |node: &str| {
        StoreChange::Written(StoreItem {
            key: format!("{ENTRY_PREFIX}{node}").into(),
            value: encode(&entry(node, 1, 1)).unwrap().into(),
            revision: 1,
        })
    };
    let removed = |node: &str| StoreChange::Removed(format!("{ENTRY_PREFIX}{node}").into());
    let changes = vec![removed("a"), written("b"), written("a"), removed("b")];
    let updates = latest_changes(changes);
    let names: Vec<_> = updates.entries.iter().map(|e| &*e.place.node).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(updates.lapsed, ["b".into()]);
}
