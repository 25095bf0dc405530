//! Tests of the limit on data that a router sends in addition to requests.

use std::time::Duration;

use anvilrack_core::UploadPacer;

/// Bytes that a link of 10 Mbit/s sends in 100 ms.
const LINK_BYTES: usize = 125_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn transfers_are_admitted_while_the_link_sends_them_soon() {
    let mut pacer = UploadPacer::new(10);
    for _ in 0..5 {
        assert_eq!(pacer.admit(LINK_BYTES / 5, at(1_000)), Ok(()));
    }
    let retry_after = pacer.admit(LINK_BYTES / 5, at(1_000)).unwrap_err();
    assert_eq!(retry_after, at(20));
    assert_eq!(pacer.admit(LINK_BYTES / 5, at(1_020)), Ok(()));
}

#[test]
fn transfer_beyond_the_limit_is_admitted_on_its_own() {
    let mut pacer = UploadPacer::new(10);
    assert_eq!(pacer.admit(LINK_BYTES * 4, at(0)), Ok(()));
    assert_eq!(pacer.admit(1, at(100)), Err(at(200)));
    assert_eq!(pacer.admit(LINK_BYTES * 4, at(399)), Err(at(1)));
    assert_eq!(pacer.admit(LINK_BYTES * 4, at(400)), Ok(()));
}

#[test]
fn fast_link_admits_more() {
    let mut pacer = UploadPacer::new(200);
    for _ in 0..20 {
        assert_eq!(pacer.admit(LINK_BYTES, at(0)), Ok(()));
    }
    assert!(pacer.admit(LINK_BYTES, at(0)).is_err());
}
