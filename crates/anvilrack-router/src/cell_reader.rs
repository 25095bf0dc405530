//! Reads of the store by a member whose coordinator does not answer.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, ServiceName};
use rand::Rng;

use crate::router_context::RouterContext;
use crate::store_records::read_cell;
use crate::{boot_clock, takeover};

/// Least time between two reads.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// Greatest time between two reads.
const LONGEST_WAIT: Duration = Duration::from_secs(15);

/// Finds the cell in the store, ever more seldom while that does not help.
///
/// The waits are jittered: all members of a cell lose their coordinator in the same moment.
#[derive(Debug, Default)]
pub struct CellReader {
    next_read: BootTime,
    wait: Duration,
    absent_since: Option<BootTime>,
}

impl CellReader {
    /// Reads where the coordinator did not answer and a read is due.
    pub fn step(&mut self, context: &Arc<RouterContext>, service: &ServiceName, answered: bool) {
        let now = boot_clock::now();
        if answered {
            self.wait = Duration::ZERO;
            self.absent_since = None;
            self.next_read = now + FIRST_WAIT;
            return;
        }
        if now < self.next_read {
            return;
        }
        self.wait = (self.wait * 2).clamp(FIRST_WAIT, LONGEST_WAIT);
        self.next_read = now + self.wait.mul_f64(rand::rng().random_range(0.5..1.5));
        self.read(context, service);
    }

    fn read(&mut self, context: &Arc<RouterContext>, service: &ServiceName) {
        match read_cell(&context.store, service) {
            Ok((Some(record), _)) => {
                self.absent_since = None;
                context.accept_cell(Arc::new(record));
            }
            Ok((None, index)) if context.own_cell().is_none() => {
                if self.is_absent_for_long(context) {
                    takeover::create_cell(context, service, index);
                }
            }
            Ok((None, _)) => {}
            Err(error) => log::debug!("cannot read the cell: {error}"),
        }
    }

    /// A store that was put back to a copy from before the cell gets the record again from its
    /// coordinator, so a record that is not there must stay away for as long as one may be in office.
    fn is_absent_for_long(&mut self, context: &RouterContext) -> bool {
        let now = boot_clock::now();
        let since = *self.absent_since.get_or_insert(now);
        self.wait = Duration::ZERO;
        now >= since + context.terms.silent_wait()
    }
}
