//! Repeated planned moves of shards: none may lose its owner permanently, and no claim may run
//! twice.

use std::thread;
use std::time::Duration;

use anvilrack_harness::FailureTrial;

/// Number of drains and restarts; each moves a router's shards away and back.
const ROUNDS: usize = 4;

macro_rules! move_cases {
    ($($name:ident: $routers:literal routers;)*) => {
        $(
            #[test]
            fn $name() {
                let mut trial = FailureTrial::new($routers)
                    .unwrap()
                    .with_load(Duration::from_secs(12));
                let report = trial.run(|deployment| {
                    for _ in 0..ROUNDS {
                        let owner = deployment.owner_without_role()?;
                        deployment.drain(owner)?;
                        thread::sleep(Duration::from_millis(1_200));
                        deployment.restart_router(owner)?;
                        thread::sleep(Duration::from_millis(1_200));
                    }
                    Ok(())
                });
                println!("{}", report.unwrap());
            }
        )*
    };
}

move_cases! {
    shards_move_away_and_back_repeatedly: 6 routers;
}
