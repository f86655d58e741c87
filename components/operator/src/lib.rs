//! What operators do: read and change the tables, and see what came of it.
//!
//! Decisions are plain functions and state machines ([`plan`], [`Write`],
//! [`Wait`]); [`Session`] joins them to the platform and to the operations
//! addresses of the processes. Every change is conditional on the version that
//! it replaces: there are no blind writes.

mod error;
mod file;
mod force;
mod plan;
mod present;
mod report;
mod session;
mod settings;
mod status;
mod write;

pub use error::Error;
pub use file::parse;
pub use force::{Process, Wait};
pub use plan::{Change, Desired, Plan, plan};
pub use present::Present;
pub use report::{Entry, Report};
pub use session::{Answer, Session};
pub use settings::Settings;
pub use status::{Status, ZoneStatus};
pub use write::{Input, Outcome, Output, Reading, Write};
