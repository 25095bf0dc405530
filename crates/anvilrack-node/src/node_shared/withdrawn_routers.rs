//! Routers that have announced that they are about to restart.

use std::collections::HashMap;
use std::time::Duration;

use anvilrack_core::{BootTime, NodeId};

use crate::directory::DirectoryEntry;

/// Time after the announcement for which a router gets no requests.
///
/// By then its process has ended, so that no request can be lost with a link that it closes. From then on
/// it is tried again, since its next process may be there before its next entry.
const SILENT_TIME: Duration = Duration::from_millis(800);

/// When each router announced that its target gets no new requests from it.
#[derive(Debug, Default)]
pub struct WithdrawnRouters {
    since: HashMap<NodeId, BootTime>,
}

impl WithdrawnRouters {
    /// Applies a changed directory entry.
    pub fn apply(&mut self, entry: &DirectoryEntry, now: BootTime) {
        self.since.retain(|_, since| now < *since + SILENT_TIME);
        if entry.stopping {
            self.since.insert(entry.place.node.clone(), now);
        } else {
            self.since.remove(&entry.place.node);
        }
    }

    /// Returns true while requests to a router could be lost with the end of its process.
    #[must_use]
    pub fn is_ending(&self, router: &str, now: BootTime) -> bool {
        let since = self.since.get(router);
        since.is_some_and(|since| now < *since + SILENT_TIME)
    }
}
