//! Reads the cell's record from the store while the coordinator does not reply.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, ServiceName};
use rand::Rng;

use crate::router_context::RouterContext;
use crate::store_records::read_cell;
use crate::{boot_clock, takeover};

/// Minimum time between two reads, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum time between two reads, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Reads the cell's record from the store with exponential backoff.
///
/// The backoff is jittered because all members of a cell lose their coordinator at the same moment.
#[derive(Debug, Default)]
pub struct CellReader {
    next_read: BootTime,
    backoff: Duration,
    absent_since: Option<BootTime>,
}

impl CellReader {
    /// Reads the record if the coordinator did not reply and a read is due.
    pub fn step(&mut self, context: &Arc<RouterContext>, service: &ServiceName, replied: bool) {
        let now = boot_clock::now();
        if replied {
            self.backoff = Duration::ZERO;
            self.absent_since = None;
            self.next_read = now + MIN_BACKOFF;
            return;
        }
        if now < self.next_read {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_read = now + self.backoff.mul_f64(rand::rng().random_range(0.5..1.5));
        self.read(context, service);
    }

    fn read(&mut self, context: &Arc<RouterContext>, service: &ServiceName) {
        match read_cell(&context.store, service) {
            Ok((Some(record), _)) => {
                self.absent_since = None;
                context.accept_cell(Arc::new(record));
            }
            Ok((None, index)) if context.own_cell().is_none() => {
                if self.is_safe_to_create(context) {
                    takeover::create_cell(context, service, index);
                }
            }
            Ok((None, _)) => {}
            Err(error) => log::debug!("cannot read the cell's record: {error}"),
        }
    }

    /// Returns whether the record has been absent for so long that no coordinator can exist.
    ///
    /// If the store was restored from a copy older than the cell, the cell's coordinator writes the
    /// record again. A new cell must therefore not be created while one may still be active.
    fn is_safe_to_create(&mut self, context: &RouterContext) -> bool {
        let now = boot_clock::now();
        let absent_since = *self.absent_since.get_or_insert(now);
        self.backoff = Duration::ZERO;
        now >= absent_since + context.terms.silent_wait()
    }
}
