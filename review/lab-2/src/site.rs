//! A small deployment: the store, routers as processes with the deploy file's command, and servers beside them.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{Message, call, request_bytes};
use crate::record::Record;
use crate::server::{Seen, Server, Settings};
use crate::store::Store;
use crate::wire::wire;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const TERM: i32 = 15;
const KILL: i32 = 9;

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are left.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the call has no memory effects; the process is a child that has not been waited for.
        unsafe { kill(pid as i32, KILL) };
    }
}

/// Bounds in the routers' settings, with the names of the deploy template.
#[derive(Clone)]
pub struct Bounds {
    pub drain: &'static str,
    pub grace: &'static str,
    pub memory_mb: u32,
    pub slack: u32,
}

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub record: Record,
    pub seen: Seen,
    pub routers: Vec<Router>,
    pub servers: Vec<Server>,
    pub bounds: Bounds,
    folder: PathBuf,
    net: (u8, u8),
    _store: Store,
    keep_logs: bool,
}

impl Site {
    pub fn start(record: &Record, bounds: Bounds, document: &str) -> Result<Self, String> {
        let (net, store_address) = free_net().ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("lab2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start(store_address).map_err(|error| error.to_string())?;
        store.put(wire("config"), document.as_bytes());
        Ok(Self {
            record: record.clone(),
            seen: Seen::default(),
            routers: Vec::new(),
            servers: Vec::new(),
            bounds,
            folder,
            net,
            _store: store,
            keep_logs: std::env::var_os("LAB_KEEP_LOGS").is_some(),
        })
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (
            Ipv4Addr::new(127, self.net.0, self.net.1, host),
            31_000 + port,
        )
            .into()
    }

    /// Adds a machine: a router of a service and a server beside it. `advertised` is the address at which other
    /// routers reach the router, if it is behind a relay.
    pub fn add(
        &mut self,
        service: &str,
        sharded: bool,
        zone: &str,
        advertised: Option<SocketAddr>,
        slots: usize,
        beat: Duration,
        recorded: bool,
    ) {
        let host = 10 + self.routers.len() as u8;
        let name = format!("side-{zone}-{host}");
        let at = |port| self.address(host, port);
        let relay = advertised.map_or(String::new(), |address| {
            format!("\"advertised_peers\": \"{address}\",")
        });
        let text = format!(
            "{{\"node\": \"{name}\", \"failure_domain\": \"{zone}\", \"region\": \"r-{zone}\", \"service\": \"{service}\", \"target\": \"{}\", {relay}
             \"listen\": {{\"callers\": \"{}\", \"peers\": \"{}\", \"ready\": \"{}\", \"control\": \"{}\", \"metrics\": \"{}\"}},
             \"store\": \"{}\", \"link_mbps\": 1000.0, \"memory_mb\": {},
             \"terms\": {{\"retries\": {{\"ratio\": 0.2, \"slack\": {}, \"window\": \"10s\"}}, \"drain\": \"{}\", \"stop_grace\": \"{}\", \"longest_hold\": \"10000ms\", \"shortest_lease\": \"1000ms\"}}}}",
            at(6), at(1), at(2), at(3), at(4), at(5), self.address(1, 0), self.bounds.memory_mb, self.bounds.slack, self.bounds.drain, self.bounds.grace
        );
        let settings = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&settings, text).expect("a writable temporary folder");
        let log = self.folder.join(format!("{name}.log"));
        let mut router = Router {
            name,
            callers: at(1),
            ready: at(3),
            settings,
            log,
            child: None,
        };
        router.start(&self.record);
        let settings = Settings {
            name: format!("s{host}"),
            service: service.to_owned(),
            sharded,
            address: at(6),
            control: at(4),
            slots,
            beat,
            recorded,
        };
        self.servers
            .push(Server::start(settings, &self.seen, &self.record));
        self.routers.push(router);
    }

    /// Waits until all routers are ready and, if there is a sharded service, all keys are held.
    pub fn await_ready(&self, keys: bool, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        loop {
            let ready = self.routers.iter().all(Router::is_ready);
            let held: usize = self.servers.iter().map(Server::held).sum();
            if ready && (!keys || held == crate::server::KEYS) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!(
                    "not ready in time: routers ready {ready}, {held} keys held"
                ));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        if self.keep_logs {
            eprintln!("logs in {}", self.folder.display());
        } else {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Router {
    pub fn start(&mut self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_or(Stdio::null(), Stdio::from);
        // The command of the deploy file.
        let child = Command::new("target/release/anvilrack-platform")
            .env_clear()
            .env(wire("settings"), &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => eprintln!("cannot start a router: {error}"),
        }
        record.add(format!("router {} starts", self.name));
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the call has no memory effects; the process is a child that has not been waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Returns whether the process has ended, and forgets it then.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = self.child.as_mut() else {
            return true;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return false;
        }
        forget(child.id());
        self.child = None;
        true
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            forget(child.id());
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        let bytes = request_bytes(
            "GET",
            wire("ready"),
            &[("Host", self.ready.to_string())],
            b"",
        );
        call(self.ready, &bytes, Duration::from_millis(300))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the private memory of the process in bytes, without pages that it shares with files.
    pub fn private_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim()
            .strip_suffix("kB")?
            .trim()
            .parse::<u64>()
            .ok()
            .map(|kb| kb * 1024)
    }
}

fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

/// A client's request, encoded.
pub fn client_request(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    key: Option<u32>,
    body: &[u8],
) -> Vec<u8> {
    let mut headers = vec![
        ("Host", host.to_owned()),
        (wire("request-id"), id.to_owned()),
        (wire("time-left"), deadline_ms.to_string()),
    ];
    if let Some(key) = key {
        headers.push((wire("key"), key.to_string()));
    }
    request_bytes(method, path, &headers, body)
}

/// Sends a request on a new connection and records what comes back.
pub fn ask(
    record: &Record,
    callers: SocketAddr,
    id: &str,
    bytes: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    record.add(format!("send  {id} to {callers}"));
    let answer = call(callers, bytes, limit);
    match &answer {
        Ok(answer) => record.add(format!(
            "answer {id}: {} with {} bytes",
            answer.status(),
            answer.body.len()
        )),
        Err(error) => record.add(format!("answer {id}: none, {error}")),
    }
    answer
}

/// Finds a net of loopback addresses on which nothing listens at the store's port.
fn free_net() -> Option<((u8, u8), SocketAddr)> {
    let pid = std::process::id();
    (0..200_u32).find_map(|attempt| {
        let (a, b) = (
            60 + (pid / 200 + attempt) % 100,
            1 + (pid + attempt * 7) % 200,
        );
        let net = (a as u8, b as u8);
        let address: SocketAddr = (Ipv4Addr::new(127, net.0, net.1, 1), 31_000).into();
        TcpListener::bind(address).ok().map(|_| (net, address))
    })
}
