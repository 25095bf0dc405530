//! Operations that the system needs from a store.

use std::time::Duration;

use thiserror::Error;

/// Version number that a value gets with each write; zero means that the key does not exist.
pub type StoreIndex = u64;

/// A store with compare-and-swap and watches (reads that wait for a change).
pub trait KeyStore {
    /// Reads a key; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the store is unreachable, responds with an error status, or
    /// sends a malformed response.
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError>;

    /// Waits until the key's index differs from `index`, for at most `wait`, then reads the key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] when the store is unreachable, responds with an error status, or
    /// sends a malformed response.
    fn wait(
        &self,
        key: &str,
        index: StoreIndex,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError>;

    /// Writes a key if it still has the given index; index zero creates it.
    ///
    /// If the response is lost, the outcome is [`WriteOutcome::Unknown`] and the caller has to read
    /// the key back.
    fn write(&self, key: &str, index: StoreIndex, value: &[u8]) -> WriteOutcome;
}

/// A stored value and its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Index of the last write; rises with each write.
    pub index: StoreIndex,
    /// The stored bytes.
    pub value: Vec<u8>,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The key had another index, so nothing was changed.
    Conflict,
    /// The write may or may not have taken effect, because no valid response arrived.
    Unknown,
}

/// Why a read of the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The connection failed or no response arrived in time.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The store responded with an HTTP status other than 200 or 404.
    #[error("store responded with status {0}")]
    Status(u16),
    /// The response does not have the expected format.
    #[error("malformed response from the store: {0}")]
    Malformed(String),
}
