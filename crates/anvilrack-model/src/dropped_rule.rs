//! The rules of the protocol that a mutant drops.

use crate::FaultKind;

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
    /// A shard whose target checks no fences stays reserved until the last deadline.
    WaitForDeadline,
}

impl DroppedRule {
    /// All rules.
    pub const ALL: [Self; 18] = [
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
        Self::WaitForDeadline,
    ];

    /// The kinds of fault among which its trace is searched for.
    #[must_use]
    pub fn faults(self) -> &'static [FaultKind] {
        use FaultKind as F;
        match self {
            Self::RenewWithAuthority
            | Self::WaitForSilent
            | Self::WaitForAuthority
            | Self::KeepPromise => &[F::Partition],
            Self::NoRenewalWhileLosing | Self::PublishAfterCommit | Self::KeepPendingWrite => {
                &[F::Pause, F::StoreReply]
            }
            Self::RefuseOlderEpoch | Self::LeaseFromSending => &[F::Partition, F::LateMessage],
            Self::RefuseUnknownRecord => &[F::Pause],
            Self::NoPromiseWhileOpen => &[F::Partition, F::StoreReply],
            Self::RestartLosesStandby | Self::OutsiderWait => &[F::Partition, F::Restart],
            Self::RestartLosesGrants => &[F::Restart],
            Self::ReleaseAfterRequest => &[F::Request, F::Drain],
            Self::DriftMargin => &[F::Pause, F::ClockSlip, F::Partition],
            Self::TakeoverFromNewer => &[F::Pause, F::Restore, F::Drain],
            Self::WaitForDeadline => &[F::Request, F::Pause],
        }
    }
}
