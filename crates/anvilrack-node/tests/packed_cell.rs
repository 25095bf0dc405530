//! A record comes out of its packed form as it went in, and in fewer bytes.

use anvilrack_core::{CellMember, CellRecord, RecordDelta, ShardOwner};
use anvilrack_node::ownership::{PackedCell, PackedStep};
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
fn packed_record_comes_back_whole() {
    let record = record();
    let bytes = encode(&PackedCell::new(&record)).expect("a record can be encoded");
    let packed: PackedCell = decode(&bytes).expect("encoded bytes can be decoded");
    assert_eq!(packed.unpack(), record);
}

#[test]
fn packed_record_is_small() {
    let record = record();
    let packed = encode(&PackedCell::new(&record)).expect("a record can be encoded");
    let plain = encode(&record).expect("a record can be encoded");
    // Names take most of the plain form; a record crosses regions with every change.
    assert!(
        packed.len() * 3 < plain.len(),
        "{} of {}",
        packed.len(),
        plain.len()
    );
}

#[test]
fn packed_step_leads_to_the_same_record() {
    let old = record();
    let mut new = old.clone();
    new.version += 1;
    for owner in new.shards.iter_mut().take(20).flatten() {
        owner.token += SHARDS;
        owner.handover = Some("7d1f".into());
    }
    let step = PackedStep::new(&RecordDelta::new(&old, &new));
    let bytes = encode(&step).expect("a step can be coded");
    let step: PackedStep = decode(&bytes).expect("encoded bytes can be decoded");
    let mut reached = old.clone();
    assert!(step.unpack().apply_to(&mut reached));
    assert_eq!(reached, new);
    // Routers that only route need the owners and nothing that they hand over.
    let mut routed = old;
    assert!(step.without_handovers().unpack().apply_to(&mut routed));
    let owners = |record: &CellRecord| -> Vec<_> {
        let shards = record.shards.iter().flatten();
        shards
            .map(|owner| (owner.node.clone(), owner.token))
            .collect()
    };
    assert_eq!(owners(&routed), owners(&new));
}
