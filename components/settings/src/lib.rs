//! Loads JSON settings, validates them as a whole and reports every fault with
//! its location.
//!
//! [`load`] reads one file into a type. Every fault in the file is reported at
//! once: unknown, missing and repeated fields, values of the wrong type, and
//! faults found by the type's [`Check`] implementation. Each fault carries a JSON
//! pointer (RFC 6901) and a label in the source text.

mod error;
mod fault;
mod load;
mod location;
mod repair;

pub use error::Error;
pub use fault::{Check, Fault, Reason};
pub use load::{load, parse, shape_faults};
pub use location::locate;
