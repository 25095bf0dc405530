//! May this router serve a shard right now?

use std::collections::BTreeMap;

use crate::{
    BootTime, CellRecord, Epoch, FencingToken, Incarnation, LeaseTerms, NodeId, RefusalReason,
    ShardId, TableVersion,
};

/// What one run of a router knows of its own grants.
///
/// A grant is an entry in the cell's record that names this very run; it is good only while the
/// lease runs. One lease covers all grants of the router, and it is renewed by the coordinator's
/// answer to a heartbeat.
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
    version: TableVersion,
    lease_until: BootTime,
    grants: BTreeMap<ShardId, ShardGrant>,
}

/// One shard as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ShardGrant {
    token: FencingToken,
    record_lost: bool,
    since: BootTime,
    released: bool,
}

/// Leave to serve one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAnswer {
    /// The token to send along to the target.
    pub token: FencingToken,
    /// When the lease ends unless it is renewed.
    pub lease_until: BootTime,
    /// When this owner learned of its grant.
    pub since: BootTime,
    /// True where an earlier owner's at-most-once record is gone.
    pub record_lost: bool,
}

impl OwnerState {
    /// You give the router's name, its run and the deployment's times.
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
        }
    }

    /// Leave to serve `shard` at the time `now`.
    ///
    /// # Errors
    ///
    /// `NotOwner`, `Moving` or `LeaseEnded`: the request has not run and must not be sent on.
    pub fn grant(&self, shard: ShardId, now: BootTime) -> Result<GrantAnswer, RefusalReason> {
        let grant = self.grants.get(&shard).ok_or(RefusalReason::NotOwner)?;
        if grant.released {
            return Err(RefusalReason::Moving);
        }
        if now >= self.lease_until {
            return Err(RefusalReason::LeaseEnded);
        }
        Ok(GrantAnswer {
            token: grant.token,
            lease_until: self.lease_until,
            since: grant.since,
            record_lost: grant.record_lost,
        })
    }

    /// Takes a newer record of the cell; an older one changes nothing.
    ///
    /// A token that was already held keeps its beginning and, where it was given back, stays given
    /// back.
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
    }

    /// Takes the answer to a heartbeat that was sent at `sent_at`; says whether the lease moved.
    ///
    /// An answer from an older epoch is refused, and so is one that speaks of a record this router
    /// has not taken yet: the newer record may have taken a shard away.
    pub fn on_renewal(&mut self, sent_at: BootTime, epoch: Epoch, version: TableVersion) -> bool {
        if epoch < self.epoch || version > self.version {
            return false;
        }
        self.epoch = epoch;
        let until = sent_at + self.terms.owner_lease();
        self.lease_until = self.lease_until.max(until);
        true
    }

    /// Moves to a newer epoch in this instant; says whether the caller's epoch is the newest.
    pub fn on_takeover(&mut self, epoch: Epoch) -> bool {
        self.epoch = self.epoch.max(epoch);
        self.epoch == epoch
    }

    /// Stops serving a shard for good under its present token; returns that token.
    pub fn release(&mut self, shard: ShardId) -> Option<FencingToken> {
        let grant = self.grants.get_mut(&shard)?;
        grant.released = true;
        Some(grant.token)
    }

    /// Serves a shard again that was given back under `token`, where its coordinator cannot give it to
    /// anyone else.
    pub fn take_back(&mut self, shard: ShardId, token: FencingToken) -> bool {
        let grant = self.grants.get_mut(&shard);
        let Some(grant) = grant.filter(|grant| grant.token == token && grant.released) else {
            return false;
        };
        grant.released = false;
        true
    }

    /// Gives up the lease at once, for a shutdown.
    pub fn end_lease(&mut self) {
        self.lease_until = BootTime::ZERO;
    }

    /// When the grant of a shard began, where an earlier owner's at-most-once record is gone.
    #[must_use]
    pub fn record_lost_at(&self, shard: ShardId) -> Option<BootTime> {
        let grant = self.grants.get(&shard).filter(|grant| grant.record_lost);
        grant.map(|grant| grant.since)
    }

    /// The shards granted and not given back.
    pub fn held(&self) -> impl Iterator<Item = (ShardId, FencingToken)> + '_ {
        self.grants
            .iter()
            .filter(|(_, grant)| !grant.released)
            .map(|(shard, grant)| (*shard, grant.token))
    }

    /// The shards given back, until a newer record takes them away.
    pub fn released(&self) -> impl Iterator<Item = (ShardId, FencingToken)> + '_ {
        self.grants
            .iter()
            .filter(|(_, grant)| grant.released)
            .map(|(shard, grant)| (*shard, grant.token))
    }

    /// The newest epoch seen.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// When the lease ends.
    #[must_use]
    pub fn lease_until(&self) -> BootTime {
        self.lease_until
    }
}
