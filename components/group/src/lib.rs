//! Rank groups: step grants, leader election and expert placement.
//!
//! Each rank has an [`Agent`] with a [`Member`] that controls the rank's engine.
//! One agent of the group also runs a [`Leader`], which grants blocks of steps.
//! All are state machines without a clock or sockets. `docs/design/group.md`
//! shows why no step is ever run under two expert maps.

mod agent;
pub mod experiment;
mod leader;
mod member;
mod message;
pub mod placement;
pub mod switch;

pub use agent::{Agent, Input, Lease, Object, Output, Settings};
pub use leader::Leader;
pub use member::{Counters, Member};
pub use message::{Block, Body, Fence, Map, Message, Order, Rank, Session};
