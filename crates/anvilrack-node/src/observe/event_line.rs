//! Structured log lines.

use std::io::{self, Write};

use anvilrack_core::LogEvent;
use anvilrack_router::log_writer::LogWriter;
use env_logger::{Builder, Env, Target};
use serde_json::{Map, Value};

/// Makes standard output the place of the log: one JSON object a line, never blocking.
#[must_use]
pub fn install() -> LogWriter {
    let writer = LogWriter::start(io::stdout());
    Builder::from_env(Env::default().default_filter_or("anvilrack=info,warn"))
        .target(Target::Pipe(Box::new(writer.clone())))
        .format(|line, record| {
            if record.target() == "anvilrack" {
                return writeln!(line, "{}", record.args());
            }
            // Lines of libraries get the same frame.
            let text = Value::from(record.args().to_string());
            let level = record.level();
            writeln!(line, "{{\"level\":\"{level}\",\"text\":{text}}}")
        })
        .init();
    writer
}

/// Builds the line of an event.
#[must_use]
pub fn line(level: log::Level, event: LogEvent, fields: Map<String, Value>) -> String {
    let mut line = Map::new();
    line.insert(
        "at_ms".into(),
        anvilrack_router::boot_clock::unix_ms().into(),
    );
    line.insert("level".into(), level.as_str().into());
    line.insert("event".into(), event.number.into());
    line.insert("name".into(), event.name.into());
    line.extend(fields);
    Value::Object(line).to_string()
}

/// Writes one line for an event of the catalogue, as a JSON object with the given fields.
#[macro_export]
macro_rules! tell {
    ($level:ident, $event:expr $(, $field:ident = $value:expr)* $(,)?) => {
        if log::log_enabled!(target: "anvilrack", log::Level::$level) {
            let fields = match serde_json::json!({ $(stringify!($field): $value),* }) {
                serde_json::Value::Object(fields) => fields,
                _ => serde_json::Map::new(),
            };
            let line = $crate::observe::line(log::Level::$level, $event, fields);
            log::log!(target: "anvilrack", log::Level::$level, "{line}");
        }
    };
}
