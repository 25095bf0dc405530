//! Maps keys to shards.

use xxhash_rust::xxh3::xxh3_64;

use crate::ShardId;

/// Maps keys to the shards of one service.
///
/// ```
/// let hash = anvilrack_core::ShardHash::new(96);
/// assert!(hash.shard_of("trip-17") < 96);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardHash {
    shard_count: u32,
}

impl ShardHash {
    /// Creates the mapping for a number of shards; zero counts as one.
    #[must_use]
    pub fn new(shard_count: u32) -> Self {
        Self {
            shard_count: shard_count.max(1),
        }
    }

    /// Returns the shard of a key.
    ///
    /// Uses the high half of a 128-bit product instead of a remainder: it distributes evenly and
    /// costs one multiplication.
    #[must_use]
    pub fn shard_of(self, key: &str) -> ShardId {
        let hash = u128::from(xxh3_64(key.as_bytes()));
        let shard = (hash * u128::from(self.shard_count)) >> 64;
        u32::try_from(shard).unwrap_or(0)
    }
}
