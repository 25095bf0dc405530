//! Structured log lines in JSON.

use std::io::{self, Write};
use std::panic;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use anvilrack_core::{BootTime, LogEvent, events};
use anvilrack_router::boot_clock;
use anvilrack_router::log_writer::LogWriter;
use env_logger::{Builder, Env, Target};
use serde_json::{Map, Value};

/// Maximum number of log lines about requests in one [`WINDOW`].
///
/// Writing a line takes about 30 microseconds, so this many use about half a percent of a core.
const MAX_REQUEST_LINES: u32 = 150;

/// Numbers of the events that concern a single request.
const REQUEST_EVENTS: std::ops::Range<u16> = 2_000..3_000;

/// Time window of the limit on lines about requests.
const WINDOW: Duration = Duration::from_secs(1);

static NODE: OnceLock<Arc<str>> = OnceLock::new();
static WINDOW_COUNT: Mutex<WindowCount> = Mutex::new(WindowCount {
    since: Duration::ZERO,
    written: 0,
    dropped: 0,
});

#[derive(Debug)]
struct WindowCount {
    since: BootTime,
    written: u32,
    dropped: u64,
}

/// Installs a non-blocking logger that writes one JSON object per line to standard output.
#[must_use]
pub fn install() -> LogWriter {
    let writer = LogWriter::start(io::stdout());
    Builder::from_env(Env::default().default_filter_or("anvilrack=info,warn"))
        .target(Target::Pipe(Box::new(writer.clone())))
        .format(|line, record| {
            if record.target() == "anvilrack" {
                return writeln!(line, "{}", record.args());
            }
            // Log lines of libraries are wrapped in a JSON object as well.
            let text = Value::from(record.args().to_string());
            let level = record.level();
            let at_ms = boot_clock::unix_ms();
            writeln!(
                line,
                "{{\"at_ms\":{at_ms},\"level\":\"{level}\",\"text\":{text}}}"
            )
        })
        .init();
    log_panics();
    writer
}

/// Adds a log line for each panic; it ends the task in which it occurs, and not the process.
fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        let fault = info.payload_as_str();
        crate::emit_event!(Error, events::ROUTER_PANICKED, place = place, fault = fault);
        print(info);
    }));
}

/// Sets the router name that is added to all further log lines.
pub fn set_node(node: Arc<str>) {
    // Later calls are ignored, since a process runs a single router.
    NODE.set(node).ok();
}

/// Returns whether a line for the event may be written now.
///
/// Counts the lines that may not, and logs their number before the first line of the next time window.
#[must_use]
pub fn allows_line(event: LogEvent) -> bool {
    if !REQUEST_EVENTS.contains(&event.number) {
        return true;
    }
    let now = boot_clock::now();
    let mut count = WINDOW_COUNT.lock().unwrap_or_else(PoisonError::into_inner);
    if now >= count.since + WINDOW {
        let dropped = std::mem::take(&mut count.dropped);
        count.since = now;
        count.written = 0;
        if dropped > 0 {
            let mut fields = Map::new();
            fields.insert("lines".into(), dropped.into());
            let line = line(log::Level::Warn, events::LOG_DROPPED, fields);
            log::warn!(target: "anvilrack", "{line}");
        }
    }
    let allowed = count.written < MAX_REQUEST_LINES;
    if allowed {
        count.written += 1;
    } else {
        count.dropped += 1;
    }
    allowed
}

/// Converts a duration to whole milliseconds for log lines.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Builds the log line of an event.
#[must_use]
pub fn line(level: log::Level, event: LogEvent, fields: Map<String, Value>) -> String {
    let mut line = Map::new();
    line.insert("at_ms".into(), boot_clock::unix_ms().into());
    if let Some(node) = NODE.get() {
        line.insert("node".into(), (**node).into());
    }
    line.insert("level".into(), level.as_str().into());
    line.insert("event".into(), event.number.into());
    line.insert("name".into(), event.name.into());
    line.extend(fields);
    Value::Object(line).to_string()
}

/// Writes a log line for an event of [`anvilrack_core::events`], as a JSON object with the given
/// fields.
#[macro_export]
macro_rules! emit_event {
    ($level:ident, $event:expr $(, $field:ident = $value:expr)* $(,)?) => {
        if log::log_enabled!(target: "anvilrack", log::Level::$level)
            && $crate::observe::allows_line($event)
        {
            let fields = match serde_json::json!({ $(stringify!($field): $value),* }) {
                serde_json::Value::Object(fields) => fields,
                _ => serde_json::Map::new(),
            };
            let line = $crate::observe::line(log::Level::$level, $event, fields);
            log::log!(target: "anvilrack", log::Level::$level, "{line}");
        }
    };
}
