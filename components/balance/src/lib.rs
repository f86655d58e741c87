//! Load balancing decisions of an entry that sends requests directly to backend
//! servers.
//!
//! [`Balancer`] holds the entry's state and makes the decisions. It does no I/O,
//! reads no clock and draws random numbers only from its seed, so it is
//! deterministic. The daemon around it executes the decisions.

pub mod balancer;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod config;
pub mod content;
pub mod crash;
pub mod drain;
pub mod freshness;
pub mod gossip;
pub mod hold;
pub mod member;
pub mod notice;
pub mod numbering;
pub mod pace;
pub mod queue;
pub mod room;
pub mod slow;
pub mod suspect;
pub mod ticket;
pub mod urgency;
pub mod view;
pub mod zone;

pub use balancer::{Balancer, Limits, Options};
pub use numbering::Numbering;
pub use ticket::{
    Decision, Outcome, Placement, Prompt, Reason, Refusal, Submission, Target, Ticket,
};
pub use view::{Update, View};
