//! When a router may acknowledge that its target is leaving.

use std::time::Duration;

use super::DepartureVersion;

/// Time for which the store alone is waited for.
const STORE_WAIT: Duration = Duration::from_millis(300);

/// Time after which the target is not told that the router knows.
///
/// Targets wait a second for an acknowledgement, then they repeat the call.
const MAX_WAIT: Duration = Duration::from_millis(750);

/// Number of other routers that have to keep a departure that the store does not have.
const MIN_KEEPERS: usize = 2;

/// Where the departures of a router's targets are kept besides in its own memory.
///
/// An acknowledgement binds the next process too, which learns of it from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartureReceipt {
    stored: DepartureVersion,
    /// Latest version that the store did not take.
    not_stored: DepartureVersion,
    kept: DepartureVersion,
}

/// Where a departure is kept that may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureKeeper {
    /// The platform's store.
    Store,
    /// Other routers.
    Routers,
}

/// The next step towards an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptStep {
    /// Acknowledge.
    Acknowledge(DepartureKeeper),
    /// Decide again after this time, or once the receipt has changed.
    Wait(Duration),
    /// Do not acknowledge; the target repeats the call.
    Refuse,
}

impl DepartureKeeper {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Routers => "routers",
        }
    }
}

impl DepartureReceipt {
    /// Records that the store has the departures up to `version`.
    pub fn on_stored(&mut self, version: DepartureVersion) {
        self.stored = self.stored.max(version);
    }

    /// Records that the store did not take the departures up to `version`.
    pub fn on_not_stored(&mut self, version: DepartureVersion) {
        self.not_stored = self.not_stored.max(version);
    }

    /// Records that of `asked` routers, `confirmed` keep the departures up to `version`.
    pub fn on_kept(&mut self, version: DepartureVersion, confirmed: usize, asked: usize) {
        if asked > 0 && confirmed >= MIN_KEEPERS.min(asked) {
            self.kept = self.kept.max(version);
        }
    }

    /// Records that the store has lost what it had.
    pub fn on_store_restored(&mut self) {
        self.stored = 0;
    }

    /// Returns whether the store has the departures up to `version`.
    #[must_use]
    pub fn is_stored(&self, version: DepartureVersion) -> bool {
        self.stored >= version
    }

    /// Returns whether other routers keep the departures up to `version`.
    #[must_use]
    pub fn is_kept(&self, version: DepartureVersion) -> bool {
        self.kept >= version
    }

    /// Decides whether a departure of `version` is acknowledged, `waited` after the target said that it is leaving.
    #[must_use]
    pub fn step(&self, version: DepartureVersion, waited: Duration) -> ReceiptStep {
        if self.is_stored(version) {
            return ReceiptStep::Acknowledge(DepartureKeeper::Store);
        }
        let is_store_late = waited >= STORE_WAIT || self.not_stored >= version;
        if is_store_late && self.is_kept(version) {
            return ReceiptStep::Acknowledge(DepartureKeeper::Routers);
        }
        if waited >= MAX_WAIT {
            return ReceiptStep::Refuse;
        }
        let until = if waited < STORE_WAIT {
            STORE_WAIT
        } else {
            MAX_WAIT
        };
        ReceiptStep::Wait(until.saturating_sub(waited))
    }
}
