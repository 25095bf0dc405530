//! Service discovery among routers, by entries in the platform's store.

mod directory_view;
mod domain_reader;
mod entry_maintainer;
mod evacuation_spread;
mod metadata_store;
mod peer_catch_up;
mod site_archive;
mod site_fetch;
mod site_tracker;
mod store_watch;

pub use directory_view::{DirectoryEntry, DirectoryView};
pub use domain_reader::{
    HeartbeatEffect, READER_HEARTBEAT_INTERVAL, ReaderHeartbeat, ReaderMonitor, entries_digest,
    reader_rank,
};
pub use entry_maintainer::maintain_entry;
pub use evacuation_spread::{fetch_evacuations, spread_evacuations};
pub use metadata_store::{
    LeaseId, MetadataStore, MetadataStoreError, StoreChange, StoreEra, StoreItem, StoreList,
    StoreRevision, StoreWrite, WatchUpdate, WriteResult,
};
pub use peer_catch_up::{probe_expired_routers, pull_entries};
pub use site_archive::{ArchivedDocument, DocumentPacket, SiteArchive};
pub use site_fetch::{follow_site, serve_site};
pub use site_tracker::SiteTracker;
pub use store_watch::{
    latest_changes, send_reader_heartbeat, send_reader_heartbeats, watch_entries, watch_site,
};

/// Key prefix of the routers' directory entries.
pub const ENTRY_PREFIX: &str = "anvilrack/router/";
