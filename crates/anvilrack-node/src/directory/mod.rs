//! How routers find each other: entries in the platform's store.

mod directory_view;
mod entry_keeper;
mod metadata_store;
mod peer_catch_up;
mod store_watch;

pub use directory_view::{DirectoryEntry, DirectoryView};
pub use entry_keeper::keep_entry;
pub use metadata_store::{
    LeaseId, MetadataStore, StoreChange, StoreFault, StoreItem, StoreList, StoreRevision,
    StoreWrite, WatchNews, WriteResult,
};
pub use peer_catch_up::known_view;
pub use store_watch::{watch_entries, watch_site};

/// Where the routers' entries stand.
pub const ENTRY_PREFIX: &str = "anvilrack/router/";
