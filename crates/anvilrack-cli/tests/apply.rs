//! A configuration is applied completely or not at all, and the result says which.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use anvilrack_cli::config_apply::{apply, read_config};
use anvilrack_core::{CellRecord, ConfigDocument, ConfigRecord};
use anvilrack_store::{KeyStore, StoreError, StoreIndex, StoredValue, WriteOutcome};
use serde_json::json;

/// An in-memory store that applies a list of faults in order, one to each write.
#[derive(Default)]
struct ScriptedStore {
    cell: Option<StoredValue>,
    value: RefCell<Option<StoredValue>>,
    writes: RefCell<VecDeque<WriteFault>>,
}

enum WriteFault {
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write never arrives.
    RequestLost,
    /// Another operator applies this document just before the write.
    ConcurrentApply(ConfigDocument),
}

impl ScriptedStore {
    fn with_config(slots: u32) -> Self {
        let store = Self::default();
        store.put(1, document(slots));
        store
    }

    fn with_fault(self, fault: WriteFault) -> Self {
        self.writes.borrow_mut().push_back(fault);
        self
    }

    /// Adds a cell with one member, `router-1`, in the region `norte`.
    fn with_cell(mut self) -> Self {
        let member = json!({
            "node": "router-1", "incarnation": 1, "peer_address": "10.0.0.1:1",
            "failure_domain": "norte-a", "region": "norte", "leaving": false,
        });
        let mut cell = serde_json::to_value(CellRecord::default()).unwrap();
        cell["service"] = json!("viewer");
        cell["members"] = json!([member]);
        let value = cell.to_string().into_bytes();
        self.cell = Some(StoredValue { index: 1, value });
        self
    }

    fn put(&self, revision: u64, document: ConfigDocument) {
        let apply_id = format!("other-{revision}").into();
        let record = ConfigRecord {
            revision,
            apply_id,
            document,
        };
        let index = self.index() + 1;
        let value = serde_json::to_vec(&record).unwrap();
        *self.value.borrow_mut() = Some(StoredValue { index, value });
    }

    fn index(&self) -> StoreIndex {
        self.value
            .borrow()
            .as_ref()
            .map_or(0, |stored| stored.index)
    }

    fn swap(&self, index: StoreIndex, value: &[u8]) -> WriteOutcome {
        if index != self.index() {
            return WriteOutcome::Conflict;
        }
        let stored = StoredValue {
            index: index + 1,
            value: value.to_vec(),
        };
        *self.value.borrow_mut() = Some(stored);
        WriteOutcome::Written
    }
}

impl KeyStore for ScriptedStore {
    fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        if key.starts_with("anvilrack/cells/") {
            return Ok(self.cell.clone());
        }
        Ok(self.value.borrow().clone())
    }

    fn wait(
        &self,
        key: &str,
        _index: StoreIndex,
        _wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.read(key)
    }

    fn write(&self, _key: &str, index: StoreIndex, value: &[u8]) -> WriteOutcome {
        match self.writes.borrow_mut().pop_front() {
            None => self.swap(index, value),
            Some(WriteFault::ResponseLost) => {
                self.swap(index, value);
                WriteOutcome::Unknown
            }
            Some(WriteFault::RequestLost) => WriteOutcome::Unknown,
            Some(WriteFault::ConcurrentApply(document)) => {
                self.put(2, document);
                self.swap(index, value)
            }
        }
    }
}

fn document(slots: u32) -> ConfigDocument {
    document_with_shards(slots, 16)
}

fn document_with_shards(slots: u32, shards: u32) -> ConfigDocument {
    let document = json!({
        "site": { "regions": { "norte": ["norte-a"] } },
        "services": { "viewer": {
            "divided_by_key": true, "shards": shards, "slots": slots, "connections": 10,
        } },
    });
    serde_json::from_value(document).unwrap()
}

fn document_in(region: &str, pinned: &str) -> ConfigDocument {
    let mut document = document(4);
    document
        .site
        .regions
        .insert("sul".into(), vec!["sul-a".into()]);
    let rules = document.services.get_mut("viewer").unwrap();
    rules.regions = vec![region.into()];
    rules.pinned_keys.insert("trip-1".into(), pinned.into());
    document
}

fn slots_in(store: &ScriptedStore) -> u32 {
    read_config(store).unwrap().0.document.services["viewer"].slots
}

macro_rules! apply_cases {
    ($($name:ident: $store:expr, $next:expr, from $from:expr => $expected:expr, slots $slots:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let store = $store;
                let result = apply(&store, $next, $from).map_err(|error| error.to_string());
                let expected: Result<u64, &str> = $expected;
                match (result, expected) {
                    (Ok(revision), Ok(expected)) => assert_eq!(revision, expected),
                    (Err(message), Err(expected)) => {
                        assert!(message.contains(expected), "{message}");
                    }
                    (result, expected) => panic!("{result:?}, but expected {expected:?}"),
                }
                assert_eq!(slots_in(&store), $slots);
            }
        )*
    };
}

apply_cases! {
    first_configuration_needs_no_revision: ScriptedStore::default(),
        document(4), from None => Ok(1), slots 4;
    later_configuration_names_its_base: ScriptedStore::with_config(4),
        document(5), from Some(1) => Ok(2), slots 5;
    stale_base_is_refused_with_the_difference: ScriptedStore::with_config(4), document(5), from None
        => Err("services.viewer.slots: 4 -> 5"), slots 4;
    changed_number_of_shards_is_refused: ScriptedStore::with_config(4),
        document_with_shards(4, 32), from Some(1)
        => Err("services.viewer.shards is 16 and cannot become 32"), slots 4;
    write_with_lost_response_is_recognised:
        ScriptedStore::with_config(4).with_fault(WriteFault::ResponseLost),
        document(5), from Some(1) => Ok(2), slots 5;
    lost_request_is_sent_again: ScriptedStore::with_config(4).with_fault(WriteFault::RequestLost),
        document(5), from Some(1) => Ok(2), slots 5;
    placement_with_matching_members: ScriptedStore::with_config(5).with_cell(),
        document_in("norte", "router-1"), from Some(1) => Ok(2), slots 4;
    region_without_members_is_refused: ScriptedStore::with_config(5).with_cell(),
        document_in("sul", "router-1"), from Some(1)
        => Err("its members are in [\"norte\"]"), slots 5;
    key_pinned_to_unknown_member: ScriptedStore::with_config(5).with_cell(),
        document_in("norte", "router-9"), from Some(1)
        => Err("`router-9`, which is not a member"), slots 5;
    concurrent_apply_is_refused_with_the_difference: ScriptedStore::with_config(4)
            .with_fault(WriteFault::ConcurrentApply(document(7))),
        document(5), from Some(1) => Err("services.viewer.slots: 7 -> 5"), slots 7;
}
