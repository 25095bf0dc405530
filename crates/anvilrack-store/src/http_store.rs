//! HTTP client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{RequestBuilder, Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::key_store::StoreIndex;
use crate::{KeyStore, StoreError, StoredValue, WriteOutcome};

/// Default timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A client of the platform's store at one address.
///
/// ```no_run
/// use anvilrack_store::{HttpStore, KeyStore};
///
/// let store = HttpStore::new("10.0.0.9:8500".parse().unwrap());
/// let value = store.read("anvilrack/config");
/// ```
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
}

/// One entry of the store's response to a read.
#[derive(Deserialize)]
struct ReadEntry {
    #[serde(rename = "ModifyIndex")]
    modify_index: StoreIndex,
    #[serde(rename = "Value")]
    value: Option<String>,
}

impl HttpStore {
    /// Creates a client for the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the timeout of one call. A watch may take this much longer than its waiting time.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn url(&self, key: &str, query: &str) -> String {
        format!("http://{}/v1/kv/{key}{query}", self.address)
    }
}

fn fetch_entry(url: &str, timeout: Duration) -> Result<Option<StoredValue>, StoreError> {
    let response = with_timeouts(attohttpc::get(url), timeout)
        .send()
        .map_err(|error| StoreError::Unreachable(error.to_string()))?;
    match response.status() {
        StatusCode::OK => parse_entry(response).map(Some),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(StoreError::Status(status.as_u16())),
    }
}

impl KeyStore for HttpStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        fetch_entry(&self.url(key, ""), self.timeout)
    }

    fn wait(
        &self,
        key: &str,
        index: StoreIndex,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let query = format!("?index={index}&wait={}ms", wait.as_millis());
        fetch_entry(&self.url(key, &query), wait + self.timeout)
    }

    fn write(&self, key: &str, index: StoreIndex, value: &[u8]) -> WriteOutcome {
        let url = self.url(key, &format!("?cas={index}"));
        let response = with_timeouts(attohttpc::put(url), self.timeout)
            .bytes(value)
            .send();
        match response {
            Ok(response) if response.status() == StatusCode::OK => parse_write_outcome(response),
            _ => WriteOutcome::Unknown,
        }
    }
}

fn with_timeouts(request: RequestBuilder, timeout: Duration) -> RequestBuilder {
    request
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .follow_redirects(false)
}

fn parse_write_outcome(response: Response) -> WriteOutcome {
    match response.text().as_deref().map(str::trim) {
        Ok("true") => WriteOutcome::Written,
        Ok("false") => WriteOutcome::Conflict,
        _ => WriteOutcome::Unknown,
    }
}

fn parse_entry(response: Response) -> Result<StoredValue, StoreError> {
    let malformed = |error: &dyn std::fmt::Display| StoreError::Malformed(error.to_string());
    let bytes = response.bytes().map_err(|error| malformed(&error))?;
    let entries: Vec<ReadEntry> =
        serde_json::from_slice(&bytes).map_err(|error| malformed(&error))?;
    let entry = entries
        .into_iter()
        .next()
        .ok_or_else(|| malformed(&"no entry"))?;
    let value = STANDARD
        .decode(entry.value.unwrap_or_default())
        .map_err(|error| malformed(&error))?;
    Ok(StoredValue {
        index: entry.modify_index,
        value,
    })
}
