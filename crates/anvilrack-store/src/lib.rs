//! Client of the platform's key-value store.
//!
//! It speaks a small part of a well-known HTTP interface, the key-value part of Consul's: read a
//! key, write it if it still has the index you read, wait for it to change. It needs nothing else, so any store
//! that offers a compare-and-swap can take its place behind [`KeyStore`].
//!
//! Connections are not kept: a cell makes a few calls a second, and a fresh connection never
//! carries an answer that belongs to an earlier call.

mod http_store;
mod key_store;
mod record_keys;

pub use http_store::HttpStore;
pub use key_store::{KeyStore, StoreError, StoreIndex, StoredValue, WriteOutcome};
pub use record_keys::{CONFIG_KEY, cell_key};
