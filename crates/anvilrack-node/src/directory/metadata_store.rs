//! The interface to the platform's metadata store.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Revision number that rises with every change in the store; zero means that a key does not exist.
pub type StoreRevision = u64;

/// Rises each time that the store comes back from an older copy; zero if the store does not state it.
///
/// Revisions and leases of different eras have nothing to do with each other, even if they are equal.
pub type StoreEra = u64;

/// Identifies a lease in the store; zero means no lease.
pub type LeaseId = u64;

/// A store with conditional writes, leases and watches.
pub trait MetadataStore: Clone + Send + Sync + 'static {
    /// Returns the era that the latest response named.
    fn era(&self) -> StoreEra;

    /// Reads one key; returns `None` if it does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoreItem>, MetadataStoreError>> + Send;

    /// Reads one key like [`Self::read`], but at a lower price; the value may be seconds old.
    fn read_recent(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoreItem>, MetadataStoreError>> + Send;

    /// Reads all keys that begin with `prefix`, across all result pages.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<StoreList, MetadataStoreError>> + Send;

    /// Lists keys like [`Self::list`], but at a lower price; the result may be seconds old.
    fn list_recent(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<StoreList, MetadataStoreError>> + Send;

    /// Waits up to `wait` for changes of keys that begin with `prefix`, after the revision `after`.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchUpdate, MetadataStoreError>> + Send;

    /// Writes one key, provided that it still has the revision `write.base`.
    fn write(
        &self,
        write: StoreWrite,
    ) -> impl Future<Output = Result<WriteResult, MetadataStoreError>> + Send;

    /// Returns whether a key still has the revision `revision`, without transferring its value.
    fn is_unchanged(
        &self,
        key: &str,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<bool, MetadataStoreError>> + Send;

    /// Opens a lease; returns it and the time to live that the store granted.
    fn open_lease(
        &self,
        time_to_live: Duration,
    ) -> impl Future<Output = Result<(LeaseId, Duration), MetadataStoreError>> + Send;

    /// Renews a lease; returns false if it has already ended.
    fn renew_lease(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, MetadataStoreError>> + Send;

    /// Ends a lease, which deletes the keys attached to it.
    fn end_lease(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), MetadataStoreError>> + Send;
}

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Full name of the key, including any prefix.
    pub key: Arc<str>,
    /// Stored bytes.
    pub value: Bytes,
    /// Revision of the key's latest change.
    pub revision: StoreRevision,
}

/// Result of listing the keys that begin with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreList {
    /// Items of all pages.
    pub items: Vec<StoreItem>,
    /// Revision of the store when the first page was read; a watch can start from it.
    pub revision: StoreRevision,
}

/// Result of one watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// The changes, possibly none, and the revision from which to continue.
    Changes(Vec<StoreChange>, StoreRevision),
    /// The store no longer has the requested history; all keys have to be read again.
    HistoryGone,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// The key was written.
    Written(StoreItem),
    /// The key was deleted, or its lease ended.
    Removed(Arc<str>),
}

impl StoreChange {
    /// Returns the changed key.
    #[must_use]
    pub fn key(&self) -> &Arc<str> {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed(key) => key,
        }
    }

    /// Returns the item if the key was written.
    #[must_use]
    pub fn into_written(self) -> Option<StoreItem> {
        match self {
            Self::Written(item) => Some(item),
            Self::Removed(_) => None,
        }
    }
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreWrite {
    /// Full name of the key, including any prefix.
    pub key: Arc<str>,
    /// The new value; `None` deletes the key.
    pub value: Option<Bytes>,
    /// The revision that the key must still have; `None` writes unconditionally.
    pub base: Option<StoreRevision>,
    /// The lease that the key is attached to, or zero.
    pub lease: LeaseId,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect at this revision.
    Written(StoreRevision),
    /// The key has another revision; nothing was changed.
    Conflict,
    /// The lease has ended; nothing was changed.
    LeaseEnded,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MetadataStoreError {
    /// The call had no effect: the store refused it, or it was never sent.
    #[error("store refused the call: {0}")]
    Refused(Arc<str>),
    /// There was no response; a write may have taken effect, or may still take effect later.
    #[error("store did not respond: {0}")]
    Unanswered(Arc<str>),
    /// The response, or a value in it, cannot be decoded.
    #[error("store sent a malformed response: {0}")]
    Malformed(Arc<str>),
}
