//! Expert placement: which ranks hold which experts, and with what shares.
//!
//! An expert may have replicas on several ranks. The map gives each replica a
//! share of the expert's tokens, so most drift is met by other shares alone,
//! without moving weights.

mod baseline;
pub mod demand;
pub mod even;
mod map;
mod planner;

pub use baseline::{longest_first, replicated};
pub use map::{Counts, Map, Replica, skew};
pub use planner::{Costs, Move, Plan, Planner};
