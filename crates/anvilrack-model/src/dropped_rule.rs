//! The rules of the protocol, each of which one mutant drops.

use crate::{
    FaultKind, InitialStep, LostResponseOutcome, ModelOptions, RouterStep, SearchBounds,
    SystemAction, long_authority_terms, long_promise_terms, model_terms, short_promise_terms,
};

/// A rule of the protocol that a mutant of the model drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DroppedRule {
    /// A coordinator renews leases only while it has authority.
    RenewWithAuthority,
    /// While a pending write takes away a shard that a member has not released, a coordinator renews the
    /// member's lease only together with the order to release the shard.
    NoRenewalWhileLosing,
    /// A write of unknown outcome stays pending until the outcome is known.
    KeepPendingWrite,
    /// A new coordinator waits until the leases of silent owners have expired before it grants their
    /// shards.
    WaitForSilent,
    /// A new coordinator also waits until the authority of the previous coordinator has expired.
    WaitForAuthority,
    /// An owner refuses renewals of an older epoch.
    RefuseOlderEpoch,
    /// An owner counts its lease from the time at which it sent the heartbeat.
    LeaseFromSending,
    /// An owner refuses a renewal for a record version that it has not received.
    RefuseUnknownRecord,
    /// A standby makes no promise while the outcome of its own takeover is unknown.
    NoPromiseWhileOpen,
    /// A restarted standby is not a standby until a record names its new incarnation.
    RestartLosesStandby,
    /// A standby does not take over while its promise is valid.
    KeepPromise,
    /// A record is published only once it is committed.
    PublishAfterCommit,
    /// A new incarnation starts without grants.
    RestartLosesGrants,
    /// A release is reported only after the last request for the shard has ended.
    ReleaseAfterRequest,
    /// A lease is shortened by the drift margin.
    DriftMargin,
    /// A new coordinator that was not a standby also waits for the outage limit before it grants the
    /// shards of silent owners.
    OutsiderWait,
    /// A takeover is based on the newer of the known and the stored record.
    TakeoverFromNewer,
    /// A successor asks all routers that it can reach for a record newer than its own and the stored
    /// one.
    TakeoverAsksOthers,
    /// An owner resumes serving a shard that it released only if its coordinator has discarded the
    /// release and tells the owner to keep the shard.
    TakeBackWhenTold,
    /// A coordinator refuses a report that arrives after a later one of the same router.
    RefuseLateReports,
    /// The releases that a former run of a router reported do not count for the present run, which may serve
    /// those shards.
    ReleasesEndWithRun,
    /// A release is reported only once no grant that got no response can take effect any more.
    ReleaseAfterLateGrants,
    /// A process that has restarted assumes that grants of its former process may still take effect.
    FormerGrantsPending,
    /// A target that has started again may hold what its router granted before it learned of the restart, until the
    /// target has released it.
    HoldsOutlastIncarnation,
    /// A shard whose target does not check fencing tokens is not granted again before the last request
    /// deadline has passed.
    WaitForDeadline,
}

impl DroppedRule {
    /// All rules.
    pub const ALL: [Self; 25] = [
        Self::RenewWithAuthority,
        Self::NoRenewalWhileLosing,
        Self::KeepPendingWrite,
        Self::WaitForSilent,
        Self::WaitForAuthority,
        Self::RefuseOlderEpoch,
        Self::LeaseFromSending,
        Self::RefuseUnknownRecord,
        Self::NoPromiseWhileOpen,
        Self::RestartLosesStandby,
        Self::KeepPromise,
        Self::PublishAfterCommit,
        Self::RestartLosesGrants,
        Self::ReleaseAfterRequest,
        Self::DriftMargin,
        Self::OutsiderWait,
        Self::TakeoverFromNewer,
        Self::TakeoverAsksOthers,
        Self::TakeBackWhenTold,
        Self::RefuseLateReports,
        Self::ReleasesEndWithRun,
        Self::ReleaseAfterLateGrants,
        Self::FormerGrantsPending,
        Self::HoldsOutlastIncarnation,
        Self::WaitForDeadline,
    ];

    /// Returns the rule that still protects the property when only this one is dropped; the mutant drops
    /// both.
    #[must_use]
    pub fn backup_rule(self) -> Option<Self> {
        match self {
            // If leases are counted from the sending of the heartbeat, one that a late renewal of an
            // older epoch grants has already expired.
            Self::RefuseOlderEpoch => Some(Self::LeaseFromSending),
            // The other routers know the record that the successor ignores.
            Self::TakeoverFromNewer => Some(Self::TakeoverAsksOthers),
            _ => None,
        }
    }

    /// Returns the options of the mutant, with terms under which no other rule compensates for this one.
    #[must_use]
    pub fn options(self) -> ModelOptions {
        let terms = match self {
            Self::WaitForAuthority => long_authority_terms(),
            Self::NoPromiseWhileOpen
            | Self::RestartLosesStandby
            | Self::KeepPromise
            | Self::OutsiderWait => long_promise_terms(),
            Self::ReleasesEndWithRun | Self::FormerGrantsPending => short_promise_terms(),
            _ => model_terms(),
        };
        ModelOptions {
            terms,
            dropped: Some(self),
            checks_fence: !matches!(self, Self::WaitForDeadline | Self::ReleaseAfterRequest),
        }
    }

    /// Returns the bounds within which the search finds the trace of the mutant.
    #[must_use]
    pub fn bounds(self) -> SearchBounds {
        let (initial_steps, kinds, faults) = self.search_plan();
        SearchBounds {
            horizon: MUTANT_HORIZON_TICKS,
            faults,
            kinds: kinds.to_vec(),
            initial_steps: initial_steps.to_vec(),
            max_states: MAX_MUTANT_STATES,
            liveness: false,
        }
    }

    /// Returns the fixed steps at the start of the trace, the kinds of fault that may follow, and the
    /// maximum number of faults in all.
    fn search_plan(self) -> (&'static [InitialStep], &'static [FaultKind], u8) {
        use FaultKind as F;
        use InitialStep::{Run, RunUntil, Ticks};
        use SystemAction as A;
        match self {
            Self::RenewWithAuthority | Self::KeepPromise => (&[Run(COORDINATOR_AND_OWNER)], &[], 1),
            Self::NoRenewalWhileLosing => (&[Run(A::Pause(2))], &[F::StoreReply, F::Pause], 3),
            Self::KeepPendingWrite | Self::PublishAfterCommit => {
                (&[Run(A::Pause(2))], &[F::StoreReply], 2)
            }
            Self::WaitForSilent | Self::WaitForAuthority => {
                (&[Run(STANDBY_ALONE)], &[F::Partition], 2)
            }
            Self::RefuseOlderEpoch => (
                &[
                    RunUntil(2, RouterStep::SendHeartbeat),
                    Run(A::DelayReply(2)),
                    Run(COORDINATOR_ALONE),
                    RunUntil(1, RouterStep::CheckCoordinator),
                    Run(A::Step(1, RouterStep::CheckCoordinator)),
                    Run(OWNER_ALONE),
                ],
                &[],
                3,
            ),
            Self::LeaseFromSending => (&[], &[F::Partition, F::LateMessage], 2),
            Self::RefuseUnknownRecord => (&[Run(A::Pause(2))], &[F::SlowPublish], 2),
            Self::NoPromiseWhileOpen => (
                &[
                    Run(A::Restart(1)),
                    Ticks(2),
                    RunUntil(0, RouterStep::Promise),
                    Run(STANDBY_ALONE),
                    RunUntil(1, RouterStep::CheckCoordinator),
                    Run(A::StepWithLostResponse(
                        1,
                        RouterStep::CheckCoordinator,
                        LostResponseOutcome::Delayed,
                    )),
                    Run(A::Heal),
                ],
                &[F::Partition],
                4,
            ),
            Self::RestartLosesStandby => (&[Run(COORDINATOR_AND_OWNER)], &[F::Restart], 2),
            Self::RestartLosesGrants => (&[], &[F::Restart], 1),
            Self::ReleaseAfterRequest => (&[Run(A::BeginRequest(2))], &[F::Drain], 2),
            Self::DriftMargin => (&[Run(A::ClockSlip(2))], &[F::Partition], 2),
            Self::OutsiderWait => (
                &[Run(A::Pause(1)), Ticks(14), Run(COORDINATOR_AND_OWNER)],
                &[],
                2,
            ),
            Self::TakeoverFromNewer => (&[Run(A::Drain(2)), Ticks(4)], &[F::Pause, F::Restore], 3),
            Self::TakeBackWhenTold => (&[Run(A::Drain(2))], &[F::Partition], 2),
            Self::TakeoverAsksOthers => (&[Run(A::Pause(2)), Ticks(4)], &[F::Restore], 2),
            Self::RefuseLateReports => (
                &[Run(A::Drain(2)), Ticks(1)],
                &[F::Partition, F::LateMessage],
                3,
            ),
            Self::ReleasesEndWithRun => {
                (&[Run(A::Drain(2))], &[F::StoreReply, F::ProcessRestart], 3)
            }
            Self::ReleaseAfterLateGrants => (&[Run(A::Drain(2))], &[F::LateGrant], 2),
            Self::FormerGrantsPending => {
                (&[Run(A::Drain(2))], &[F::LateGrant, F::ProcessRestart], 3)
            }
            Self::HoldsOutlastIncarnation => (&[Run(A::RestartTarget(2))], &[F::Drain], 2),
            Self::WaitForDeadline => (&[Run(OWNER_ALONE)], &[F::Request], 2),
        }
    }
}

/// Separates the coordinator (rank 0) and the owner (rank 2) from the first standby (rank 1) and the
/// store.
const COORDINATOR_AND_OWNER: SystemAction = SystemAction::Partition(0b0_0101);

/// Isolates the first standby from the other routers; all still reach the store.
const STANDBY_ALONE: SystemAction = SystemAction::Partition(0b1_0010);

/// Isolates the coordinator from the other routers; all still reach the store.
const COORDINATOR_ALONE: SystemAction = SystemAction::Partition(0b1_0001);

/// Isolates the owner from the other routers and the store.
const OWNER_ALONE: SystemAction = SystemAction::Partition(0b0_0100);

/// Number of ticks within which each mutant has a trace.
const MUTANT_HORIZON_TICKS: u32 = 45;

/// Number of states within which the search finds the trace of each mutant.
const MAX_MUTANT_STATES: usize = 400_000;
