//! A log that stalls holds up nobody, and what it lost is told.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use anvilrack_router::log_writer::LogWriter;

const QUEUE_LINES: usize = 8;

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct GatedOutput {
    state: Arc<(Mutex<GateState>, Condvar)>,
}

#[derive(Default)]
struct GateState {
    open: bool,
    written: String,
}

impl GatedOutput {
    fn open(&self) {
        self.state.0.lock().unwrap().open = true;
        self.state.1.notify_all();
    }

    fn await_text(&self, text: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let state = self
            .state
            .1
            .wait_while(state, |state| !state.written.contains(text));
        state.unwrap().written.clone()
    }
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().unwrap();
        let mut state = self.state.1.wait_while(state, |state| !state.open).unwrap();
        state.written.push_str(&String::from_utf8_lossy(bytes));
        self.state.1.notify_all();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

macro_rules! log_cases {
    ($($name:ident: $lines:literal lines, told $told:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let output = GatedOutput::default();
                let mut writer = LogWriter::with_queue(output.clone(), QUEUE_LINES);
                for line in 0..$lines {
                    writer.write_all(format!("line {line}\n").as_bytes()).unwrap();
                }
                output.open();
                // The queue drains now, so this line gets through sooner or later.
                while !output.state.0.lock().unwrap().written.contains("last") {
                    writer.write_all(b"last\n").unwrap();
                    std::thread::yield_now();
                }
                let written = output.await_text("last");
                assert_eq!(written.contains("log.dropped"), $told, "{written}");
                assert!(written.starts_with("line 0\n") || written.starts_with("E1004"), "{written}");
            }
        )*
    };
}

log_cases! {
    a_thousand_lines_do_not_block_and_the_loss_is_told: 1000 lines, told true;
}

#[test]
fn lines_within_the_queue_are_all_written() {
    let output = GatedOutput::default();
    output.open();
    let mut writer = LogWriter::with_queue(output.clone(), QUEUE_LINES);
    for line in 0..QUEUE_LINES {
        writer
            .write_all(format!("line {line}\n").as_bytes())
            .unwrap();
    }
    let written = output.await_text("line 7");
    assert_eq!(written.lines().count(), QUEUE_LINES, "{written}");
}
