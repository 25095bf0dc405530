//! A fault injected under load, and the check of the history that the load recorded.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_load::{LoadOptions, LoadReport, run_load};
use eyre::{bail, ensure};

use crate::{Deployment, KeyProbe};

/// Time between the start of the load and the fault, so that requests are in flight.
const LOAD_BEFORE_FAULT: Duration = Duration::from_millis(700);

/// Maximum time for the deployment to serve every key again after the load.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// A deployment to which a fault is applied while it is under load.
///
/// A trial passes or fails by the recorded history and by recovery at the end, never by how long a
/// single step took.
#[derive(Debug)]
pub struct FailureTrial {
    /// The deployment under test.
    pub deployment: Deployment,
    options: LoadOptions,
}

impl FailureTrial {
    /// Starts `routers` routers of one service and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment does not become ready.
    pub fn new(routers: usize) -> eyre::Result<Self> {
        Self::with_deployment(Deployment::new("bookings", routers)?)
    }

    /// Creates a trial on a running deployment, and waits until the deployment is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment does not become ready.
    pub fn with_deployment(mut deployment: Deployment) -> eyre::Result<Self> {
        deployment.await_ready()?;
        let options = deployment.load();
        Ok(Self {
            deployment,
            options,
        })
    }

    /// Sets the duration of the load.
    #[must_use]
    pub fn with_load(mut self, duration: Duration) -> Self {
        self.options.duration = duration;
        self
    }

    /// Sets the number of distinct keys in the load.
    #[must_use]
    pub fn with_keys(mut self, keys: u32) -> Self {
        self.options.keys = keys;
        self
    }

    /// Runs the load, calls `fault` during it, waits until every key is served, and checks the
    /// history.
    ///
    /// # Errors
    ///
    /// Returns an error if `fault` fails, a key stays unserved, or the history is not clean.
    pub fn run<F>(&mut self, fault: F) -> eyre::Result<LoadReport>
    where
        F: FnOnce(&mut Deployment) -> eyre::Result<()>,
    {
        let options = self.options.clone();
        let load = thread::spawn(move || run_load(&options));
        thread::sleep(LOAD_BEFORE_FAULT);
        fault(&mut self.deployment)?;
        let Ok(history) = load.join() else {
            bail!("the load generator panicked");
        };
        self.await_recovery()?;
        let report = self.deployment.check_history(&history)?;
        ensure!(
            report.is_clean(),
            "the history is not clean:\n{report}\n{}",
            self.deployment.describe_owner_conflicts()?
        );
        ensure!(report.ran > 0, "no request ran:\n{report}");
        Ok(report)
    }

    /// Waits until every key is served through the running routers.
    fn await_recovery(&mut self) -> eyre::Result<()> {
        let probe = KeyProbe::new(&self.options);
        let callers = self.deployment.running_caller_addresses();
        let until = Instant::now() + RECOVERY_TIMEOUT;
        loop {
            let unserved = probe.unserved(&callers);
            if unserved.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                bail!("keys still not served after {RECOVERY_TIMEOUT:?}: {unserved:?}");
            }
        }
    }
}
