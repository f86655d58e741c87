//! Expert placement: which ranks hold which experts, and how tokens are shared.
//!
//! An expert may have replicas on several ranks. The map assigns each replica a
//! share of the expert's tokens, so most drift of the demand is absorbed by
//! adjusting shares, without moving weights.

mod baseline;
pub mod demand;
pub mod even;
mod map;
mod planner;

pub use baseline::{longest_first, replicated};
pub use map::{Counts, Map, Replica, skew};
pub use planner::{Costs, Move, Plan, Planner};
