//! How long a target may hold keys that its router has granted to it.

use std::collections::BTreeMap;

use crate::{BootTime, ShardId};

/// A target's clock may run this many percent slow, which makes the target hold keys for longer.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// Times until which whatever listens at the local target's address may hold the keys of each shard.
///
/// A grant call reaches the process that listens at the address at that moment. A target that has started again
/// under its id takes it before its router learns of the restart, so a new incarnation of the target ends no hold.
/// A hold ends
///
/// - when its time is over, which counts from the arrival of the call;
/// - when the target responds to a release, unless the grant call got no response: such a call may take effect
///   late, also after the release;
/// - when the address refuses a connection that was attempted after the call ended: the process that got the call
///   has exited.
///
/// The target outlives the router's process, so this also holds for the calls of the former process, of which this
/// one knows nothing but the longest hold that they asked for.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::TargetHolds;
///
/// let ms = Duration::from_millis;
/// let mut holds = TargetHolds::new(ms(0), ms(1_000));
/// assert_eq!(holds.may_take_effect_until(7), ms(1_020));
/// holds.on_unanswered(7, ms(3_000), ms(1_000));
/// assert_eq!(holds.may_take_effect_until(7), ms(4_020));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetHolds {
    former_until: BootTime,
    shards: BTreeMap<ShardId, ShardHold>,
}

/// What is known about one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ShardHold {
    /// A call that got no response may make the target hold the keys until this time.
    unanswered_until: BootTime,
    /// The target holds the keys until this time because of a call that it responded to.
    answered_until: BootTime,
    /// When the latest call ended, with or without a response.
    last_call_at: BootTime,
}

impl TargetHolds {
    /// Creates the state of a router process that started at `started_at`.
    ///
    /// `longest` is the longest hold for which a former process may have made a call.
    #[must_use]
    pub fn new(started_at: BootTime, longest: BootTime) -> Self {
        Self {
            former_until: started_at + at_target(longest),
            shards: BTreeMap::new(),
        }
    }

    /// Records that a grant call for `hold` got no response until `now`.
    pub fn on_unanswered(&mut self, shard: ShardId, now: BootTime, hold: BootTime) {
        // The call arrived before `now`, if it did.
        let until = now + at_target(hold);
        let entry = self.shards.entry(shard).or_default();
        entry.unanswered_until = entry.unanswered_until.max(until);
        entry.last_call_at = entry.last_call_at.max(now);
    }

    /// Records that the target responded at `now` that it holds the keys of a shard for `hold`.
    pub fn on_granted(&mut self, shard: ShardId, now: BootTime, hold: BootTime) {
        let until = now + at_target(hold);
        let entry = self.shards.entry(shard).or_default();
        entry.answered_until = entry.answered_until.max(until);
        entry.last_call_at = entry.last_call_at.max(now);
    }

    /// Records that the target responded to a release of a shard, for which no grant call was in flight.
    pub fn on_released(&mut self, shard: ShardId) {
        if let Some(entry) = self.shards.get_mut(&shard) {
            entry.answered_until = BootTime::ZERO;
        }
    }

    /// Records that the target's address refused a connection that was attempted after `attempted_at`.
    pub fn on_exit(&mut self, attempted_at: BootTime) {
        self.former_until = BootTime::ZERO;
        self.shards
            .retain(|_, entry| entry.last_call_at >= attempted_at);
    }

    /// Returns until when a grant of a shard may take effect although the target has released it.
    #[must_use]
    pub fn may_take_effect_until(&self, shard: ShardId) -> BootTime {
        let hold = self.shards.get(&shard).copied().unwrap_or_default();
        self.former_until.max(hold.unanswered_until)
    }

    /// Returns until when the target may hold a shard that it does not release.
    #[must_use]
    pub fn may_hold_until(&self, shard: ShardId) -> BootTime {
        let hold = self.shards.get(&shard).copied().unwrap_or_default();
        self.former_until
            .max(hold.unanswered_until)
            .max(hold.answered_until)
    }

    /// Returns until when a grant of the router's former process may take effect.
    #[must_use]
    pub fn former_until(&self) -> BootTime {
        self.former_until
    }
}

/// Returns how long a hold may last by this router's clock.
fn at_target(hold: BootTime) -> BootTime {
    hold + hold * SLOW_CLOCK_PERCENT / 100
}
