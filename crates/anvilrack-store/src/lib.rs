//! Client of the platform's key-value store.
//!
//! It uses a small part of Consul's key-value HTTP interface: read a key, write it if it still has
//! the index that was read, wait for it to change. It needs nothing else, so any store with
//! compare-and-swap and watches can be used through [`KeyStore`].
//!
//! Connections are not reused: a cell makes only a few calls a second, and a new connection cannot
//! deliver the response to an earlier call.

mod http_store;
mod key_store;
mod record_keys;

pub use http_store::HttpStore;
pub use key_store::{KeyStore, StoreError, StoreIndex, StoredValue, WriteOutcome};
pub use record_keys::{CONFIG_KEY, cell_key};
