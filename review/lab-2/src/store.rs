//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, respond};
use crate::json::{Json, duration_ms, quote};
use crate::wire::wire;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the item unless it was removed.
    history: VecDeque<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let data = Data {
            revision: 10,
            next_lease: 1000,
            ..Data::default()
        };
        let store = Self {
            data: Arc::new((Mutex::new(data), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let leases = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                leases.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut data = self.data.0.lock().unwrap();
        data.revision += 1;
        data.write(key, base64(value), 0);
        self.data.1.notify_all();
    }

    fn expire(&self) {
        let mut data = self.data.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            data.end_lease(lease);
            self.data.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            let (status, body) = self.handle(&request);
            let headers = [("Content-Type", "application/json")];
            if respond(&mut reader.stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| percent_decode(value))
        };
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        match (request.method(), path) {
            ("GET", path) if path == wire("item") => {
                let key = parameter("key").unwrap_or_default();
                match data.items.get(&key) {
                    None => (404, "{}".into()),
                    Some(item) => (200, item_json(&key, item, Some(data.revision))),
                }
            }
            ("GET", path) if path == wire("list") => {
                let prefix = parameter("prefix").unwrap_or_default();
                let after = parameter("after").unwrap_or_default();
                let items = data
                    .items
                    .range(prefix.clone()..)
                    .take_while(|(key, _)| key.starts_with(&prefix));
                let items = items.filter(|(key, _)| after.is_empty() || **key > after);
                let mut items: Vec<String> = items
                    .map(|(key, item)| item_json(key, item, None))
                    .collect();
                let truncated = items.len() > 500;
                items.truncate(500);
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"truncated\":{truncated},\"current-rev\":{}}}",
                        items.join(","),
                        data.revision
                    ),
                )
            }
            ("GET", path) if path == wire("watch") => {
                let prefix = parameter("prefix").unwrap_or_default();
                let after: u64 = parameter("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait: u64 = parameter("wait-ms")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let events: Vec<String> = data
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item, None),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"current-rev\":{}}}",
                                events.join(","),
                                data.revision
                            ),
                        );
                    }
                    data = changed.wait_timeout(data, left).unwrap().0;
                }
            }
            ("POST", path) if path == wire("transaction") => {
                let reply = data.transact(&String::from_utf8_lossy(&request.body));
                changed.notify_all();
                reply
            }
            ("POST", path) if path == wire("lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl = body
                    .as_ref()
                    .and_then(|b| duration_ms(b.get("ttl_time")?.text()?));
                let Some(ttl) = ttl else {
                    return (400, "{}".into());
                };
                let ttl = Duration::from_millis(ttl.max(1000));
                data.next_lease += 1;
                let lease = data.next_lease;
                data.leases.insert(lease, (ttl, Instant::now() + ttl));
                (
                    200,
                    format!(
                        "{{\"lease\":{lease},\"ttl_time\":\"{}ms\"}}",
                        ttl.as_millis()
                    ),
                )
            }
            (method, path) => {
                let id = |prefix: &str| {
                    path.strip_prefix(prefix)
                        .and_then(|id| id.parse::<u64>().ok())
                };
                if let Some(lease) = id(wire("renew")).filter(|_| method == "POST") {
                    let Some((ttl, until)) = data.leases.get_mut(&lease) else {
                        return (404, "{}".into());
                    };
                    *until = Instant::now() + *ttl;
                    return (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()));
                }
                if let Some(lease) = id(wire("end-lease")).filter(|_| method == "DELETE") {
                    data.end_lease(lease);
                    changed.notify_all();
                    return (200, "{}".into());
                }
                (404, "{}".into())
            }
        }
    }
}

impl Data {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push_back((revision, key.to_owned(), Some(item)));
        if self.history.len() > 20_000 {
            self.history.pop_front();
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history
                .push_back((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default();
        let text = |row: &Json, name: &str| {
            row.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let conditions: Vec<(String, u64)> = rows("precondition")
            .iter()
            .map(|row| {
                (
                    text(row, "key"),
                    row.get("revision").and_then(Json::number).unwrap_or(0),
                )
            })
            .collect();
        let holds = conditions.iter().all(|(key, revision)| {
            self.items.get(key).map_or(0, |item| item.revision) == *revision
        });
        if !holds {
            let items = conditions
                .iter()
                .filter_map(|(key, _)| Some(item_json(key, self.items.get(key)?, None)));
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = rows("writes");
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        if writes
            .iter()
            .any(|row| lease_of(row) != 0 && !self.leases.contains_key(&lease_of(row)))
        {
            return (404, "{}".into());
        }
        if !writes.is_empty() || !rows("deletes").is_empty() {
            self.revision += 1;
        }
        for row in writes {
            self.write(&text(row, "key"), text(row, "value"), lease_of(row));
        }
        for key in rows("deletes").iter().filter_map(Json::text) {
            self.remove(key);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item, current: Option<u64>) -> String {
    let current = current.map_or(String::new(), |revision| {
        format!(",\"current-rev\":{revision}")
    });
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created-rev\":{},\"lease\":{}{current}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(LETTERS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
