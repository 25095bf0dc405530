//! Tests of the HTTP client against a store that responds, rejects writes, loses responses or is
//! down.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use anvilrack_fakes::{FakeStore, StoreFaults};
use anvilrack_store::{HttpStore, KeyStore, StoreError, WriteOutcome};

const KEY: &str = "anvilrack/test";

macro_rules! store_cases {
    ($($name:ident => |$address:ident, $store:ident| $body:block)*) => {
        $(
            #[test]
            fn $name() {
                let $address = start_store();
                let $store = HttpStore::new($address).with_timeout(Duration::from_secs(20));
                $body
            }
        )*
    };
}

store_cases! {
    missing_key_reads_as_none => |_address, store| {
        assert_eq!(store.read(KEY).unwrap(), None);
    }

    write_with_current_index_takes_effect => |_address, store| {
        assert_eq!(store.write(KEY, 0, b"one"), WriteOutcome::Written);
        let first = store.read(KEY).unwrap().unwrap();
        assert_eq!(store.write(KEY, first.index, b"two"), WriteOutcome::Written);
        let second = store.read(KEY).unwrap().unwrap();
        assert_eq!(second.value, b"two");
        assert!(second.index > first.index);
    }

    write_with_stale_index_changes_nothing => |_address, store| {
        assert_eq!(store.write(KEY, 0, b"one"), WriteOutcome::Written);
        assert_eq!(store.write(KEY, 0, b"two"), WriteOutcome::Conflict);
        assert_eq!(store.read(KEY).unwrap().unwrap().value, b"one");
    }

    lost_response_gives_unknown_outcome => |address, store| {
        set_faults(address, StoreFaults { lose_replies: 1, ..StoreFaults::default() });
        assert_eq!(store.write(KEY, 0, b"one"), WriteOutcome::Unknown);
        assert_eq!(store.read(KEY).unwrap().unwrap().value, b"one");
    }

    store_that_is_down_gives_its_status => |address, store| {
        set_faults(address, StoreFaults { down: true, ..StoreFaults::default() });
        assert!(matches!(store.read(KEY), Err(StoreError::Status(503))));
        assert_eq!(store.write(KEY, 0, b"one"), WriteOutcome::Unknown);
    }

    watch_ends_with_the_change => |_address, store| {
        assert_eq!(store.write(KEY, 0, b"one"), WriteOutcome::Written);
        let first = store.read(KEY).unwrap().unwrap();
        let watcher = store.clone();
        let watch = thread::spawn(move || watcher.wait(KEY, first.index, Duration::from_mins(1)));
        assert_eq!(store.write(KEY, first.index, b"two"), WriteOutcome::Written);
        assert_eq!(watch.join().unwrap().unwrap().unwrap().value, b"two");
    }
}

fn start_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    thread::spawn(move || FakeStore::default().run(address));
    let store = HttpStore::new(address);
    while store.read(KEY).is_err() {
        thread::sleep(Duration::from_millis(10));
    }
    address
}

fn set_faults(address: SocketAddr, faults: StoreFaults) {
    let url = format!("http://{address}/_control/faults");
    let body = serde_json::to_string(&faults).unwrap();
    attohttpc::post(url).text(body).send().unwrap();
}
