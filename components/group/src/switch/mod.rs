//! Changes of the expert map where ranks take orders one by one and compare
//! nothing among themselves.
//!
//! All ranks of a group run each pass together, so a change takes effect at
//! one pass on all of them. Its steps, each confirmed by the ranks' own
//! reports before the next one begins:
//!
//! 1. *prepare* the map on every rank;
//! 2. *hold* the group at a future pass, on one rank;
//! 3. *arm* every rank for that pass;
//! 4. *release* the hold.
//!
//! A pass that is held can't begin, so arms that are missing, late or repeated
//! are harmless until the release. Nothing but reports decides what follows: a
//! new leader goes on from whatever the old one left. A hold that exists while
//! all ranks have prepared one map is never released before all are armed.
//!
//! Each order names the group's epoch and the number of orders that the rank
//! has carried out, so that an order that arrives late does nothing.

mod leader;
mod message;

pub use leader::{Action, Leader, Model, Plan, Tuning};
pub use message::{Armed, Command, Message, NORMAL_SLOWNESS, Order, Report, Status};
