//! What the system needs of a store.

use std::time::Duration;

use thiserror::Error;

/// Number that a value gets with each write; zero means "there is no such key".
pub type StoreIndex = u64;

/// A store with compare-and-swap and waiting reads.
pub trait KeyStore {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store did not answer.
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError>;

    /// Waits until a key is newer than `index`, or for `wait` at most, then reads it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store did not answer.
    fn wait(
        &self,
        key: &str,
        index: StoreIndex,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError>;

    /// Writes a key if it still has the given index.
    ///
    /// A lost reply is no error: it is an outcome of its own, and you have to read the key back.
    fn write(&self, key: &str, index: StoreIndex, value: &[u8]) -> WriteOutcome;
}

/// A value and its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Goes up with each write.
    pub index: StoreIndex,
    /// What was written.
    pub value: Vec<u8>,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// Somebody else wrote first; nothing was changed.
    Conflict,
    /// It may or may not have taken effect.
    Unknown,
}

/// Why the store could not be read.
#[derive(Debug, Error)]
pub enum StoreError {
    /// There was no answer.
    #[error("store does not answer: {0}")]
    Unreachable(String),
    /// It answered that it cannot serve.
    #[error("store answered with status {0}")]
    Status(u16),
    /// Its answer is not what the interface promises.
    #[error("store answered what cannot be understood: {0}")]
    Malformed(String),
}
