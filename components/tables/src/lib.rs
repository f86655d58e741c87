//! Configuration tables that operators write: rows, validation and merging.
//!
//! A [`Table`] is a set of rows. Each row has the version that the platform
//! assigned to its last change. Tables merge by keeping the newer version of each
//! row, so the result depends neither on the order nor on repetition of merges.

mod check;
mod error;
pub mod host;
mod position;
mod row;
mod table;

pub use check::check;
pub use error::{Error, Fault};
pub use host::Host;
pub use position::Position;
pub use row::{
    Account, Body, Content, Key, Kind, Pool, PoolKind, Route, Row, Server, Suspect, Zone,
};
pub use table::{Delta, Table};

/// A shared immutable name, cheap to clone.
pub type Name = arcstr::ArcStr;
