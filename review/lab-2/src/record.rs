//! The record of a run: what was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &str) {
        let lines = self.lines.lock().unwrap();
        let mut text = String::new();
        for (at, line) in lines.iter() {
            text.push_str(&format!("{at:9.3} {line}\n"));
        }
        match File::create(path).and_then(|mut file| file.write_all(text.as_bytes())) {
            Ok(()) => {}
            Err(error) => eprintln!("cannot write the record: {error}"),
        }
    }
}
