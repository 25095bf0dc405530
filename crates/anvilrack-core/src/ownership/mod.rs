//! Which member owns which shard: leases, the coordinator, placement, and the cell's record.

mod cell_history;
mod cell_record;
mod cold_members;
mod coordinator_state;
mod evacuations;
mod lease_terms;
mod load_view;
mod owner_state;
mod placement_decision;
mod placement_policy;
mod record_delta;
mod record_history;
mod route_table;
mod shard_hash;
mod shard_meter;
mod standby_state;
mod target_holds;

pub use cell_record::{CellMember, CellRecord, ShardOwner, WriterStamp};
pub use coordinator_state::{
    CoordinatorState, MemberReport, ReleaseOrder, ReleaseReport, RenewalAnswer, ReportSequence,
};
pub use evacuations::{
    EvacuatedDomain, EvacuationChange, EvacuationSet, Evacuations, StoreReading, StoreStamp,
};
pub use lease_terms::LeaseTerms;
pub use load_view::LoadView;
pub use owner_state::{OwnerState, ShardPermit};
pub use placement_decision::{
    PlacementDecision, PlacementHistory, PlacementReason, placement_decisions,
};
pub use placement_policy::{PlacementPolicy, PlacementView};
pub use record_delta::{RecordDelta, RecordStamp};
pub use record_history::RecordHistory;
pub use route_table::{RouteError, RouteTable, ShardRoute, TableChanges};
pub use shard_hash::ShardHash;
pub use shard_meter::{ShardLoad, ShardMeter};
pub use standby_state::{StandbyState, TakeoverStep};
pub use target_holds::TargetHolds;
