//! Small seeded experiments that measure limits and queues.
//!
//! [`ramp`] drives a limit against one fake engine that is cold, warms up and
//! turns cold again; [`flood`] drives a queue against one that is warm.

mod flood;
mod ramp;

pub use flood::{Discipline, Flood, flood};
pub use ramp::{Control, Ramp, ramp};
