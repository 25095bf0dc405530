//! One fault under load, judged by what was recorded.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_load::{LoadOptions, LoadReport, run_load};
use eyre::{bail, ensure};

use crate::{Deployment, KeyProbe};

/// Load before the fault, so that requests are in flight when it comes.
const LEAD_IN: Duration = Duration::from_millis(700);

/// Longest time that a deployment may take to serve every key again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// A deployment under load while a fault happens.
///
/// The verdict rests on the recorded history and on recovery in the end, never on how long one step
/// took.
#[derive(Debug)]
pub struct FailureTrial {
    /// The deployment.
    pub deployment: Deployment,
    options: LoadOptions,
}

impl FailureTrial {
    /// Starts `routers` routers of one service and waits until they serve.
    ///
    /// # Errors
    ///
    /// Where the deployment does not become ready.
    pub fn new(routers: usize) -> eyre::Result<Self> {
        Self::with_deployment(Deployment::new("bookings", routers)?)
    }

    /// Waits until a deployment that you started serves.
    ///
    /// # Errors
    ///
    /// Where the deployment does not become ready.
    pub fn with_deployment(mut deployment: Deployment) -> eyre::Result<Self> {
        deployment.await_ready()?;
        let options = deployment.load();
        Ok(Self {
            deployment,
            options,
        })
    }

    /// Sets how long the load lasts.
    #[must_use]
    pub fn with_load(mut self, duration: Duration) -> Self {
        self.options.duration = duration;
        self
    }

    /// Sets the number of different keys.
    #[must_use]
    pub fn with_keys(mut self, keys: u32) -> Self {
        self.options.keys = keys;
        self
    }

    /// Runs the load with the fault in it, waits for every key to be served, and judges.
    ///
    /// # Errors
    ///
    /// Where the fault cannot be made, a key stays unserved, or the history is not clean.
    pub fn run<F>(&mut self, fault: F) -> eyre::Result<LoadReport>
    where
        F: FnOnce(&mut Deployment) -> eyre::Result<()>,
    {
        let options = self.options.clone();
        let load = thread::spawn(move || run_load(&options));
        thread::sleep(LEAD_IN);
        fault(&mut self.deployment)?;
        let Ok(history) = load.join() else {
            bail!("the load broke off");
        };
        self.await_recovery()?;
        let report = self.deployment.judge(&history)?;
        ensure!(report.is_clean(), "the history is not clean:\n{report}");
        ensure!(report.ran > 0, "nothing ran:\n{report}");
        Ok(report)
    }

    /// Waits until each router that runs serves every key.
    fn await_recovery(&mut self) -> eyre::Result<()> {
        let probe = KeyProbe::new(&self.options);
        let callers = self.deployment.running_callers();
        let until = Instant::now() + RECOVERY_LIMIT;
        loop {
            let unserved = probe.unserved(&callers);
            if unserved.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                bail!("not served after {RECOVERY_LIMIT:?}: {unserved:?}");
            }
        }
    }
}
