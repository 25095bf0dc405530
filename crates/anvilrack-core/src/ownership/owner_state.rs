//! Decides whether this router may serve a shard at a given time.

use std::collections::BTreeMap;

use crate::{
    BootTime, CellRecord, CellVersion, Epoch, FencingToken, Incarnation, LeaseTerms, NodeId,
    RefusalReason, ShardId,
};

/// The grants of one router incarnation, and the lease that covers them.
///
/// A grant is an entry in the cell's record that names this router and this incarnation. It is
/// valid only while the lease runs. One lease covers all grants of the router; the coordinator
/// renews it when it replies to a heartbeat.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::{LeaseTerms, OwnerState, RefusalReason};
///
/// let owner = OwnerState::new("router-1".into(), 7, LeaseTerms::default());
/// assert_eq!(owner.grant(0, Duration::ZERO).unwrap_err(), RefusalReason::NotOwner);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnerState {
    node: NodeId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    epoch: Epoch,
    version: CellVersion,
    lease_until: BootTime,
    grants: BTreeMap<ShardId, ShardGrant>,
    former_grants: BTreeMap<ShardId, FencingToken>,
}

/// A shard that the cell's record grants to this incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ShardGrant {
    token: FencingToken,
    record_lost: bool,
    since: BootTime,
    released: bool,
}

/// Permission to serve one shard, returned by [`OwnerState::grant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardPermit {
    /// Fencing token to send to the target with each request.
    pub token: FencingToken,
    /// Time at which the lease ends unless it is renewed.
    pub lease_until: BootTime,
    /// Time at which this router received the grant.
    pub since: BootTime,
    /// Whether the at-most-once record of an earlier owner was lost.
    pub record_lost: bool,
}

impl OwnerState {
    /// Creates the state of a router incarnation that holds no grants and no lease.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation, terms: LeaseTerms) -> Self {
        Self {
            node,
            incarnation,
            terms,
            epoch: 0,
            version: 0,
            lease_until: BootTime::ZERO,
            grants: BTreeMap::new(),
            former_grants: BTreeMap::new(),
        }
    }

    /// Returns the grant for `shard`, if this router may serve it at the time `now`.
    ///
    /// # Errors
    ///
    /// Returns `NotOwner`, `Moving` or `LeaseEnded` if the router may not serve the shard. The
    /// request has not run and must not be forwarded to the target.
    pub fn grant(&self, shard: ShardId, now: BootTime) -> Result<ShardPermit, RefusalReason> {
        let grant = self.grants.get(&shard).ok_or(RefusalReason::NotOwner)?;
        if grant.released {
            return Err(RefusalReason::Moving);
        }
        if now >= self.lease_until {
            return Err(RefusalReason::LeaseEnded);
        }
        Ok(ShardPermit {
            token: grant.token,
            lease_until: self.lease_until,
            since: grant.since,
            record_lost: grant.record_lost,
        })
    }

    /// Applies a newer record of the cell; ignores one that is not newer.
    ///
    /// A grant whose fencing token is unchanged keeps its start time, and stays released if it was
    /// released.
    pub fn on_record(&mut self, record: &CellRecord, now: BootTime) {
        if record.version <= self.version {
            return;
        }
        self.version = record.version;
        self.epoch = self.epoch.max(record.epoch);
        let earlier = std::mem::take(&mut self.grants);
        self.grants = record
            .owned_by(&self.node, self.incarnation)
            .map(|(shard, token)| {
                let record_lost = record.owner(shard).is_some_and(|owner| owner.record_lost);
                let grant = earlier
                    .get(&shard)
                    .filter(|grant| grant.token == token)
                    .cloned()
                    .unwrap_or(ShardGrant {
                        token,
                        record_lost,
                        since: now,
                        released: false,
                    });
                (shard, grant)
            })
            .collect();
        self.former_grants = record
            .owned_by_other_incarnations(&self.node, self.incarnation)
            .collect();
    }

    /// Applies the reply to a heartbeat that was sent at `sent_at`; returns whether it was
    /// accepted.
    ///
    /// Replies from an older epoch are rejected. So are replies for a record version that this
    /// router has not applied yet, because that record may have moved a shard to another owner.
    pub fn on_renewal(&mut self, sent_at: BootTime, epoch: Epoch, version: CellVersion) -> bool {
        if epoch < self.epoch || version > self.version {
            return false;
        }
        self.epoch = epoch;
        let until = sent_at + self.terms.owner_lease();
        self.lease_until = self.lease_until.max(until);
        true
    }

    /// Switches to `epoch` if it is newer; returns whether `epoch` is the newest epoch seen.
    pub fn on_takeover(&mut self, epoch: Epoch) -> bool {
        self.epoch = self.epoch.max(epoch);
        self.epoch == epoch
    }

    /// Stops serving a shard under its current fencing token; returns that token.
    pub fn release(&mut self, shard: ShardId) -> Option<FencingToken> {
        let grant = self.grants.get_mut(&shard)?;
        grant.released = true;
        Some(grant.token)
    }

    /// Resumes serving a shard that was released under `token`; returns whether it did.
    ///
    /// The caller must know that the coordinator cannot grant the shard to another owner.
    pub fn resume_shard(&mut self, shard: ShardId, token: FencingToken) -> bool {
        let grant = self.grants.get_mut(&shard);
        let Some(grant) = grant.filter(|grant| grant.token == token && grant.released) else {
            return false;
        };
        grant.released = false;
        true
    }

    /// Ends the lease immediately, for a shutdown.
    pub fn end_lease(&mut self) {
        self.lease_until = BootTime::ZERO;
    }

    /// Returns when the grant of a shard began, if an earlier owner's at-most-once record was lost.
    #[must_use]
    pub fn record_lost_at(&self, shard: ShardId) -> Option<BootTime> {
        let grant = self.grants.get(&shard).filter(|grant| grant.record_lost);
        grant.map(|grant| grant.since)
    }

    /// Iterates over the granted shards that were not released.
    pub fn held(&self) -> impl Iterator<Item = (ShardId, FencingToken)> + '_ {
        self.grants
            .iter()
            .filter(|(_, grant)| !grant.released)
            .map(|(shard, grant)| (*shard, grant.token))
    }

    /// Iterates over the released shards that the record still grants to this router.
    pub fn released(&self) -> impl Iterator<Item = (ShardId, FencingToken)> + '_ {
        self.grants
            .iter()
            .filter(|(_, grant)| grant.released)
            .map(|(shard, grant)| (*shard, grant.token))
    }

    /// Iterates over the shards that the record grants to another incarnation of this router.
    ///
    /// This incarnation does not serve them. They have no next owner until it has reported them as released, or
    /// the lease of the other incarnation has expired.
    pub fn former(&self) -> impl Iterator<Item = (ShardId, FencingToken)> + '_ {
        let grants = self.former_grants.iter();
        grants.map(|(shard, token)| (*shard, *token))
    }

    /// Returns whether the record grants a shard with this token to this router, and the router does not serve it:
    /// because it has released the shard, or because another incarnation of it was granted the shard.
    #[must_use]
    pub fn has_unserved(&self, shard: ShardId, token: FencingToken) -> bool {
        let grant = self.grants.get(&shard);
        let is_released = grant.is_some_and(|grant| grant.released && grant.token == token);
        is_released || self.former_grants.get(&shard) == Some(&token)
    }

    /// Returns the newest epoch seen.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns when the lease ends.
    #[must_use]
    pub fn lease_until(&self) -> BootTime {
        self.lease_until
    }
}
