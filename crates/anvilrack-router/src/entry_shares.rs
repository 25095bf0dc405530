//! Callers' workers, shared fairly.

use std::sync::{Arc, Mutex, PoisonError};

use anvilrack_core::{FairShare, ServiceName};

/// Keeps a slow service or a greedy caller from taking all workers of a router.
#[derive(Debug)]
pub struct EntryShares {
    shares: Mutex<HeldShares>,
}

#[derive(Debug)]
struct HeldShares {
    services: FairShare,
    callers: FairShare,
}

/// One worker in use for a service and a caller; dropping it ends the use.
#[derive(Debug)]
pub struct EntryPlace<'a> {
    shares: &'a EntryShares,
    service: ServiceName,
    caller: Arc<str>,
}

impl EntryShares {
    /// You give the number of callers' workers.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        let shares = HeldShares {
            services: FairShare::new(workers),
            callers: FairShare::new(workers),
        };
        Self {
            shares: Mutex::new(shares),
        }
    }

    /// Takes a worker, where both the service and the caller are within their shares.
    #[must_use]
    pub fn enter(&self, service: &ServiceName, caller: &Arc<str>) -> Option<EntryPlace<'_>> {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        if !shares.services.enter(service) {
            return None;
        }
        if !shares.callers.enter(caller) {
            shares.services.leave(service);
            return None;
        }
        Some(EntryPlace {
            shares: self,
            service: service.clone(),
            caller: caller.clone(),
        })
    }
}

impl Drop for EntryPlace<'_> {
    fn drop(&mut self) {
        let shares = &self.shares.shares;
        let mut shares = shares.lock().unwrap_or_else(PoisonError::into_inner);
        shares.services.leave(&self.service);
        shares.callers.leave(&self.caller);
    }
}
