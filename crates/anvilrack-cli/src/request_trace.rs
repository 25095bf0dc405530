//! Traces one request through the log lines of several routers.

use std::fmt::Write;

use serde_json::{Map, Value};

/// Fields that are not printed as `name=value`: they have columns of their own or are implied by
/// the event's name and the request's id.
const OMITTED_FIELDS: [&str; 6] = ["at_ms", "level", "event", "name", "node", "request"];

/// One log line that refers to the request.
#[derive(Clone, Debug, PartialEq)]
struct TraceLine {
    at_ms: u64,
    fields: Map<String, Value>,
}

/// The log lines of one request in time order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTrace {
    lines: Vec<TraceLine>,
}

impl RequestTrace {
    /// Selects the log lines of a request and of the calls that its target made while handling it.
    ///
    /// The id of such a call is its parent's id followed by a dot and a suffix. Text before a
    /// line's JSON object, such as a log collector's time stamp, is ignored, and so are lines
    /// without JSON.
    #[must_use]
    pub fn new<'a>(request: &str, log: impl IntoIterator<Item = &'a str>) -> Self {
        let mut lines: Vec<TraceLine> = log
            .into_iter()
            .filter_map(parse_line)
            .filter(|line| line.is_about(request))
            .collect();
        lines.sort_by_key(|line| line.at_ms);
        Self { lines }
    }

    /// Returns whether no log line refers to the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Formats the trace: one line for each event, then the cause of the outcome.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let first = self.lines.first().map_or(0, |line| line.at_ms);
        for line in &self.lines {
            let after = line.at_ms.saturating_sub(first);
            let _ = write!(
                text,
                "{after:>7} ms  {:<20} {}",
                line.text_field("node"),
                line.text_field("name")
            );
            for (name, value) in &line.fields {
                if !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null() {
                    let _ = write!(text, " {name}={}", display_value(value));
                }
            }
            text.push('\n');
        }
        let _ = writeln!(text, "cause: {}", self.cause());
        text
    }

    /// Returns a short explanation of the request's outcome.
    #[must_use]
    pub fn cause(&self) -> String {
        let Some(outcome_event) = self.outcome_event() else {
            return "no log line records the outcome; the logs may cover another time".to_owned();
        };
        let service = outcome_event.text_field("service");
        let place = outcome_event.text_field("place");
        match (
            outcome_event.text_field("name"),
            outcome_event.text_field("outcome"),
            outcome_event.text_field("why"),
        ) {
            ("request.left", ..) => format!(
                "the caller disconnected after {} ms",
                outcome_event.text_field("waited_ms")
            ),
            ("request.refused", _, why) => format!("refused by the caller's router: {why}"),
            (_, "ran", _) => format!("the target of {place} responded"),
            (_, "not-run", "overloaded" | "deadline-too-short") => {
                format!(
                    "refused under load: {place} could not start the request in time ({service})"
                )
            }
            (_, "not-run", "no-owner" | "moving" | "not-owner" | "lease-ended") => format!(
                "refused while key {} of {service} was between two owners",
                outcome_event.text_field("key")
            ),
            (_, "not-run", "outdated-route") => format!(
                "refused: {} routed by site document {}, and {place} has a newer one",
                outcome_event.text_field("node"),
                outcome_event.text_field("routes_version")
            ),
            (_, "not-run", why) => format!("refused, {why}: no target of {service} accepted it"),
            (_, "may-have-run", "connection-lost") => {
                format!("uncertain: the connection to {place} or its target was lost after sending")
            }
            (_, "may-have-run", why) => format!("uncertain, {why}, at the target of {place}"),
            (name, ..) => format!("the last event is {name}"),
        }
    }

    fn outcome_event(&self) -> Option<&TraceLine> {
        let ends = ["request.answered", "request.left", "request.refused"];
        let mut lines = self.lines.iter().rev();
        lines.find(|line| ends.contains(&line.text_field("name")))
    }
}

impl TraceLine {
    fn is_about(&self, request: &str) -> bool {
        let id = self.fields.get("request").and_then(Value::as_str);
        id.is_some_and(|id| {
            let rest = id.strip_prefix(request);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    fn text_field(&self, name: &str) -> &str {
        match self.fields.get(name) {
            Some(Value::String(text)) => text,
            Some(Value::Null) | None => "-",
            Some(_) => "?",
        }
    }
}

fn parse_line(line: &str) -> Option<TraceLine> {
    let json = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let at_ms = fields.get("at_ms")?.as_u64()?;
    // `cause` reads these fields as text, so numbers are converted to strings.
    for name in ["key", "routes_version", "waited_ms"] {
        if let Some(number) = fields.get(name).and_then(Value::as_u64) {
            fields.insert(name.to_owned(), number.to_string().into());
        }
    }
    Some(TraceLine { at_ms, fields })
}

fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
