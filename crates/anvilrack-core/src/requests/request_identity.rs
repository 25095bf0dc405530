//! Fingerprints of requests, and send times from idempotency keys.

use std::time::Duration;

use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use crate::BootTime;

/// Returns a fingerprint of a list of byte strings that also depends on their boundaries.
///
/// ```
/// use anvilrack_core::fingerprint_of;
///
/// assert_ne!(fingerprint_of(&[b"ab", b"c"]), fingerprint_of(&[b"a", b"bc"]));
/// ```
#[must_use]
pub fn fingerprint_of(parts: &[&[u8]]) -> u64 {
    hash_parts(parts).digest()
}

/// Returns the fingerprint of a request whose last part is a body in several blocks.
///
/// It does not depend on how the body is divided.
#[must_use]
pub fn fingerprint_with_body<'a>(
    parts: &[&[u8]],
    body_bytes: usize,
    blocks: impl Iterator<Item = &'a [u8]>,
) -> u64 {
    let mut hash = hash_parts(parts);
    hash.update(&(body_bytes as u64).to_le_bytes());
    blocks.for_each(|block| hash.update(block));
    hash.digest()
}

fn hash_parts(parts: &[&[u8]]) -> Xxh3 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash
}

/// Returns when a request was first sent, on this router's boot clock, from its idempotency key.
///
/// Only UUIDs of version 7 contain a time. Returns `None` for any other key, and for a time more
/// than `margin` in the future.
#[must_use]
pub fn first_sent_at(
    idempotency_key: &str,
    unix_now: Duration,
    now: BootTime,
    margin: Duration,
) -> Option<BootTime> {
    let id = Uuid::try_parse(idempotency_key).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    let sent = Duration::new(seconds, nanos);
    if sent > unix_now + margin {
        return None;
    }
    let age = unix_now.saturating_sub(sent);
    Some(now.saturating_sub(age))
}
