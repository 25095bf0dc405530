//! One request's way, joined from the log lines of several routers.

use std::fmt::Write;

use serde_json::{Map, Value};

/// Fields that every line has, or that the story tells in its own way.
const FRAME: [&str; 6] = ["at_ms", "level", "event", "name", "node", "request"];

/// One log line about the request.
#[derive(Clone, Debug, PartialEq)]
struct StoryLine {
    at_ms: u64,
    fields: Map<String, Value>,
}

/// The lines about one request in time order, and what they add up to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestStory {
    lines: Vec<StoryLine>,
}

impl RequestStory {
    /// Picks the lines of a request, and of the calls that its target made for it, out of logs.
    ///
    /// A call's id begins with its parent's id and a dot. Text before the JSON object of a line, such
    /// as a collector's time stamp, is passed over, and so are lines that are no JSON.
    #[must_use]
    pub fn new<'a>(request: &str, log: impl IntoIterator<Item = &'a str>) -> Self {
        let mut lines: Vec<StoryLine> = log
            .into_iter()
            .filter_map(read_line)
            .filter(|line| line.is_about(request))
            .collect();
        lines.sort_by_key(|line| line.at_ms);
        Self { lines }
    }

    /// True where no line is about the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The story as text: a line for each step, then the cause in a sentence.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let first = self.lines.first().map_or(0, |line| line.at_ms);
        for line in &self.lines {
            let after = line.at_ms.saturating_sub(first);
            let _ = write!(
                text,
                "{after:>7} ms  {:<20} {}",
                line.word("node"),
                line.word("name")
            );
            for (name, value) in &line.fields {
                if !FRAME.contains(&name.as_str()) && !value.is_null() {
                    let _ = write!(text, " {name}={}", plain(value));
                }
            }
            text.push('\n');
        }
        let _ = writeln!(text, "cause: {}", self.cause());
        text
    }

    /// Why the request ended as it did, in one sentence.
    #[must_use]
    pub fn cause(&self) -> String {
        let Some(end) = self.end() else {
            return "no line tells how it ended; the logs may be from another time".to_owned();
        };
        let service = end.word("service");
        let place = end.word("place");
        match (end.word("name"), end.word("outcome"), end.word("why")) {
            ("request.left", ..) => format!("the caller left after {} ms", end.word("waited_ms")),
            ("request.refused", _, why) => format!("refused at the callers' side: {why}"),
            (_, "ran", _) => format!("the target beside {place} answered"),
            (_, "not-run", "overloaded" | "deadline-too-short") => {
                format!("refused under load: {place} could not start it in time ({service})")
            }
            (_, "not-run", "no-owner" | "moving" | "not-owner" | "lease-ended") => format!(
                "refused while key {} of {service} was between two owners",
                end.word("key")
            ),
            (_, "not-run", why) => format!("refused, {why}: no target of {service} could take it"),
            (_, "may-have-run", "connection-lost") => {
                format!(
                    "uncertain: the link or the target beside {place} was lost after it was sent"
                )
            }
            (_, "may-have-run", why) => format!("uncertain, {why}, at the target beside {place}"),
            (name, ..) => format!("the last line is {name}"),
        }
    }

    fn end(&self) -> Option<&StoryLine> {
        let ends = ["request.answered", "request.left", "request.refused"];
        let mut lines = self.lines.iter().rev();
        lines.find(|line| ends.contains(&line.word("name")))
    }
}

impl StoryLine {
    fn is_about(&self, request: &str) -> bool {
        let id = self.fields.get("request").and_then(Value::as_str);
        id.is_some_and(|id| {
            let rest = id.strip_prefix(request);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    fn word(&self, name: &str) -> &str {
        match self.fields.get(name) {
            Some(Value::String(text)) => text,
            Some(Value::Null) | None => "-",
            Some(_) => "?",
        }
    }
}

fn read_line(line: &str) -> Option<StoryLine> {
    let json = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let at_ms = fields.get("at_ms")?.as_u64()?;
    // Numbers are told as words, so that a sentence can name them.
    for name in ["key", "waited_ms"] {
        if let Some(number) = fields.get(name).and_then(Value::as_u64) {
            fields.insert(name.to_owned(), number.to_string().into());
        }
    }
    Some(StoryLine { at_ms, fields })
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
