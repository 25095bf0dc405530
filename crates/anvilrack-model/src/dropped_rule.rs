//! The rules of the protocol that a mutant drops.

use crate::{
    FaultKind, ModelOptions, OpeningStep, RouterStep, SearchBounds, SystemAction, WriteFate,
    long_authority_terms, long_promise_terms, model_terms,
};

/// One rule that a mutant of the model drops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DroppedRule {
    /// A coordinator renews only with authority.
    RenewWithAuthority,
    /// A coordinator does not renew while a write under way takes the shard away.
    NoRenewalWhileLosing,
    /// A write of unknown outcome stays pending.
    KeepPendingWrite,
    /// A new coordinator waits for silent owners.
    WaitForSilent,
    /// A new coordinator waits for the authority of the old one, besides the lease.
    WaitForAuthority,
    /// An owner refuses renewals of an older epoch.
    RefuseOlderEpoch,
    /// An owner counts its lease from the sending of the heartbeat.
    LeaseFromSending,
    /// An owner refuses a renewal that speaks of a record it does not have.
    RefuseUnknownRecord,
    /// A standby makes no promise while its takeover is open.
    NoPromiseWhileOpen,
    /// A standby that restarted is none until it is named again.
    RestartLosesStandby,
    /// A standby does not take over while its promise runs.
    KeepPromise,
    /// A record is published only once it is committed.
    PublishAfterCommit,
    /// A new incarnation starts without grants.
    RestartLosesGrants,
    /// A release is reported only after the last request ended.
    ReleaseAfterRequest,
    /// A lease is shortened by the drift margin.
    DriftMargin,
    /// An outsider waits for the outage limit.
    OutsiderWait,
    /// A takeover starts from the newer of the known and the stored record.
    TakeoverFromNewer,
    /// A successor asks the routers that it reaches for a newer record than its own and the stored one.
    TakeoverAsksOthers,
    /// An owner serves again what it gave back only when its coordinator has forgotten that.
    TakeBackWhenTold,
    /// A coordinator takes no report that a later one has overtaken.
    RefuseLateReports,
    /// A shard whose target checks no fences stays reserved until the last deadline.
    WaitForDeadline,
}

impl DroppedRule {
    /// All rules.
    pub const ALL: [Self; 21] = [
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
        Self::WaitForDeadline,
    ];

    /// The rule that holds alone where this one is dropped, so that it is dropped as well.
    #[must_use]
    pub fn backing(self) -> Option<Self> {
        match self {
            // Counted from the sending, a late renewal of an older epoch has ended anyway.
            Self::RefuseOlderEpoch => Some(Self::LeaseFromSending),
            // The others know what the successor itself knew.
            Self::TakeoverFromNewer => Some(Self::TakeoverAsksOthers),
            _ => None,
        }
    }

    /// The times under which the rule is the one that holds.
    #[must_use]
    pub fn options(self) -> ModelOptions {
        let terms = match self {
            Self::WaitForAuthority => long_authority_terms(),
            Self::NoPromiseWhileOpen
            | Self::RestartLosesStandby
            | Self::KeepPromise
            | Self::OutsiderWait => long_promise_terms(),
            _ => model_terms(),
        };
        ModelOptions {
            terms,
            dropped: Some(self),
            checks_fence: !matches!(self, Self::WaitForDeadline | Self::ReleaseAfterRequest),
        }
    }

    /// How far to search for its trace.
    #[must_use]
    pub fn bounds(self) -> SearchBounds {
        let (opening, kinds, faults) = self.plan();
        SearchBounds {
            horizon: MUTANT_HORIZON,
            faults,
            kinds: kinds.to_vec(),
            opening: opening.to_vec(),
            max_states: MUTANT_STATES,
            liveness: false,
        }
    }

    /// How its trace may begin, the kinds of fault that may follow, and the most faults in all.
    fn plan(self) -> (&'static [OpeningStep], &'static [FaultKind], u8) {
        use FaultKind as F;
        use OpeningStep::{Act, Before, Ticks};
        use SystemAction as A;
        match self {
            Self::RenewWithAuthority | Self::KeepPromise => (&[Act(OWNER_WITH_OLD)], &[], 1),
            Self::NoRenewalWhileLosing => (&[Act(A::Pause(2))], &[F::StoreReply, F::Pause], 3),
            Self::KeepPendingWrite | Self::PublishAfterCommit => {
                (&[Act(A::Pause(2))], &[F::StoreReply], 2)
            }
            Self::WaitForSilent | Self::WaitForAuthority => {
                (&[Act(STANDBY_ALONE)], &[F::Partition], 2)
            }
            Self::RefuseOlderEpoch => (
                &[
                    Before(2, RouterStep::Beat),
                    Act(A::AnswerLate(2)),
                    Act(COORDINATOR_ALONE),
                    Before(1, RouterStep::Watch),
                    Act(A::Step(1, RouterStep::Watch)),
                    Act(OWNER_ALONE),
                ],
                &[],
                3,
            ),
            Self::LeaseFromSending => (&[], &[F::Partition, F::LateMessage], 2),
            Self::RefuseUnknownRecord => (&[Act(A::Pause(2))], &[F::SlowPublish], 2),
            Self::NoPromiseWhileOpen => (
                &[
                    Act(A::Restart(1)),
                    Ticks(2),
                    Before(0, RouterStep::Promise),
                    Act(STANDBY_ALONE),
                    Before(1, RouterStep::Watch),
                    Act(A::StepUnanswered(1, RouterStep::Watch, WriteFate::Delayed)),
                    Act(A::Heal),
                ],
                &[F::Partition],
                4,
            ),
            Self::RestartLosesStandby => (&[Act(OWNER_WITH_OLD)], &[F::Restart], 2),
            Self::RestartLosesGrants => (&[], &[F::Restart], 1),
            Self::ReleaseAfterRequest => (&[Act(A::BeginRequest(2))], &[F::Drain], 2),
            Self::DriftMargin => (&[Act(A::ClockSlip(2))], &[F::Partition], 2),
            Self::OutsiderWait => (&[Act(A::Pause(1)), Ticks(14), Act(OWNER_WITH_OLD)], &[], 2),
            Self::TakeoverFromNewer => (&[Act(A::Drain(2)), Ticks(4)], &[F::Pause, F::Restore], 3),
            Self::TakeBackWhenTold => (&[Act(A::Drain(2))], &[F::Partition], 2),
            Self::TakeoverAsksOthers => (&[Act(A::Pause(2)), Ticks(4)], &[F::Restore], 2),
            Self::RefuseLateReports => (
                &[Act(A::Drain(2)), Ticks(1)],
                &[F::Partition, F::LateMessage],
                3,
            ),
            Self::WaitForDeadline => (&[Act(OWNER_ALONE)], &[F::Request], 2),
        }
    }
}

/// The first standby and the store on one side, the coordinator and the owner on the other.
const OWNER_WITH_OLD: SystemAction = SystemAction::Partition(0b0_0101);

/// The first standby reaches only the store, which all reach.
const STANDBY_ALONE: SystemAction = SystemAction::Partition(0b1_0010);

/// The coordinator reaches only the store, which all reach.
const COORDINATOR_ALONE: SystemAction = SystemAction::Partition(0b1_0001);

/// The owner reaches nobody.
const OWNER_ALONE: SystemAction = SystemAction::Partition(0b0_0100);

/// Ticks within which a mutant has its trace.
const MUTANT_HORIZON: u32 = 45;

/// States within which a mutant has its trace.
const MUTANT_STATES: usize = 400_000;
