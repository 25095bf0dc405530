//! The specification of the ownership protocol, and a model checker that explores it exhaustively.
//!
//! [`StateSearch`] starts from [`SystemState::new`] and explores every state within the given
//! [`SearchBounds`]. The routers in a state consist of the production types of `anvilrack-core`; only
//! the code that drives them and their environment (clocks, network, store and targets) are modelled.
//! Routers are numbered; this number is called their rank.
//!
//! A [`DroppedRule`] removes one rule of the protocol, which gives a mutant of the model. The search
//! must find a trace to a violated property for each mutant.

mod dropped_rule;
mod liveness_check;
mod model_terms;
mod property_check;
mod router_model;
mod state_search;
mod store_model;
mod system_action;
mod system_state;
mod system_steps;

pub use dropped_rule::DroppedRule;
pub use liveness_check::shard_recovers;
pub use model_terms::{
    FaultKind, InitialStep, ModelOptions, ROUTER_COUNT, SearchBounds, long_authority_terms,
    long_promise_terms, model_terms, short_promise_terms,
};
pub use property_check::PropertyViolation;
pub use router_model::RouterModel;
pub use state_search::{FoundTrace, SearchReport, StateSearch};
pub use store_model::{LostResponseOutcome, StoreModel};
pub use system_action::{RouterStep, SystemAction};
pub use system_state::SystemState;
