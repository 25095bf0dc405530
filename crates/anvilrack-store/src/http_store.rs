//! The store over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{RequestBuilder, Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

use crate::key_store::StoreIndex;
use crate::{KeyStore, StoreError, StoredValue, WriteOutcome};

/// Time for one call, unless you set another.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The platform's store at one address.
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

/// One entry of the store's answer to a read.
#[derive(Deserialize)]
struct ReadEntry {
    #[serde(rename = "ModifyIndex")]
    modify_index: StoreIndex,
    #[serde(rename = "Value")]
    value: Option<String>,
}

impl HttpStore {
    /// You give the store's address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the time for one call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn url(&self, key: &str, query: &str) -> String {
        format!("http://{}/v1/kv/{key}{query}", self.address)
    }
}

fn read_url(url: &str, timeout: Duration) -> Result<Option<StoredValue>, StoreError> {
    let answer = prepare(attohttpc::get(url), timeout)
        .send()
        .map_err(|error| StoreError::Unreachable(error.to_string()))?;
    match answer.status() {
        StatusCode::OK => parse_entry(answer).map(Some),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(StoreError::Status(status.as_u16())),
    }
}

impl KeyStore for HttpStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        read_url(&self.url(key, ""), self.timeout)
    }

    fn wait(
        &self,
        key: &str,
        index: StoreIndex,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let query = format!("?index={index}&wait={}ms", wait.as_millis());
        read_url(&self.url(key, &query), wait + self.timeout)
    }

    fn write(&self, key: &str, index: StoreIndex, value: &[u8]) -> WriteOutcome {
        let url = self.url(key, &format!("?cas={index}"));
        let answer = prepare(attohttpc::put(url), self.timeout)
            .bytes(value)
            .send();
        match answer {
            Ok(answer) if answer.status() == StatusCode::OK => written_or_conflict(answer),
            _ => WriteOutcome::Unknown,
        }
    }
}

fn prepare(request: RequestBuilder, timeout: Duration) -> RequestBuilder {
    request
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .follow_redirects(false)
}

fn written_or_conflict(answer: Response) -> WriteOutcome {
    match answer.text().as_deref().map(str::trim) {
        Ok("true") => WriteOutcome::Written,
        Ok("false") => WriteOutcome::Conflict,
        _ => WriteOutcome::Unknown,
    }
}

fn parse_entry(answer: Response) -> Result<StoredValue, StoreError> {
    let malformed = |error: &dyn std::fmt::Display| StoreError::Malformed(error.to_string());
    let bytes = answer.bytes().map_err(|error| malformed(&error))?;
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
