//! Change of the expert map of a group whose ranks execute orders independently
//! and exchange no state with each other.
//!
//! All ranks of a group run each pass together, so a change must take effect at
//! the same pass on all of them. It has four phases; each begins only after the
//! reports of the ranks confirm the previous one:
//!
//! 1. *prepare* the map on every rank;
//! 2. *hold* the group at a future pass, on one rank;
//! 3. *arm* every rank for that pass;
//! 4. *release* the hold.
//!
//! A held pass can't begin, so missing, delayed or repeated arm orders are
//! harmless until the release. The leader decides from reports alone, so a new
//! leader resumes from any state that the previous one left. A hold that exists
//! while all ranks have prepared one map is never released before all are armed.
//!
//! Each order carries the epoch of the group and the number of orders that the
//! rank has executed, so that a delayed order has no effect.

mod leader;
mod message;

pub use leader::{Action, Leader, Model, Plan, Tuning};
pub use message::{Armed, Command, Message, NORMAL_SLOWNESS, Order, Report, Status};
