//! Limits on what a router process keeps for others.
//!
//! * [`MemoryPool`] is the memory for the bodies of requests and responses; one for the process.
//! * [`ConnectionGate`] bounds the connections to one port.
//! * [`LimitCounts`] tells how often these limits were reached.
//!
//! Who gives way is decided in `anvilrack-core`, by `MemoryBudget` and `ConnectionLimit`. Stalls are measured with the
//! steady clock, which stops while a VM is suspended: callers cannot send in that time.

mod connection_gate;
mod limit_counts;
mod memory_pool;

pub use connection_gate::{ConnectionGate, GatedConnection, descriptor_limit};
pub use limit_counts::LimitCounts;
pub use memory_pool::{MemoryError, MemoryHold, MemoryPool};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another holder: the limits stay consistent at each step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
