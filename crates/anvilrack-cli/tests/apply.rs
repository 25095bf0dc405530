//! A configuration is applied as a whole or not at all, and the operator is told which.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use anvilrack_cli::config_apply::{apply, read_config};
use anvilrack_core::{ConfigDocument, ConfigRecord};
use anvilrack_store::{KeyStore, StoreError, StoreIndex, StoredValue, WriteOutcome};
use serde_json::json;

/// A store in memory that goes through a list of faults, one for each write.
#[derive(Default)]
struct ScriptedStore {
    value: RefCell<Option<StoredValue>>,
    writes: RefCell<VecDeque<WriteFault>>,
}

enum WriteFault {
    /// The write takes effect and its reply is lost.
    ReplyLost,
    /// The write never arrives.
    RequestLost,
    /// Another operator is faster by a moment.
    Overtaken(ConfigDocument),
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
    fn read(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
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
            Some(WriteFault::ReplyLost) => {
                self.swap(index, value);
                WriteOutcome::Unknown
            }
            Some(WriteFault::RequestLost) => WriteOutcome::Unknown,
            Some(WriteFault::Overtaken(document)) => {
                self.put(2, document);
                self.swap(index, value)
            }
        }
    }
}

fn document(slots: u32) -> ConfigDocument {
    document_of(slots, 16)
}

fn document_of(slots: u32, shards: u32) -> ConfigDocument {
    let document = json!({
        "site": { "regions": { "norte": ["norte-a"] } },
        "services": { "viewer": {
            "divided_by_key": true, "shards": shards, "slots": slots, "connections": 10,
        } },
    });
    serde_json::from_value(document).unwrap()
}

fn slots_in(store: &ScriptedStore) -> u32 {
    read_config(store).unwrap().0.document.services["viewer"].slots
}

macro_rules! apply_cases {
    ($($name:ident: $store:expr, $next:expr, from $from:expr => $told:expr, slots $slots:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let store = $store;
                let told = apply(&store, $next, $from).map_err(|error| error.to_string());
                let expected: Result<u64, &str> = $told;
                match (told, expected) {
                    (Ok(revision), Ok(expected)) => assert_eq!(revision, expected),
                    (Err(fault), Err(expected)) => {
                        assert!(fault.contains(expected), "{fault}");
                    }
                    (told, expected) => panic!("{told:?}, but expected {expected:?}"),
                }
                assert_eq!(slots_in(&store), $slots);
            }
        )*
    };
}

apply_cases! {
    first_one_needs_no_revision: ScriptedStore::default(), document(4), from None => Ok(1), slots 4;
    next_one_names_its_base: ScriptedStore::with_config(4), document(5), from Some(1) => Ok(2), slots 5;
    older_base_is_refused_with_the_difference: ScriptedStore::with_config(4), document(5), from None
        => Err("services.viewer.slots: 4 -> 5"), slots 4;
    fixed_number_of_shards: ScriptedStore::with_config(4), document_of(4, 32), from Some(1)
        => Err("services.viewer.shards is 16 and cannot become 32"), slots 4;
    lost_reply_is_recognised: ScriptedStore::with_config(4).with_fault(WriteFault::ReplyLost),
        document(5), from Some(1) => Ok(2), slots 5;
    lost_request_is_sent_again: ScriptedStore::with_config(4).with_fault(WriteFault::RequestLost),
        document(5), from Some(1) => Ok(2), slots 5;
    two_operators_at_once: ScriptedStore::with_config(4)
            .with_fault(WriteFault::Overtaken(document(7))),
        document(5), from Some(1) => Err("services.viewer.slots: 7 -> 5"), slots 7;
}
