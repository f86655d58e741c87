//! Decisions of an entry that sends requests straight to backend servers.
//!
//! [`Balancer`] holds what the entry believes and decides; it has no clock, no
//! socket and no randomness but its seed. The daemon around it carries out.

pub mod balancer;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod config;
pub mod content;
pub mod crash;
pub mod gossip;
pub mod hold;
pub mod member;
pub mod notice;
pub mod pace;
pub mod slow;
pub mod ticket;
pub mod view;

pub use balancer::{Balancer, Limits, Options};
pub use ticket::{Decision, Outcome, Reason, Refusal, Submission, Target, Ticket};
pub use view::{Update, View};
