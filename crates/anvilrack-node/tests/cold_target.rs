//! What the gateway reports about a target that is cold, or expected to be.

use std::time::Duration;

use anvilrack_core::{ColdRules, RequestRate};
use anvilrack_limits::MemoryPool;
use anvilrack_node::guard::{NotificationKind, TargetGateway, TargetNotification};
use anvilrack_router::boot_clock;

const RATE: RequestRate = 7.8;

fn heartbeat(id: &str, sequence: u64, cold_ms: Option<u64>) -> TargetNotification {
    TargetNotification {
        id: id.into(),
        started_ms: Some(1_000),
        kind: NotificationKind::Alive {
            service: "views".into(),
            sequence,
            slots: 8,
            draining: false,
            cold_for: cold_ms.map(Duration::from_millis),
        },
    }
}

fn gateway(rules: Option<ColdRules>) -> TargetGateway {
    let gateway = TargetGateway::new(([127, 0, 0, 1], 9).into(), 100, MemoryPool::new(1_000));
    gateway.set_cold_rules(rules);
    // The router has no former process.
    gateway.end_departure_reading();
    gateway
}

fn rules() -> ColdRules {
    ColdRules {
        rate: RATE,
        cold_start: Duration::from_secs(3),
    }
}

fn is_cold(gateway: &TargetGateway) -> bool {
    let is_cold = !gateway.cold_remaining(boot_clock::now()).is_zero();
    assert_eq!(gateway.target_load().cold_ms > 0, is_cold);
    is_cold
}

/// Guards against a target that gets its usual load after an evacuation, while it is still cold.
#[test]
fn expected_target_is_cold_until_it_reports() {
    let gateway = gateway(Some(rules()));
    gateway.apply_notification(&heartbeat("t-0", 1, Some(0)), "views");
    assert!(!is_cold(&gateway));
    gateway.expect_cold(boot_clock::now());
    assert!(is_cold(&gateway));
    let rate = gateway.cold_rate_per_ten_seconds(boot_clock::now());
    assert_eq!(rate, Some(78));
    gateway.apply_notification(&heartbeat("t-0", 2, Some(0)), "views");
    assert!(!is_cold(&gateway));
}

/// Guards against a notification that arrives late and makes a cold target warm.
#[test]
fn outdated_notification_does_not_change_the_remaining_time() {
    let gateway = gateway(Some(rules()));
    gateway.apply_notification(&heartbeat("t-0", 5, Some(2_000)), "views");
    gateway.apply_notification(&heartbeat("t-0", 4, Some(0)), "views");
    assert!(is_cold(&gateway));
    gateway.apply_notification(&heartbeat("t-0", 6, Some(0)), "views");
    assert!(!is_cold(&gateway));
}

/// Guards against a new incarnation that counts as warm because it does not say that it is cold.
#[test]
fn incarnation_without_a_statement_is_cold() {
    let gateway = gateway(Some(rules()));
    gateway.apply_notification(&heartbeat("t-0", 1, None), "views");
    assert!(is_cold(&gateway));
}

/// Guards against limits and checks for a service that has no limit on cold targets.
#[test]
fn service_without_a_limit_has_no_cold_targets() {
    let gateway = gateway(None);
    gateway.apply_notification(&heartbeat("t-0", 1, Some(2_000)), "views");
    gateway.expect_cold(boot_clock::now());
    assert!(!is_cold(&gateway));
    assert_eq!(gateway.cold_rate_per_ten_seconds(boot_clock::now()), None);
}
