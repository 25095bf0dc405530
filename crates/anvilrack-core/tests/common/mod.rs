//! Fixtures shared by several test files.

use std::time::Duration;

use anvilrack_core::{CellMember, Incarnation, LeaseTerms};

/// Returns the lease terms that the tests assume; independent of the defaults, which may change.
pub fn terms() -> LeaseTerms {
    LeaseTerms {
        lease: Duration::from_secs(1),
        drift_margin: Duration::from_millis(50),
        heartbeat: Duration::from_millis(200),
        authority: Duration::from_millis(1_200),
        promise: Duration::from_millis(1_200),
        takeover_after: Duration::from_millis(700),
        max_outage: Duration::from_hours(24),
        store_unavailable_after: Duration::from_millis(1_500),
    }
}

/// Returns a member that is alone in its failure domain, which is named after it.
pub fn member(node: &str, incarnation: Incarnation) -> CellMember {
    CellMember {
        node: node.into(),
        incarnation,
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: node.into(),
        region: "centro".into(),
        leaving: false,
    }
}
