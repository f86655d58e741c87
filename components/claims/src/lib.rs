//! At-most-once execution of non-idempotent requests.
//!
//! A request with an idempotency key may be executed only after a [`Ledger`] has
//! confirmed a claim of its key in the platform's object API. The keys of a
//! pool are hashed into a fixed number of partitions. One head object per partition
//! holds the recent records and is changed only by conditional updates, so
//! safety needs neither leases nor clocks: an update by a writer with an outdated
//! head fails, and the writer reads the head again.
//!
//! The ledger is a deterministic state machine. The caller executes the
//! [`Output`]s and reports exactly one completion for each call to the platform.

mod answer;
mod commit;
mod ledger;
mod log;
mod message;
mod partition;
mod resolve;

pub use answer::{Answer, Denial};
pub use ledger::{Dump, Ledger, PartitionDump};
pub use log::{DecodeError, Head, Record, Segment, State, Writer, head_name, kind};
pub use message::{Input, Object, Output, Settings};
