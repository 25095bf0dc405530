//! What may happen next in the model.

use std::fmt;

use crate::WriteFate;

/// One step of a router's driver, in the order in which they take turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouterStep {
    /// As coordinator: read the store, then write what is planned.
    Office,
    /// As coordinator: make the committed record known.
    Publish,
    /// Send a heartbeat and take its answer.
    Beat,
    /// As coordinator: ask the standbys for promises.
    Promise,
    /// Look after a coordinator that stays silent.
    Watch,
    /// Stop serving the shards that are to be given back.
    Release,
}

impl RouterStep {
    /// All steps of one tick.
    pub const ALL: [Self; 6] = [
        Self::Office,
        Self::Publish,
        Self::Beat,
        Self::Promise,
        Self::Watch,
        Self::Release,
    ];
}

/// One transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SystemAction {
    /// The next step of the schedule.
    Step(usize, RouterStep),
    /// The next step, where the reply to its write is lost.
    StepUnanswered(usize, RouterStep, WriteFate),
    /// The next step would have made a record known, and is put off to the next tick.
    SkipPublish(usize),
    /// The next step is a heartbeat that arrives late.
    RequestLate(usize),
    /// The next step is a heartbeat whose answer arrives late.
    AnswerLate(usize),
    /// A late message of this router arrives.
    Deliver(usize),
    /// The delayed write arrives.
    LandDelayed,
    /// Time goes on by one tick.
    Tick,
    /// The store (bit 3) and the routers fall into two groups; the bits tell one of them. With bit
    /// 4, only the routers do, and each still reaches the store.
    Partition(u8),
    /// The groups reach each other again.
    Heal,
    /// A router stands still.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// A router starts again as a new run.
    Restart(usize),
    /// A router is lost for good.
    Lose(usize),
    /// The store is put back to an earlier copy.
    Restore,
    /// A router's clock loses one tick.
    ClockSlip(usize),
    /// An owner begins a request that runs to its deadline.
    BeginRequest(usize),
    /// A router begins to leave.
    Drain(usize),
}

impl fmt::Display for SystemAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Step(rank, step) => write!(f, "router-{rank}: {step:?}"),
            Self::StepUnanswered(rank, step, fate) => {
                write!(f, "router-{rank}: {step:?}, reply lost, write {fate:?}")
            }
            Self::SkipPublish(rank) => write!(f, "router-{rank}: Publish put off"),
            Self::RequestLate(rank) => write!(f, "router-{rank}: heartbeat sent, under way"),
            Self::AnswerLate(rank) => write!(f, "router-{rank}: heartbeat answered, under way"),
            Self::Deliver(rank) => write!(f, "router-{rank}: late message arrives"),
            Self::LandDelayed => write!(f, "store: delayed write arrives"),
            Self::Tick => write!(f, "time goes on"),
            Self::Partition(groups) => write!(
                f,
                "partition {groups:05b} (bit 3 store, bit 4 store reached by all)"
            ),
            Self::Heal => write!(f, "partition heals"),
            Self::Pause(rank) => write!(f, "router-{rank}: pauses"),
            Self::Resume(rank) => write!(f, "router-{rank}: resumes"),
            Self::Restart(rank) => write!(f, "router-{rank}: restarts"),
            Self::Lose(rank) => write!(f, "router-{rank}: is lost"),
            Self::Restore => write!(f, "store: put back to the copy before"),
            Self::ClockSlip(rank) => write!(f, "router-{rank}: clock loses a tick"),
            Self::BeginRequest(rank) => write!(f, "router-{rank}: request begins"),
            Self::Drain(rank) => write!(f, "router-{rank}: begins to leave"),
        }
    }
}
