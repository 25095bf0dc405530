//! The specification of ownership, searched exhaustively.
//!
//! You build a [`SystemState`] with [`SystemState::new`] and pass it to [`StateSearch`], which walks
//! through every state within the given [`SearchBounds`]. The routers in a state are made of the types
//! of `anvilrack-core` that run in production; only their driver and their surroundings are modelled.
//!
//! A [`DroppedRule`] removes one rule of the protocol. The search must find a trace for each of them.

mod dropped_rule;
mod fair_run;
mod model_terms;
mod property_check;
mod router_model;
mod state_search;
mod store_model;
mod system_action;
mod system_state;
mod system_steps;

pub use dropped_rule::DroppedRule;
pub use fair_run::is_served_soon;
pub use model_terms::{
    FaultKind, ModelOptions, NODE_COUNT, OpeningStep, SearchBounds, long_authority_terms,
    long_promise_terms, model_terms,
};
pub use property_check::BrokenProperty;
pub use router_model::RouterModel;
pub use state_search::{FoundTrace, SearchReport, StateSearch};
pub use store_model::{StoreModel, WriteFate};
pub use system_action::{RouterStep, SystemAction};
pub use system_state::SystemState;
