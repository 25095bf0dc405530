//! Which routes carry the calls of targets, judged by where their requests enter.

use std::sync::Arc;

use anvilrack_core::{CallRoutes, ServiceName};

/// Records requests of one route that enter beside targets of one service.
fn record(routes: &mut CallRoutes, service: &str, router_share: f64, count: u32) {
    let (route, service): (Arc<str>, ServiceName) = ("check".into(), service.into());
    for _ in 0..count {
        routes.record(&route, &service, || router_share);
    }
}

#[test]
fn few_requests_prove_nothing() {
    let mut routes = CallRoutes::default();
    record(&mut routes, "views", 0.5, 8);
    assert!(!routes.is_call("check"));
}

#[test]
fn requests_that_enter_beside_one_service_are_calls() {
    let mut routes = CallRoutes::default();
    record(&mut routes, "views", 0.5, 20);
    assert!(routes.is_call("check"));
}

#[test]
fn request_that_enters_elsewhere_is_from_a_caller() {
    let mut routes = CallRoutes::default();
    record(&mut routes, "views", 0.5, 20);
    record(&mut routes, "bookings", 0.5, 1);
    assert!(!routes.is_call("check"));
}

#[test]
fn nothing_is_a_call_where_there_is_one_service() {
    let mut routes = CallRoutes::default();
    record(&mut routes, "views", 1.0, 1_000);
    assert!(!routes.is_call("check"));
}
