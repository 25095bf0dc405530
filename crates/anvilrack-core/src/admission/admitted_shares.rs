//! The shares of new requests that an overloaded target still admits, by priority.

use serde::{Deserialize, Serialize};

/// A share in thousandths, from 0 to [`WHOLE_SHARE`].
pub type ShareMilli = u16;

/// The share that admits every request.
pub const WHOLE_SHARE: ShareMilli = 1_000;

/// Margin of a second check of the same request by another router.
const REPEATED_CHECK_MARGIN: ShareMilli = 100;

/// Number of priorities that are told apart; less urgent ones count as the last.
pub const PRIORITY_COUNT: usize = 4;

/// The share of new requests that is admitted, by priority.
///
/// All routers refuse the same requests: a request is admitted if its [`AdmittedShares::draw`], which
/// depends on nothing but its id, is below the share of its priority. So a request that was admitted
/// by one router is not refused by the next one for the same reason.
///
/// ```
/// use anvilrack_core::AdmittedShares;
///
/// let shares = AdmittedShares::new([1_000, 500, 0, 0]);
/// assert!(shares.admits(0, 999));
/// assert!(shares.admits(1, 499) && !shares.admits(1, 500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdmittedShares([ShareMilli; PRIORITY_COUNT]);

impl Default for AdmittedShares {
    fn default() -> Self {
        Self::ALL
    }
}

impl AdmittedShares {
    /// Admits every request.
    pub const ALL: Self = Self([WHOLE_SHARE; PRIORITY_COUNT]);

    /// Creates shares from those of each priority, the most urgent first.
    #[must_use]
    pub fn new(shares: [ShareMilli; PRIORITY_COUNT]) -> Self {
        Self(shares.map(|share| share.min(WHOLE_SHARE)))
    }

    /// Returns the share of a priority.
    #[must_use]
    pub fn share(self, priority: u8) -> ShareMilli {
        self.0[priority_index(priority)].min(WHOLE_SHARE)
    }

    /// Returns the shares of all priorities, the most urgent first.
    #[must_use]
    pub fn by_priority(self) -> [ShareMilli; PRIORITY_COUNT] {
        self.0
    }

    /// Returns whether a request with this draw is admitted.
    #[must_use]
    pub fn admits(self, priority: u8, draw: ShareMilli) -> bool {
        draw < self.share(priority)
    }

    /// Returns whether a request that another router admitted by similar shares is admitted.
    ///
    /// Routers learn shares at different times; the margin keeps these differences from adding up.
    #[must_use]
    pub fn admits_again(self, priority: u8, draw: ShareMilli) -> bool {
        draw < self.share(priority).saturating_add(REPEATED_CHECK_MARGIN)
    }

    /// Returns whether requests of any priority are admitted without exception.
    #[must_use]
    pub fn is_all(self) -> bool {
        self == Self::ALL
    }

    /// Returns the smaller share of each priority.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.combine(other, ShareMilli::min)
    }

    /// Combines the shares of each priority.
    #[must_use]
    pub(crate) fn combine(
        self,
        other: Self,
        combine: impl Fn(ShareMilli, ShareMilli) -> ShareMilli,
    ) -> Self {
        let mut shares = self.0;
        for (share, other) in shares.iter_mut().zip(other.0) {
            *share = combine(*share, other);
        }
        Self::new(shares)
    }

    /// Returns the draw of a request, which is spread evenly over 0 to 999.
    #[must_use]
    pub fn draw(request: &str) -> ShareMilli {
        // FNV-1a; the multiplication at the end mixes the high bits of short ids.
        let hash = request
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
        let mixed = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        ShareMilli::try_from(mixed % u64::from(WHOLE_SHARE)).unwrap_or(0)
    }
}

/// Returns the position of a priority among those that are told apart.
pub(crate) fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_COUNT - 1)
}
