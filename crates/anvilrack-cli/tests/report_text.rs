//! Snapshot tests of the text reports for operators.

use anvilrack_cli::report_text::{explanation_text, status_text};
use serde_json::json;

#[test]
fn status_lists_cells_and_problems() {
    let status = json!({
        "node": "router-2", "service": "bookings", "region": "norte",
        "failure_domain": "norte-b", "target_ready": false, "leaving": false,
        "held_shards": 0, "in_flight": 0, "lease_left_ms": 812, "coordinates": false,
        "config_revision": 7,
        "cells": [{
            "service": "bookings", "coordinator": "router-1",
            "standbys": ["router-3", "router-5"], "members": 6, "shards": 96, "unowned": 0,
        }],
        "findings": [{
            "what": "router-2: its target is not ready",
            "being_done": "its shards move to other members",
            "for_a_person": "check the target on the next working day",
        }],
    });
    insta::assert_snapshot!(status_text(&status));
}

#[test]
fn explanation_shows_reason_and_shard_counts() {
    let explanation = json!({
        "service": "bookings", "key": "trip-17", "shard": 41, "owner": "router-3",
        "owner_address": "10.0.0.3:21200", "token": 311, "why": "lease-lapsed",
        "owner_for_seconds": 62, "owner_before": "router-2", "coordinator": "router-1",
        "shards_by_member_then": [["router-1", 19], ["router-3", 20]],
    });
    insta::assert_snapshot!(explanation_text(&explanation));
}
