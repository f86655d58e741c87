//! Operator commands: read the tables, change them and report the outcome.
//!
//! Decisions are pure functions and state machines without I/O ([`plan()`],
//! [`Write`], [`Wait`]); [`Session`] connects them to the platform and to the
//! operations addresses of the processes. Every write is conditional on the
//! version that it replaces, so no command silently overwrites a concurrent
//! change.

mod error;
mod file;
mod plan;
mod present;
mod report;
mod rollout;
mod session;
mod settings;
mod status;
mod write;

pub use error::Error;
pub use file::parse;
pub use plan::{Change, Desired, Plan, plan};
pub use present::Present;
pub use report::{Entry, Report};
pub use rollout::{Process, Wait};
pub use session::{Answer, Session};
pub use settings::Settings;
pub use status::{Status, ZoneStatus};
pub use write::{Input, Outcome, Output, Reading, Write};
