//! Limits the long request bodies that are in transit to this router.

use std::collections::HashMap;
use std::time::Duration;

use anvilrack_core::BootTime;

use crate::RequestId;

/// Maximum time for which the bodies in transit may occupy the VM's link together.
///
/// Messages queued behind them are delayed by this time. Calls of targets have a few hundred
/// milliseconds in total, and a link without a reply for most of a second counts as lost.
const MAX_LINK_TIME: Duration = Duration::from_millis(250);

/// Time after which a reservation expires if its body has not arrived, because the sender failed or the
/// caller disconnected.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits the bodies that are received at the same time to the capacity of the VM's link.
///
/// A router reserves capacity before it sends a long body. A refused body is therefore never sent,
/// and many concurrent bodies cannot saturate the link to a target and block all other traffic.
#[derive(Debug)]
pub struct BodyCapacity {
    capacity_bytes: usize,
    reservations: HashMap<RequestId, BodyReservation>,
}

#[derive(Clone, Copy, Debug)]
struct BodyReservation {
    bytes: usize,
    expires_at: BootTime,
}

impl BodyCapacity {
    /// Creates the limit for a VM's link of `link_mbps` megabits per second.
    #[must_use]
    pub fn new(link_mbps: u32) -> Self {
        let bytes_per_ms = link_mbps as usize * 1_000 / 8;
        let millis = usize::try_from(MAX_LINK_TIME.as_millis()).unwrap_or(usize::MAX);
        Self {
            capacity_bytes: bytes_per_ms.saturating_mul(millis),
            reservations: HashMap::new(),
        }
    }

    /// Reserves capacity for a body of `bytes` bytes.
    ///
    /// A body that is longer than the whole capacity is accepted if no other one is in transit.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if there is not enough capacity.
    pub fn reserve(
        &mut self,
        request: &RequestId,
        bytes: usize,
        now: BootTime,
    ) -> Result<(), Duration> {
        self.reservations
            .retain(|_, reservation| now < reservation.expires_at);
        let reserved = self.reservations.values();
        let reserved_bytes = reserved.fold(0_usize, |sum, reservation| {
            sum.saturating_add(reservation.bytes)
        });
        if reserved_bytes > 0 && reserved_bytes.saturating_add(bytes) > self.capacity_bytes {
            let used_percent = reserved_bytes.saturating_mul(100) / self.capacity_bytes.max(1);
            let used_percent = u32::try_from(used_percent).unwrap_or(u32::MAX);
            return Err(MAX_LINK_TIME.saturating_mul(used_percent) / 100);
        }
        let expires_at = now + RESERVATION_TIMEOUT;
        let reservation = BodyReservation { bytes, expires_at };
        self.reservations.insert(request.clone(), reservation);
        Ok(())
    }

    /// Releases the reservation of a request whose body has arrived.
    pub fn release_reservation(&mut self, request: &RequestId) {
        self.reservations.remove(request);
    }

    /// Returns the number of bodies in transit.
    #[must_use]
    pub fn in_transit(&self) -> usize {
        self.reservations.len()
    }
}
