//! JSON settings: read, checked as a whole, reported with places.
//!
//! [`load`] reads one file into a type. Every fault in the file is reported at
//! once: unknown, missing and repeated fields, values of the wrong type, and
//! what the type's own [`Check`] finds. Each fault names its place by JSON
//! pointer (RFC 6901) and labels it in the source text.

mod error;
mod fault;
mod load;
mod place;
mod repair;

pub use error::Error;
pub use fault::{Check, Fault, Reason};
pub use load::{load, parse};
