//! Configuration tables: what operators write, checked, versioned and merged.
//!
//! A [`Table`] is a set of rows. Each row carries the version that the
//! platform gave to its last change, so two tables merge by taking the newer
//! row, whichever way and however often they meet.

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

/// A shared immutable name: cheap to clone, compared by its text.
pub type Name = arcstr::ArcStr;
