//! The deciding code against small fakes under seeded traffic, policy by policy.
//!
//! [`Settings`] name the policies and seeds; [`run`] gives a [`Figure`] for each
//! measure of each run; [`rows`] sums them up over the seeds; [`plot`] draws them.

mod figure;
mod plot;
mod row;
mod settings;
mod study;

pub use figure::Figure;
pub use plot::{PlotError, plot};
pub use row::{Bound, Row, print, rows};
pub use settings::{Choice, Flood, Limit, Placement, Settings, UnknownPolicy};
pub use study::run;
