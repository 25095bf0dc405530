//! What the router needs of the platform's store.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

/// Goes up with every change in the store; zero stands for "there is no such key".
pub type StoreRevision = u64;

/// Identifies a lease of the store; zero stands for none.
pub type LeaseId = u64;

/// A store with conditional writes, leases and watches.
pub trait MetadataStore: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn read(&self, key: &str)
    -> impl Future<Output = Result<Option<StoreItem>, StoreFault>> + Send;

    /// Reads all keys that begin with `prefix`, over as many pages as it takes.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<StoreList, StoreFault>> + Send;

    /// Waits for changes after `after` below `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchNews, StoreFault>> + Send;

    /// Writes one key on the condition that it still has the revision `base`.
    fn write(
        &self,
        write: StoreWrite,
    ) -> impl Future<Output = Result<WriteResult, StoreFault>> + Send;

    /// True where a key still has the revision `revision`; the value does not travel.
    fn is_unchanged(
        &self,
        key: &str,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<bool, StoreFault>> + Send;

    /// Opens a lease; returns it and the time to live that applies.
    fn open_lease(
        &self,
        time_to_live: Duration,
    ) -> impl Future<Output = Result<(LeaseId, Duration), StoreFault>> + Send;

    /// Renews a lease; false where it has ended.
    fn keep_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreFault>> + Send;

    /// Ends a lease, and with it its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreFault>> + Send;
}

/// One key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: Arc<str>,
    /// What was written.
    pub value: Bytes,
    /// Its last change.
    pub revision: StoreRevision,
}

/// Keys below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreList {
    /// The keys and their values.
    pub items: Vec<StoreItem>,
    /// The store's revision when the first page was read.
    pub revision: StoreRevision,
}

/// What a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchNews {
    /// What changed, and the revision to go on from.
    Changes(Vec<StoreChange>, StoreRevision),
    /// The history asked for is gone; everything has to be read again.
    HistoryGone,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// It was written.
    Written(StoreItem),
    /// It was deleted, or its lease ended.
    Removed(Arc<str>),
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: Arc<str>,
    /// The new value; `None` deletes the key.
    pub value: Option<Bytes>,
    /// The revision that the key must still have; `None` for any.
    pub base: Option<StoreRevision>,
    /// The lease that the key hangs on, or zero.
    pub lease: LeaseId,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect at that revision.
    Written(StoreRevision),
    /// The key has another revision; nothing was changed.
    Conflict,
    /// The lease has ended; nothing was changed.
    LeaseEnded,
}

/// A call to the store that failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreFault {
    /// It did not take effect: refused, or never sent.
    #[error("store refused the call: {0}")]
    Refused(Arc<str>),
    /// There was no answer; a write may have taken effect, or may still do so.
    #[error("store did not answer: {0}")]
    Unanswered(Arc<str>),
    /// The answer cannot be understood.
    #[error("store answered what cannot be understood: {0}")]
    Malformed(Arc<str>),
}
