//! Tests that a stalled log output doesn't block writers, and that the number of dropped lines is
//! logged.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use anvilrack_router::log_writer::LogWriter;

const QUEUE_LINES: usize = 8;

/// An output that blocks writes until it is opened.
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

    fn wait_for_text(&self, text: &str) -> String {
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

macro_rules! stalled_output_cases {
    ($($name:ident: $lines:literal lines, loss_logged $loss_logged:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let output = GatedOutput::default();
                let mut writer = LogWriter::with_queue(output.clone(), QUEUE_LINES);
                for line in 0..$lines {
                    writer.write_all(format!("line {line}\n").as_bytes()).unwrap();
                }
                output.open();
                // The queue drains now, so one of these lines is accepted eventually.
                while !output.state.0.lock().unwrap().written.contains("last") {
                    writer.write_all(b"last\n").unwrap();
                    std::thread::yield_now();
                }
                let written = output.wait_for_text("last");
                assert_eq!(written.contains("log.dropped"), $loss_logged, "{written}");
                assert!(written.starts_with("line 0\n") || written.starts_with("E1004"), "{written}");
            }
        )*
    };
}

stalled_output_cases! {
    thousand_lines_do_not_block_and_loss_is_logged: 1000 lines, loss_logged true;
}

#[test]
fn all_lines_within_queue_size_are_written() {
    let output = GatedOutput::default();
    output.open();
    let mut writer = LogWriter::with_queue(output.clone(), QUEUE_LINES);
    for line in 0..QUEUE_LINES {
        writer
            .write_all(format!("line {line}\n").as_bytes())
            .unwrap();
    }
    let written = output.wait_for_text("line 7");
    assert_eq!(written.lines().count(), QUEUE_LINES, "{written}");
}
