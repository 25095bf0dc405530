//! Tests that packing preserves records and deltas, and that the packed form is smaller.

use anvilrack_core::{CellMember, CellRecord, RecordDelta, ShardOwner};
use anvilrack_node::ownership::{PackedCell, PackedDelta};
use anvilrack_wire::{decode, encode};

const MEMBERS: u64 = 6;
const SHARDS: u64 = 128;

fn node(number: u64) -> String {
    format!("sidecar-norte-a-{number}")
}

fn record() -> CellRecord {
    let member = |number| CellMember {
        node: node(number).into(),
        incarnation: 1_700_000_000_000 + number,
        peer_address: ([10, 1, 0, 8], 8300).into(),
        failure_domain: "norte-a".into(),
        region: "norte".into(),
        leaving: false,
    };
    let owner = |shard: u64| {
        (shard != 7).then(|| ShardOwner {
            node: node(shard % MEMBERS).into(),
            incarnation: 1_700_000_000_000 + shard % MEMBERS,
            token: shard + 1,
            record_lost: shard.is_multiple_of(2),
            handover: (shard == 9).then(|| "5c0e7a21".into()),
        })
    };
    CellRecord {
        service: "views".into(),
        epoch: 3,
        version: 40,
        coordinator: node(0).into(),
        standbys: vec![node(1).into(), node(2).into()],
        last_token: SHARDS,
        members: (0..MEMBERS).map(member).collect(),
        shards: (0..SHARDS).map(owner).collect(),
        ..CellRecord::default()
    }
}

#[test]
fn packed_record_round_trips() {
    let record = record();
    let bytes = encode(&PackedCell::new(&record)).expect("a record can be encoded");
    let packed: PackedCell = decode(&bytes).expect("encoded bytes can be decoded");
    assert_eq!(packed.unpack(), record);
}

#[test]
fn packed_record_is_less_than_a_third_of_the_plain_size() {
    let record = record();
    let packed = encode(&PackedCell::new(&record)).expect("a record can be encoded");
    let plain = encode(&record).expect("a record can be encoded");
    // Owner names take most of the plain form, and a record is sent between regions with every change.
    assert!(
        packed.len() * 3 < plain.len(),
        "{} of {}",
        packed.len(),
        plain.len()
    );
}

#[test]
fn packed_delta_produces_the_same_record() {
    let old = record();
    let mut new = old.clone();
    new.version += 1;
    for owner in new.shards.iter_mut().take(20).flatten() {
        owner.token += SHARDS;
        owner.handover = Some("7d1f".into());
    }
    let delta = PackedDelta::new(&RecordDelta::new(&old, &new));
    let bytes = encode(&delta).expect("a delta can be encoded");
    let delta: PackedDelta = decode(&bytes).expect("encoded bytes can be decoded");
    let mut updated = old.clone();
    assert!(delta.unpack().apply_to(&mut updated));
    assert_eq!(updated, new);
    // Routers that only route to the cell need its owners but no handover values.
    let mut routing_copy = old;
    assert!(
        delta
            .without_handovers()
            .unpack()
            .apply_to(&mut routing_copy)
    );
    let owners = |record: &CellRecord| -> Vec<_> {
        let shards = record.shards.iter().flatten();
        shards
            .map(|owner| (owner.node.clone(), owner.token))
            .collect()
    };
    assert_eq!(owners(&routing_copy), owners(&new));
}
