//! The measured figures of the project, each with its target.
//!
//! [`run`] measures the deciding code in small experiments, and the whole
//! system with real daemons on threads: while an availability zone leaves and
//! returns, and what an entry adds to a call.

mod overhead;
mod policy;
mod size;
mod zone;

use crate::experiment::Row;
use crate::fleet::Error;

pub use policy::measure as policies;
pub use size::{Overhead, Size, Zone};

/// Runs all parts, one after the other. `progress` is told of each part as it
/// starts. Runs on an actix runtime.
///
/// # Errors
///
/// If the system can't be started.
pub async fn run(size: &Size, progress: impl Fn(&str)) -> Result<Vec<Row>, Error> {
    progress("policies");
    let mut rows = policies(&size.policies);
    progress("an availability zone leaves and returns");
    rows.extend(zone::measure(&size.zone, &progress).await?);
    progress("what an entry adds");
    rows.extend(overhead::measure(&size.overhead).await?);
    Ok(rows)
}
