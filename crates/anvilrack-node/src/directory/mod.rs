//! Service discovery among routers, by entries in the platform's store.

mod directory_view;
mod domain_reader;
mod entry_keeper;
mod metadata_store;
mod peer_catch_up;
mod store_watch;

pub use directory_view::{DirectoryEntry, DirectoryView};
pub use domain_reader::{
    BeatEffect, READER_BEAT, ReaderBeat, ReaderWatch, digest_of, place_in_line,
};
pub use entry_keeper::keep_entry;
pub use metadata_store::{
    LeaseId, MetadataStore, StoreChange, StoreFault, StoreItem, StoreList, StoreRevision,
    StoreWrite, WatchNews, WriteResult,
};
pub use peer_catch_up::{confirm_lapsed, known_view, pull_view, take_site};
pub use store_watch::{send_reader_beats, watch_entries, watch_site};

/// Key prefix of the routers' directory entries.
pub const ENTRY_PREFIX: &str = "anvilrack/router/";
