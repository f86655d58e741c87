//! Rank groups: step grants, leadership and expert placement.
//!
//! Each rank has an [`Agent`]: a [`Member`] that guards the rank's engine and,
//! on one of them, a [`Leader`] that grants blocks of steps. All of them are
//! state machines without a clock or sockets; `docs/design/group.md` tells why
//! no step is ever run under two expert maps.

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
