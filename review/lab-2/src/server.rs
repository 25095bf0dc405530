//! An application server of the platform, as PROTOCOL.md describes it: it runs requests, holds keys, and reports
//! itself to the router on its machine.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader, call, request_bytes, respond};
use crate::json::{Json, duration_ms};
use crate::record::Record;
use crate::wire::wire;

pub const KEYS: usize = 65_536;

/// Time until a server is back that a request has crashed.
const CRASH_TIME: Duration = Duration::from_secs(2);

/// A hold of a range of keys by one life of a server.
#[derive(Clone, Debug)]
pub struct Hold {
    pub server: String,
    pub life: u32,
    pub from: u32,
    pub to: u32,
    pub fence: u64,
    pub begin: Instant,
    /// When the hold runs out, is released, or its server ends.
    pub end: Instant,
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub request: String,
}

/// What all servers of a site have seen.
#[derive(Clone, Default)]
pub struct Seen {
    pub holds: Arc<Mutex<Vec<Hold>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// How a server behaves.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub sharded: bool,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub slots: usize,
    pub beat: Duration,
    /// Whether runs are written into the record.
    pub recorded: bool,
}

#[derive(Default)]
struct Life {
    number: u32,
    id: String,
    born: u64,
    sequence: u64,
    up: bool,
    draining: bool,
    /// No liveness report is sent before this time.
    silent_until: Option<Instant>,
    /// Index of the newest hold of each key range.
    newest: BTreeMap<(u32, u32), usize>,
    fences: Vec<u64>,
    busy: usize,
    waiting: usize,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Server {
    pub settings: Arc<Settings>,
    life: Arc<(Mutex<Life>, Condvar)>,
    seen: Seen,
    record: Record,
    pub grants: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl Server {
    pub fn start(settings: Settings, seen: &Seen, record: &Record) -> Self {
        let server = Self {
            settings: Arc::new(settings),
            life: Arc::default(),
            seen: seen.clone(),
            record: record.clone(),
            grants: Arc::default(),
            ended: Arc::default(),
        };
        let id = format!("i-{}", server.settings.name);
        server.begin(&id, Duration::ZERO);
        let beats = server.clone();
        std::thread::spawn(move || beats.send_beats());
        server
    }

    /// Begins a life under `id`: listens, and reports itself for the first time after `first_beat`.
    pub fn begin(&self, id: &str, first_beat: Duration) {
        let listener = loop {
            match TcpListener::bind(self.settings.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let number = {
            let mut life = self.life.0.lock().unwrap();
            *life = Life {
                number: life.number + 1,
                id: id.to_owned(),
                born: unix_ms(),
                up: true,
                silent_until: Some(Instant::now() + first_beat),
                fences: vec![0; KEYS],
                ..Life::default()
            };
            life.number
        };
        self.record.add(format!(
            "server {} begins life {number} as {id}",
            self.settings.name
        ));
        let server = self.clone();
        std::thread::spawn(move || {
            while server.is_life(number) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        let mut life = server.life.0.lock().unwrap();
                        if life.number != number || !life.up {
                            return;
                        }
                        if let Ok(copy) = stream.try_clone() {
                            life.connections.push(copy);
                        }
                        drop(life);
                        let server = server.clone();
                        std::thread::spawn(move || server.serve(stream, number));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends the life at once, as a crash does: all connections break, nothing listens, all keys are lost.
    pub fn crash(&self) {
        let mut life = self.life.0.lock().unwrap();
        life.up = false;
        for connection in life.connections.drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        let now = Instant::now();
        let mut holds = self.seen.holds.lock().unwrap();
        for index in std::mem::take(&mut life.newest).into_values() {
            holds[index].end = holds[index].end.min(now);
        }
        self.record
            .add(format!("server {} crashes", self.settings.name));
        self.life.1.notify_all();
    }

    pub fn id(&self) -> String {
        self.life.0.lock().unwrap().id.clone()
    }

    pub fn born(&self) -> u64 {
        self.life.0.lock().unwrap().born
    }

    pub fn sequence(&self) -> u64 {
        self.life.0.lock().unwrap().sequence
    }

    /// Returns the number of keys that the server holds now.
    pub fn held(&self) -> usize {
        self.held_ranges()
            .iter()
            .map(|(from, to)| (to - from + 1) as usize)
            .sum()
    }

    /// Returns the ranges of keys that the server holds now.
    pub fn held_ranges(&self) -> Vec<(u32, u32)> {
        let life = self.life.0.lock().unwrap();
        let holds = self.seen.holds.lock().unwrap();
        let now = Instant::now();
        let held = life
            .newest
            .iter()
            .filter(|(_, index)| now < holds[**index].end);
        held.map(|(range, _)| *range).collect()
    }

    fn is_life(&self, number: u32) -> bool {
        let life = self.life.0.lock().unwrap();
        life.number == number && life.up
    }

    fn serve(&self, stream: TcpStream, number: u32) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            if !self.is_life(number) {
                return;
            }
            let sent = match request.target() {
                path if path == wire("grant") => self.grant(&mut reader.stream, &request, number),
                path if path == wire("release") => {
                    self.release(&mut reader.stream, &request, number)
                }
                "/health" => {
                    let id = self.id();
                    respond(&mut reader.stream, 200, &[(wire("instance"), &id)], b"")
                }
                _ => self.run(&mut reader.stream, &request, number),
            };
            if sent.is_err() || !self.is_life(number) {
                return;
            }
        }
    }

    /// Refuses a message that is meant for another server.
    fn refuse_other(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        id: &str,
    ) -> Option<std::io::Result<()>> {
        let expected = request.header(wire("expected"))?;
        (expected != id).then(|| {
            let sent = request
                .header(wire("request-id"))
                .unwrap_or("none")
                .to_owned();
            let headers = [
                (wire("instance"), id),
                (wire("not-run"), "1"),
                (wire("request-id"), &sent),
            ];
            respond(stream, 421, &headers, b"")
        })
    }

    fn grant(&self, stream: &mut TcpStream, request: &Message, number: u32) -> std::io::Result<()> {
        let arrived = Instant::now();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let field = |name: &str| body.as_ref()?.get(name)?.number();
        let hold = body
            .as_ref()
            .and_then(|body| duration_ms(body.get(wire("hold"))?.text()?));
        let (Some(from), Some(to), Some(fence), Some(hold)) =
            (field("from"), field("to"), field("fence"), hold)
        else {
            return respond(stream, 400, &[], b"");
        };
        let (from, to) = (from as u32, to as u32);
        let end = arrived + Duration::from_millis(hold);
        {
            let mut life = self.life.0.lock().unwrap();
            if life.number != number || !life.up {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let id = life.id.clone();
            if let Some(sent) = self.refuse_other(stream, request, &id) {
                return sent;
            }
            let keys = from as usize..=to as usize;
            if life.fences[keys.clone()].iter().any(|seen| *seen > fence) {
                return respond(stream, 409, &[], b"");
            }
            life.fences[keys].fill(fence);
            let mut holds = self.seen.holds.lock().unwrap();
            let known = life.newest.get(&(from, to)).copied();
            match known.filter(|index| holds[*index].fence == fence && arrived < holds[*index].end)
            {
                Some(index) => holds[index].end = holds[index].end.max(end),
                None => {
                    if let Some(index) = known {
                        holds[index].end = holds[index].end.min(arrived);
                    }
                    life.newest.insert((from, to), holds.len());
                    let server = self.settings.name.clone();
                    holds.push(Hold {
                        server,
                        life: number,
                        from,
                        to,
                        fence,
                        begin: arrived,
                        end,
                    });
                }
            }
            self.grants.fetch_add(1, Ordering::Relaxed);
        }
        respond(stream, 200, &[], b"")
    }

    fn release(
        &self,
        stream: &mut TcpStream,
        request: &Message,
        number: u32,
    ) -> std::io::Result<()> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let field = |name: &str| body.as_ref()?.get(name)?.number();
        let (Some(from), Some(to)) = (field("from"), field("to")) else {
            return respond(stream, 400, &[], b"");
        };
        {
            let mut life = self.life.0.lock().unwrap();
            if life.number != number || !life.up {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let id = life.id.clone();
            if let Some(sent) = self.refuse_other(stream, request, &id) {
                return sent;
            }
            if let Some(index) = life.newest.remove(&(from as u32, to as u32)) {
                let mut holds = self.seen.holds.lock().unwrap();
                holds[index].end = holds[index].end.min(Instant::now());
            }
        }
        // No case lets work run on keys that are released.
        respond(stream, 200, &[(wire("handover"), &format!("h{from}"))], b"")
    }

    fn run(&self, stream: &mut TcpStream, request: &Message, number: u32) -> std::io::Result<()> {
        let Some(sent) = request.header(wire("request-id")).map(ToOwned::to_owned) else {
            return respond(stream, 400, &[(wire("not-run"), "1")], b"");
        };
        let (id, seal) = {
            let mut life = self.life.0.lock().unwrap();
            let id = life.id.clone();
            if let Some(sent) = self.refuse_other(stream, request, &id) {
                return sent;
            }
            if self.settings.sharded {
                let key: Option<u32> = request.header(wire("key")).and_then(|key| key.parse().ok());
                let holds = self.seen.holds.lock().unwrap();
                let now = Instant::now();
                let held = key.is_some_and(|key| {
                    let mut ranges = life
                        .newest
                        .iter()
                        .filter(|((from, to), _)| *from <= key && key <= *to);
                    ranges.any(|(_, index)| now < holds[*index].end)
                });
                if !held {
                    let headers = [(wire("not-run"), "1"), (wire("request-id"), sent.as_str())];
                    return respond(stream, 421, &headers, b"");
                }
            }
            if life.busy >= self.settings.slots && life.waiting >= self.settings.slots * 4 {
                let headers = [(wire("not-run"), "1"), (wire("request-id"), sent.as_str())];
                return respond(stream, 503, &headers, b"");
            }
            life.waiting += 1;
            while life.up && life.number == number && life.busy >= self.settings.slots {
                life = self.life.1.wait(life).unwrap();
            }
            if !life.up || life.number != number {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            life.waiting -= 1;
            life.busy += 1;
            (id.clone(), format!("{id}.{number}"))
        };
        let run = Run {
            at: Instant::now(),
            server: self.settings.name.clone(),
            request: sent.clone(),
        };
        self.seen.runs.lock().unwrap().push(run);
        if self.settings.recorded {
            self.record
                .add(format!("run   {sent} at {}", self.settings.name));
        }
        let part = |letter: char| {
            let mut parts = request
                .target()
                .split('/')
                .filter_map(|part| part.strip_prefix(letter));
            parts
                .find_map(|number| number.parse::<u64>().ok())
                .unwrap_or(0)
        };
        // A request that crashes each server that begins to run it, whether or not its client still waits.
        if part('d') > 0 {
            std::thread::sleep(Duration::from_millis(part('d')));
            if self.is_life(number) {
                self.crash();
                let server = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(CRASH_TIME);
                    server.begin(&format!("{id}n"), Duration::ZERO);
                });
            }
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        std::thread::sleep(Duration::from_millis(part('w')));
        {
            let mut life = self.life.0.lock().unwrap();
            if life.number == number {
                life.busy -= 1;
                self.life.1.notify_one();
            }
        }
        let body = vec![b'x'; part('s').max(2) as usize];
        let headers = [
            (wire("request-id"), sent.as_str()),
            (wire("seal"), &seal),
            (wire("instance"), &id),
        ];
        respond(stream, 200, &headers, &body)
    }

    fn send_beats(&self) {
        while !self.ended.load(Ordering::Relaxed) {
            let beat = {
                let mut life = self.life.0.lock().unwrap();
                let silent = life
                    .silent_until
                    .is_some_and(|until| Instant::now() < until);
                if !life.up || silent {
                    None
                } else {
                    life.sequence += 1;
                    Some((life.id.clone(), life.born, life.sequence, life.draining))
                }
            };
            let Some((id, born, sequence, draining)) = beat else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let acknowledged = self.send_beat(&id, Some(born), sequence, draining);
            if sequence == 1 || draining {
                self.record.add(format!(
                    "beat {sequence} of {id}, draining {draining}, acknowledged {acknowledged}"
                ));
            }
            let until = Instant::now() + self.settings.beat;
            while Instant::now() < until
                && self.id() == id
                && self.born() == born
                && self.sequence() == sequence
            {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Sends one liveness report; returns whether it was acknowledged.
    pub fn send_beat(&self, id: &str, born: Option<u64>, sequence: u64, draining: bool) -> bool {
        let state = if draining { "draining" } else { "ready" };
        let born = born.map_or(String::new(), |born| format!("\"born\":{born},"));
        let body = include_str!("../wire/beat.json")
            .replace("BORN", &born)
            .replace("ADDRESS", &self.settings.address.to_string())
            .replace("SERVICE", &self.settings.service)
            .replace("SLOTS", &self.settings.slots.to_string())
            .replace("STATE", state)
            .replace("SEQUENCE", &sequence.to_string());
        self.send_control(&format!("{}{id}{}", wire("instances"), wire("beat")), &body)
    }

    fn send_control(&self, path: &str, body: &str) -> bool {
        let host = ("Host", self.settings.control.to_string());
        let kind = ("Content-Type", "application/json".to_owned());
        let bytes = request_bytes("POST", path, &[host, kind], body.as_bytes());
        let answer = call(self.settings.control, &bytes, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() / 100 == 2)
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
