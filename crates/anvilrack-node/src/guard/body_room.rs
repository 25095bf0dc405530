//! Room for long bodies that are on their way to this router.

use std::collections::HashMap;
use std::time::Duration;

use anvilrack_core::BootTime;

use crate::RequestId;

/// The bodies on their way may take the VM's link for so long together.
///
/// What is behind them waits as long: calls of targets have some hundred milliseconds in all, and a link
/// that does not answer for most of a second counts as lost.
const ROOM_TIME: Duration = Duration::from_millis(250);

/// A body that has not come by then is not counted any more: its sender was lost, or its caller left.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Bounds the bodies that come in at the same time by what the link of the VM can carry.
///
/// A router asks for room before it sends a long body, so that a body that is refused crosses no link,
/// and many together do not fill the link to a target until nothing else passes.
#[derive(Debug)]
pub struct BodyRoom {
    limit: usize,
    open: HashMap<RequestId, ExpectedBody>,
}

#[derive(Clone, Copy, Debug)]
struct ExpectedBody {
    bytes: usize,
    until: BootTime,
}

impl BodyRoom {
    /// You give the speed of the VM's link, in megabits a second.
    #[must_use]
    pub fn new(link_mbps: u32) -> Self {
        let bytes_per_ms = link_mbps as usize * 1_000 / 8;
        let millis = usize::try_from(ROOM_TIME.as_millis()).unwrap_or(usize::MAX);
        Self {
            limit: bytes_per_ms.saturating_mul(millis),
            open: HashMap::new(),
        }
    }

    /// Keeps room for a body of so many bytes.
    ///
    /// One that is longer than all the room may come alone.
    ///
    /// # Errors
    ///
    /// Where there is none: the time after which it is worth asking again.
    pub fn reserve(
        &mut self,
        request: &RequestId,
        bytes: usize,
        now: BootTime,
    ) -> Result<(), Duration> {
        self.open.retain(|_, body| now < body.until);
        let taken: usize = self.open.values().map(|body| body.bytes).sum();
        if taken > 0 && taken + bytes > self.limit {
            let share = u32::try_from(taken * 100 / self.limit.max(1)).unwrap_or(u32::MAX);
            return Err(ROOM_TIME.saturating_mul(share) / 100);
        }
        let until = now + HOLD_TIME;
        let body = ExpectedBody { bytes, until };
        self.open.insert(request.clone(), body);
        Ok(())
    }

    /// A body has come.
    pub fn take(&mut self, request: &RequestId) {
        self.open.remove(request);
    }

    /// Bodies on their way.
    #[must_use]
    pub fn expected(&self) -> usize {
        self.open.len()
    }
}
