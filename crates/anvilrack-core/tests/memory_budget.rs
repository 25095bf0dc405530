//! Who gives way when a router's memory runs out.

use std::time::Duration;

use anvilrack_core::{BodyRoom, HoldPurpose, HolderId, MemoryBudget, MemoryStep, STALL_TIME};

const MEGABYTE: usize = 1_000_000;
const CAPACITY: usize = 80 * MEGABYTE;

/// Bytes of which a body consists while it arrives.
const BLOCK: usize = MEGABYTE;

const NOW: Duration = Duration::from_secs(1_000);

struct Load {
    budget: MemoryBudget,
    now: Duration,
}

impl Load {
    fn new() -> Self {
        Self {
            budget: MemoryBudget::new(CAPACITY),
            now: NOW,
        }
    }

    /// Receives blocks of a body; returns how the last of them ended.
    fn receive(&mut self, id: HolderId, blocks: usize) -> MemoryStep {
        let mut step = MemoryStep::Granted;
        for block in 0..blocks {
            step = self.budget.grow(id, BLOCK, self.now);
            if step != MemoryStep::Granted {
                break;
            }
            self.budget.on_received(id, (block + 1) * BLOCK, self.now);
        }
        step
    }

    /// Begins bodies and receives some blocks of each.
    fn bodies(&mut self, purpose: HoldPurpose, count: usize, blocks: usize) -> Vec<HolderId> {
        let ids: Vec<_> = (0..count)
            .map(|_| self.budget.open(purpose, self.now))
            .collect();
        for id in &ids {
            assert_eq!(self.receive(*id, blocks), MemoryStep::Granted);
        }
        ids
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }
}

/// One body of 64 MiB in calm, on the smallest VM.
#[test]
fn greatest_body_fits_alone() {
    let mut load = Load::new();
    let body = load.budget.open(HoldPurpose::Receiving, load.now);
    assert_eq!(load.budget.room_for(67_108_864, load.now), BodyRoom::Free);
    assert_eq!(load.receive(body, 68), MemoryStep::Granted);
}

/// Many bodies that stop short of their end and stay open.
#[test]
fn bodies_without_progress_give_way_to_one_that_moves() {
    let mut load = Load::new();
    let stopped = load.bodies(HoldPurpose::Receiving, 7, 10);
    load.pass(STALL_TIME);
    let moving = load.budget.open(HoldPurpose::Receiving, load.now);
    let step = load.budget.grow(moving, 2 * BLOCK, load.now);
    assert_eq!(
        step,
        MemoryStep::Wait {
            evicted: vec![stopped[0]]
        }
    );
    // Until the other has released its memory, no more give way.
    let step = load.budget.grow(moving, 2 * BLOCK, load.now);
    assert_eq!(step, MemoryStep::Wait { evicted: vec![] });
    load.budget.close(stopped[0]);
    let step = load.budget.grow(moving, 2 * BLOCK, load.now);
    assert_eq!(step, MemoryStep::Granted);
}

/// Bodies that get a byte now and then.
#[test]
fn body_that_trickles_counts_as_stopped() {
    let mut load = Load::new();
    let trickling = load.bodies(HoldPurpose::Receiving, 1, 64)[0];
    for byte in 1..=10 {
        load.pass(STALL_TIME / 4);
        load.budget
            .on_received(trickling, 64 * BLOCK + byte, load.now);
    }
    let moving = load.budget.open(HoldPurpose::Receiving, load.now);
    let step = load.budget.grow(moving, 20 * BLOCK, load.now);
    assert_eq!(
        step,
        MemoryStep::Wait {
            evicted: vec![trickling]
        }
    );
}

/// A slow but steady upload beside a crowd.
#[test]
fn slow_but_steady_body_is_kept() {
    let mut load = Load::new();
    let steady = load.budget.open(HoldPurpose::Receiving, load.now);
    load.bodies(HoldPurpose::Receiving, 6, 10);
    for block in 1..=8 {
        load.pass(STALL_TIME / 2);
        assert_eq!(
            load.budget.grow(steady, BLOCK, load.now),
            MemoryStep::Granted
        );
        load.budget.on_received(steady, block * BLOCK, load.now);
    }
    let moving = load.budget.open(HoldPurpose::Receiving, load.now);
    let MemoryStep::Wait { evicted } = load.budget.grow(moving, 20 * BLOCK, load.now) else {
        panic!("others give way");
    };
    assert!(!evicted.contains(&steady), "{evicted:?}");
}

/// Many large bodies that all move.
#[test]
fn some_of_many_large_bodies_complete() {
    let mut load = Load::new();
    let ids: Vec<_> = (0..12)
        .map(|_| load.budget.open(HoldPurpose::Receiving, load.now))
        .collect();
    let mut refused = Vec::new();
    for _ in 0..20 {
        for id in &ids {
            if !refused.contains(id)
                && load.budget.grow(*id, BLOCK, load.now) == MemoryStep::Refused
            {
                load.budget.close(*id);
                refused.push(*id);
            }
        }
    }
    assert_eq!(refused.len(), 9, "70 MB hold three bodies of 20 MB");
}

/// Large bodies that use up all that they may.
#[test]
fn small_bodies_and_responses_keep_a_share() {
    let mut load = Load::new();
    load.bodies(HoldPurpose::Forwarding, 1, 70);
    let large = load.budget.open(HoldPurpose::Receiving, load.now);
    assert_eq!(
        load.budget.grow(large, BLOCK, load.now),
        MemoryStep::Refused
    );
    let small = load.budget.open(HoldPurpose::Receiving, load.now);
    assert_eq!(
        load.budget.grow(small, 60_000, load.now),
        MemoryStep::Granted
    );
    let response = load.budget.open(HoldPurpose::Responding, load.now);
    assert_eq!(load.receive(response, 9), MemoryStep::Granted);
}

/// Responses to requests that have run, while request bodies arrive.
#[test]
fn response_goes_before_bodies_that_move() {
    let mut load = Load::new();
    let bodies = load.bodies(HoldPurpose::Receiving, 1, 70);
    let response = load.budget.open(HoldPurpose::Responding, load.now);
    assert_eq!(load.receive(response, 10), MemoryStep::Granted);
    let step = load.budget.grow(response, BLOCK, load.now);
    assert_eq!(step, MemoryStep::Wait { evicted: bodies });
}

/// Complete requests may have begun to run.
#[test]
fn complete_requests_and_responses_do_not_give_way() {
    let mut load = Load::new();
    load.bodies(HoldPurpose::Forwarding, 7, 10);
    load.bodies(HoldPurpose::Responding, 1, 9);
    load.pass(Duration::from_mins(1));
    let response = load.budget.open(HoldPurpose::Responding, load.now);
    assert_eq!(
        load.budget.grow(response, 2 * BLOCK, load.now),
        MemoryStep::Wait { evicted: vec![] }
    );
}

/// Callers that do not read their responses.
#[test]
fn unread_responses_give_way_to_others() {
    let mut load = Load::new();
    let unread = load.bodies(HoldPurpose::Delivering, 2, 40);
    load.pass(Duration::from_secs(2));
    load.budget.shrink(unread[1], BLOCK, load.now);
    load.pass(Duration::from_secs(2));
    let response = load.budget.open(HoldPurpose::Responding, load.now);
    let step = load.budget.grow(response, 2 * BLOCK, load.now);
    assert_eq!(
        step,
        MemoryStep::Wait {
            evicted: vec![unread[0]]
        }
    );
}

/// Large responses that arrive at the same time, together more than the memory.
#[test]
fn oldest_of_many_large_responses_completes() {
    let mut load = Load::new();
    let responses: Vec<_> = (0..8)
        .map(|_| load.budget.open(HoldPurpose::Responding, load.now))
        .collect();
    let mut received = vec![0; responses.len()];
    for _ in 0..20 {
        for (id, blocks) in responses.iter().zip(&mut received) {
            if load.budget.grow(*id, BLOCK, load.now) == MemoryStep::Granted {
                *blocks += 1;
            }
        }
    }
    // 20 MB are for responses; the younger ones got 10 MB of these before.
    assert_eq!(received.iter().sum::<usize>(), 20, "{received:?}");
    let younger = &received[1..];
    assert!(
        younger.iter().all(|blocks| received[0] > 4 * blocks),
        "{received:?}"
    );
}

/// A response without end.
#[test]
fn endless_response_is_refused_beyond_its_share() {
    let mut load = Load::new();
    let endless = load.budget.open(HoldPurpose::Responding, load.now);
    assert_eq!(load.receive(endless, 20), MemoryStep::Granted);
    assert_eq!(load.receive(endless, 1), MemoryStep::Refused);
}

/// Memory that was reserved for a body on its way from another router.
#[test]
fn reservation_is_used_by_its_body() {
    let mut load = Load::new();
    let (first, _) = load.budget.reserve(60 * BLOCK, load.now).expect("room");
    assert_eq!(load.budget.reserve(20 * BLOCK, load.now), None);
    assert_eq!(load.receive(first, 60), MemoryStep::Granted);
    assert_eq!(load.budget.held(), 60 * BLOCK);
    load.budget
        .set_purpose(first, HoldPurpose::Forwarding, load.now);
    load.budget.close(first);
    assert_eq!(load.budget.held(), 0);
}

/// Reservations whose bodies do not arrive.
#[test]
fn reservation_without_its_body_gives_way() {
    let mut load = Load::new();
    let (lost, _) = load.budget.reserve(60 * BLOCK, load.now).expect("room");
    load.pass(STALL_TIME);
    let (_, evicted) = load.budget.reserve(60 * BLOCK, load.now).expect("room");
    assert_eq!(evicted, [lost]);
}

/// Bodies that announce more than they send.
#[test]
fn announced_bytes_do_not_count() {
    let mut load = Load::new();
    let bodies = load.bodies(HoldPurpose::Receiving, 50, 1);
    assert_eq!(load.budget.held(), bodies.len() * BLOCK);
    assert_eq!(load.budget.room_for(15 * BLOCK, load.now), BodyRoom::Free);
    assert_eq!(
        load.budget.room_for(30 * BLOCK, load.now),
        BodyRoom::Occupied
    );
    assert_eq!(load.budget.room_for(CAPACITY, load.now), BodyRoom::Never);
}
