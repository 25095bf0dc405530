//! Limits the share of the caller workers that one service or one caller may use.

use std::sync::{Arc, Mutex, PoisonError};

use anvilrack_core::{FairShare, ServiceName};

/// Prevents a slow service or a caller with many requests from occupying all workers of a router.
#[derive(Debug)]
pub struct WorkerShares {
    shares: Mutex<UsedShares>,
}

#[derive(Debug)]
struct UsedShares {
    services: FairShare,
    callers: FairShare,
}

/// One worker counted for a service and a caller; released on drop.
#[derive(Debug)]
pub struct WorkerPermit<'a> {
    shares: &'a WorkerShares,
    service: ServiceName,
    caller: Arc<str>,
}

impl WorkerShares {
    /// Creates the shares of a router with `workers` caller workers.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        let shares = UsedShares {
            services: FairShare::new(workers),
            callers: FairShare::new(workers),
        };
        Self {
            shares: Mutex::new(shares),
        }
    }

    /// Counts one worker for the service and the caller; returns `None` if either has used up its
    /// share.
    #[must_use]
    pub fn try_acquire(
        &self,
        service: &ServiceName,
        caller: &Arc<str>,
    ) -> Option<WorkerPermit<'_>> {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        if !shares.services.try_acquire(service) {
            return None;
        }
        if !shares.callers.try_acquire(caller) {
            shares.services.release(service);
            return None;
        }
        Some(WorkerPermit {
            shares: self,
            service: service.clone(),
            caller: caller.clone(),
        })
    }
}

impl Drop for WorkerPermit<'_> {
    fn drop(&mut self) {
        let shares = &self.shares.shares;
        let mut shares = shares.lock().unwrap_or_else(PoisonError::into_inner);
        shares.services.release(&self.service);
        shares.callers.release(&self.caller);
    }
}
