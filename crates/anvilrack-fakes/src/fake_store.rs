//! Fake of the platform's store.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Header, Method, Request, Response};

use crate::StoreData;
use crate::http_worker::{close_without_response, read_body, respond, serve_forever};

/// Number of threads that handle calls.
const WORKERS: usize = 32;

/// Maximum time that a watch may wait.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A key-value store over HTTP with compare-and-swap, watches and sessions.
///
/// It implements a part of Consul's key-value and session HTTP API. Calls under `/_control/` are
/// for tests: `faults` sets the active faults, `counters` returns the numbers of calls, `save`
/// takes a backup of the data and `restore` puts it back.
#[derive(Clone, Default)]
pub struct FakeStore {
    shared: Arc<SharedStore>,
}

#[derive(Default)]
struct SharedStore {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    data: StoreData,
    saved: StoreData,
    faults: StoreFaults,
    counters: StoreCounters,
}

/// Active faults of the store.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Each call gets the status 503.
    pub down: bool,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of successful writes whose responses will be lost; counts down with each.
    pub lose_replies: u32,
}

/// Numbers of calls since the store started.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Reads that return at once.
    pub reads: u64,
    /// Watches (reads with an index); each call counts.
    pub watches: u64,
    /// Writes, whether they took effect or not.
    pub writes: u64,
    /// Writes that did not take effect, because of another index, another session or the value's
    /// size.
    pub conflicts: u64,
}

impl FakeStore {
    /// Serves calls on `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or a worker thread panics.
    pub fn run(self, address: SocketAddr) -> eyre::Result<()> {
        serve_forever(address, WORKERS, move |request| self.serve(request))
    }

    fn serve(&self, request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        if let Some(control) = path.strip_prefix("/_control/") {
            return self.serve_control(request, control);
        }
        let faults = self.state().faults;
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return respond(request, 503, "store is down");
        }
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.serve_key(request, key, query);
        }
        if let Some(call) = path.strip_prefix("/v1/session/") {
            return self.serve_session(request, call);
        }
        respond(request, 404, "no such call");
    }

    // --- keys -----------------------------------------------------------------------------------

    fn serve_key(&self, request: Request, key: &str, query: &str) {
        match request.method() {
            Method::Put => self.put(request, key, query),
            Method::Get => self.get(request, key, query),
            _ => respond(request, 405, "use GET or PUT"),
        }
    }

    fn get(&self, request: Request, key: &str, query: &str) {
        let Some(index) = query_parameter(query, "index").and_then(|text| text.parse().ok()) else {
            self.state().counters.reads += 1;
            return self.respond_entry(request, key, is_raw(query));
        };
        self.state().counters.watches += 1;
        let wait = query_parameter(query, "wait")
            .and_then(parse_millis)
            .unwrap_or(MAX_WAIT);
        let store = self.clone();
        let (key, raw) = (key.to_owned(), is_raw(query));
        // A watch can block for a long time, so it runs in its own thread and leaves the worker
        // free.
        thread::spawn(move || {
            store.wait_for_change(&key, index, wait.min(MAX_WAIT));
            if store.state().faults.down {
                return respond(request, 503, "store is down");
            }
            store.respond_entry(request, &key, raw);
        });
    }

    fn wait_for_change(&self, key: &str, index: u64, wait: Duration) {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let current = state.data.get(key).map_or(0, |entry| entry.index);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if current != index || remaining.is_zero() || state.faults.down {
                return;
            }
            let result = self.shared.changed.wait_timeout(state, remaining);
            state = result.map_or_else(|error| error.into_inner().0, |(state, _)| state);
        }
    }

    fn respond_entry(&self, request: Request, key: &str, raw: bool) {
        let entry = self.state().data.get(key).cloned();
        let Some(entry) = entry else {
            return respond(request, 404, "");
        };
        if raw {
            return respond_raw_value(request, entry.index, entry.value);
        }
        let body = json!([{
            "Key": key,
            "ModifyIndex": entry.index,
            "Value": STANDARD.encode(&entry.value),
            "Session": entry.session,
        }]);
        respond(request, 200, body.to_string());
    }

    fn put(&self, mut request: Request, key: &str, query: &str) {
        let Ok(value) = read_body(&mut request) else {
            return respond(request, 400, "body cannot be read");
        };
        let mut state = self.state();
        state.counters.writes += 1;
        let written = if let Some(session) = query_parameter(query, "acquire") {
            state.data.acquire(key, session, value, Instant::now())
        } else {
            let cas = query_parameter(query, "cas").and_then(|text| text.parse().ok());
            state.data.put(key, cas, value)
        };
        state.counters.conflicts += u64::from(!written);
        let response_lost = written && state.faults.lose_replies > 0;
        if response_lost {
            state.faults.lose_replies -= 1;
        }
        drop(state);
        self.shared.changed.notify_all();
        if response_lost {
            return close_without_response(request);
        }
        respond(request, 200, written.to_string());
    }

    // --- sessions -------------------------------------------------------------------------------

    fn serve_session(&self, mut request: Request, call: &str) {
        if call == "create" {
            let ttl = read_body(&mut request)
                .ok()
                .and_then(|body| parse_ttl(&body));
            let ttl = ttl.unwrap_or(Duration::from_secs(10));
            let name = self.state().data.open_session(ttl, Instant::now());
            return respond(request, 200, json!({ "ID": name }).to_string());
        }
        let renewed = call
            .strip_prefix("renew/")
            .is_some_and(|name| self.state().data.renew_session(name, Instant::now()));
        respond(request, if renewed { 200 } else { 404 }, "");
    }

    // --- control --------------------------------------------------------------------------------

    fn serve_control(&self, mut request: Request, call: &str) {
        let body = read_body(&mut request).unwrap_or_default();
        let mut state = self.state();
        match call {
            "faults" => match serde_json::from_slice(&body) {
                Ok(faults) => state.faults = faults,
                Err(error) => return respond(request, 400, error.to_string()),
            },
            "save" => state.saved = state.data.clone(),
            "restore" => {
                let saved = state.saved.clone();
                state.data.restore(saved);
            }
            "counters" => {
                let counters = state.counters;
                return respond(request, 200, json!(counters).to_string());
            }
            _ => return respond(request, 404, "no such control call"),
        }
        drop(state);
        self.shared.changed.notify_all();
        respond(request, 200, "ok");
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_raw(query: &str) -> bool {
    query.split('&').any(|field| field == "raw")
}

fn respond_raw_value(request: Request, index: u64, value: Vec<u8>) {
    let response = Response::from_data(value);
    let index = Header::from_bytes(&b"X-Consul-Index"[..], index.to_string());
    let _ = match index {
        Ok(header) => request.respond(response.with_header(header)),
        Err(()) => request.respond(response),
    };
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

fn parse_millis(text: &str) -> Option<Duration> {
    text.strip_suffix("ms")?
        .parse()
        .ok()
        .map(Duration::from_millis)
}

fn parse_ttl(body: &[u8]) -> Option<Duration> {
    let json: serde_json::Value = serde_json::from_slice(body).ok()?;
    let seconds = json.get("TTL")?.as_str()?.strip_suffix('s')?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
