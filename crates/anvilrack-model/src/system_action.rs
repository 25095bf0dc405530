//! The transitions of the model.

use std::fmt;

use crate::LostResponseOutcome;

/// One step of a router, in the order of the schedule.
///
/// In each tick, all routers take one step before any router takes the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouterStep {
    /// As coordinator: reads the store, then writes the planned record.
    CommitRecord,
    /// As coordinator: publishes the committed record.
    Publish,
    /// Sends a heartbeat to the coordinator and handles the reply.
    SendHeartbeat,
    /// As coordinator: asks the standbys for promises not to take over.
    Promise,
    /// Takes over from a coordinator that has been silent for too long, or finds out whether an earlier
    /// takeover write took effect.
    CheckCoordinator,
    /// Stops serving the shards that the coordinator has ordered the router to release.
    Release,
}

impl RouterStep {
    /// All steps of one tick, in the order of the schedule.
    pub const ALL: [Self; 6] = [
        Self::CommitRecord,
        Self::Publish,
        Self::SendHeartbeat,
        Self::Promise,
        Self::CheckCoordinator,
        Self::Release,
    ];
}

/// One transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SystemAction {
    /// The next scheduled step, by the router with this rank.
    Step(usize, RouterStep),
    /// The next scheduled step, with the response to its write lost.
    StepWithLostResponse(usize, RouterStep, LostResponseOutcome),
    /// The next scheduled step would publish a record; it is skipped in this tick.
    DelayPublish(usize),
    /// The next scheduled step is a heartbeat, which is sent but arrives late.
    DelayHeartbeat(usize),
    /// The next scheduled step is a heartbeat; the grant that follows the reply gets no response and takes
    /// effect late.
    DelayGrant(usize),
    /// The late grant of this router takes effect at its target.
    ApplyLateGrant(usize),
    /// The next scheduled step is a heartbeat, and the reply to it arrives late.
    DelayReply(usize),
    /// The late heartbeat of this router, or the late reply to it, arrives.
    DeliverLate(usize),
    /// The delayed write arrives at the store.
    ApplyDelayedWrite,
    /// Time advances by one tick.
    Tick,
    /// The routers (bits 0 to 2) and the store (bit 3) are split into two groups that cannot reach each
    /// other; the set bits form one group. With bit 4 set, all routers still reach the store.
    Partition(u8),
    /// The partition ends.
    Heal,
    /// A router stops running.
    Pause(usize),
    /// A paused router continues.
    Resume(usize),
    /// A router restarts as a new incarnation.
    Restart(usize),
    /// The process of a router that has a target restarts; the target's incarnation stays.
    RestartProcess(usize),
    /// The target of a router starts again; it holds nothing, and takes the grants that its router goes on sending.
    RestartTarget(usize),
    /// A router learns that its target has started again, which makes it a new incarnation.
    NoticeTarget(usize),
    /// A router fails and does not restart.
    Lose(usize),
    /// The store is restored from an earlier copy.
    Restore,
    /// A router's clock falls one tick behind.
    ClockSlip(usize),
    /// The target of an owner starts a request that runs until its deadline.
    BeginRequest(usize),
    /// A router starts to leave the cell.
    Drain(usize),
}

impl fmt::Display for SystemAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step(rank, step) => write!(f, "router-{rank}: {step:?}"),
            Self::StepWithLostResponse(rank, step, outcome) => {
                write!(
                    f,
                    "router-{rank}: {step:?}, response lost, write {outcome:?}"
                )
            }
            Self::DelayPublish(rank) => write!(f, "router-{rank}: Publish skipped in this tick"),
            Self::DelayHeartbeat(rank) => write!(f, "router-{rank}: heartbeat delayed"),
            Self::DelayGrant(rank) => write!(f, "router-{rank}: SendHeartbeat, grant delayed"),
            Self::ApplyLateGrant(rank) => write!(f, "router-{rank}: late grant takes effect"),
            Self::DelayReply(rank) => write!(f, "router-{rank}: heartbeat reply delayed"),
            Self::DeliverLate(rank) => write!(f, "router-{rank}: late message arrives"),
            Self::ApplyDelayedWrite => write!(f, "store: delayed write arrives"),
            Self::Tick => write!(f, "time advances by one tick"),
            Self::Partition(groups) => write!(
                f,
                "partition {groups:05b} (bits 0 to 2 routers, bit 3 store, bit 4 all reach the store)"
            ),
            Self::Heal => write!(f, "partition ends"),
            Self::Pause(rank) => write!(f, "router-{rank}: pauses"),
            Self::Resume(rank) => write!(f, "router-{rank}: resumes"),
            Self::Restart(rank) => write!(f, "router-{rank}: restarts"),
            Self::RestartProcess(rank) => write!(f, "router-{rank}: process restarts"),
            Self::RestartTarget(rank) => write!(f, "router-{rank}: target restarts"),
            Self::NoticeTarget(rank) => write!(f, "router-{rank}: learns of its target's restart"),
            Self::Lose(rank) => write!(f, "router-{rank}: fails and does not restart"),
            Self::Restore => write!(f, "store: restored to the record before the last write"),
            Self::ClockSlip(rank) => write!(f, "router-{rank}: clock falls one tick behind"),
            Self::BeginRequest(rank) => write!(f, "router-{rank}: request starts"),
            Self::Drain(rank) => write!(f, "router-{rank}: starts to leave"),
        }
    }
}
