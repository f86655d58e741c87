//! Open-loop load with checked answers.
//!
//! [`Plan`] fixes who arrives when and with what, from a seed; [`run`] sends it
//! to an entry; [`Tally`] counts what came back. Latencies count from the
//! intended start of a request, not from when it was sent, so that a stalled
//! server is not hidden by the requests that it held up (coordinated omission,
//! Tene 2013).

mod bar;
mod outcome;
mod plan;
mod reader;
mod run;
mod tally;

pub use bar::progress_bar;
pub use outcome::{Outcome, Refused};
pub use plan::{Arrival, Kind, Plan, Work};
pub use reader::{Reader, ReaderError};
pub use run::{Progress, Target, run};
pub use tally::{Answer, Count, Line, Quantiles, Record, Tally};
