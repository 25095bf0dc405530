//! How much this router exchanges with others, by kind of call.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use crate::mutex_lock::lock;
use crate::peers::PeerCall;

/// Calls that this router has made, and the bytes of their messages and bodies.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    kinds: Mutex<BTreeMap<&'static str, KindTraffic>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindTraffic {
    calls: u64,
    sent_bytes: u64,
    received_bytes: u64,
}

impl PeerTraffic {
    /// Counts a call and its bytes.
    pub fn record_call(&self, call: &PeerCall, bytes: usize) {
        let mut kinds = lock(&self.kinds);
        let traffic = kinds.entry(call.kind()).or_default();
        traffic.calls += 1;
        traffic.sent_bytes += bytes as u64;
    }

    /// Counts the bytes of the reply to a call.
    pub fn record_reply(&self, call: &PeerCall, bytes: usize) {
        let mut kinds = lock(&self.kinds);
        kinds.entry(call.kind()).or_default().received_bytes += bytes as u64;
    }

    /// Returns all series in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (kind, traffic) in &*lock(&self.kinds) {
            let series = [
                ("calls", traffic.calls),
                ("sent_bytes", traffic.sent_bytes),
                ("received_bytes", traffic.received_bytes),
            ];
            for (name, count) in series {
                // Writing to a `String` cannot fail.
                let _ = writeln!(
                    text,
                    "anvilrack_peer_{name}_total{{call=\"{kind}\"}} {count}"
                );
            }
        }
        text
    }
}
