//! At-most-once execution of non-idempotent requests.
//!
//! A request with an idempotency key may run only after a [`Ledger`] has
//! confirmed a claim of its key in the platform's object API. The keys of a
//! pool fall into a fixed number of partitions. One head object per partition
//! holds the recent records and is changed only by conditional update, so
//! safety needs neither leases nor clocks: a writer that missed anything fails
//! its update and reads the head again.
//!
//! The ledger is a deterministic state machine. The caller carries out the
//! [`Output`]s and reports exactly one completion for each call to the platform.

mod answer;
mod commit;
mod ledger;
mod log;
mod message;
mod partition;
mod settle;

pub use answer::{Answer, Denial};
pub use ledger::{Dump, Ledger, PartitionDump};
pub use log::{DecodeError, Head, Record, Segment, State, Writer, head_name, kind};
pub use message::{Input, Object, Output, Settings};
