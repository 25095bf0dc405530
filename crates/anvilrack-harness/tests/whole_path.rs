//! Requests from callers through routers to the owners' targets and back, in real processes.

use std::time::Duration;

use anvilrack_harness::Deployment;
use anvilrack_load::run_load;

/// Long enough that a slow machine alone causes no timeout.
const TIMEOUT: Duration = Duration::from_secs(30);

macro_rules! whole_path_cases {
    ($($name:ident: $routers:literal routers;)*) => {
        $(
            #[test]
            fn $name() {
                assert_served_through_any_router($routers);
            }
        )*
    };
}

whole_path_cases! {
    one_router_serves_its_own_target: 1 routers;
    six_routers_reach_the_owner: 6 routers;
}

fn assert_served_through_any_router(routers: usize) {
    let mut deployment = Deployment::new("bookings", routers).unwrap();
    deployment.await_ready().unwrap();
    let mut load = deployment.load();
    load.timeout = TIMEOUT;
    let history = run_load(&load);
    let report = deployment.check_history(&history).unwrap();
    assert!(report.is_clean(), "{report}");
    assert!(report.ran > 0, "{report}");
    assert_eq!(report.may_have_run, 0, "{report}");
}
