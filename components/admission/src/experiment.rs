//! Small seeded simulations that measure limits and queues.
//!
//! [`ramp`] tests a limit with one simulated engine that is cold, warms up and
//! turns cold again; [`flood`] tests a queue with one that is warm.

mod flood;
mod ramp;

pub use flood::{Discipline, Flood, flood};
pub use ramp::{Control, Ramp, ramp};
