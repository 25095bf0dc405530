//! A load of reads and claims while a router is drained, killed or frozen, or a target truncates
//! responses: no claim runs twice, no request that was reported as not run has run, and no response
//! goes to another request.

use std::thread;
use std::time::Duration;

use anvilrack_fakes::TargetFaults;
use anvilrack_harness::Deployment;
use anvilrack_load::{LoadReport, run_load};

/// Time between the start of the load and the fault.
const FAULT_AFTER: Duration = Duration::from_millis(800);

macro_rules! fault_cases {
    ($($name:ident: $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let report = run_load_with_fault($fault);
                assert!(report.is_clean(), "{report}");
                assert!(report.ran > 0, "{report}");
            }
        )*
    };
}

fault_cases! {
    router_is_drained: |deployment| deployment.routers[1].terminate();
    router_is_killed: |deployment| deployment.routers[1].kill();
    router_is_frozen_and_resumed: |deployment| {
        deployment.routers[1].freeze();
        thread::sleep(Duration::from_millis(900));
        deployment.routers[1].resume();
    };
    responses_are_cut_short: |deployment| {
        let cut_short = TargetFaults { cut_short: true, ..TargetFaults::default() };
        deployment.set_target_faults(1, &cut_short).unwrap();
    };
}

fn run_load_with_fault(fault: impl FnOnce(&mut Deployment)) -> LoadReport {
    let mut deployment = Deployment::new("bookings", 3).unwrap();
    deployment.await_ready().unwrap();
    let options = deployment.load();
    let history = thread::scope(|scope| {
        let load = scope.spawn(|| run_load(&options));
        thread::sleep(FAULT_AFTER);
        fault(&mut deployment);
        load.join().unwrap()
    });
    deployment.check_history(&history).unwrap()
}
