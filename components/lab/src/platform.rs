//! The stand-in for the platform's service: objects, host list, watches.
//!
//! [`Store`] holds the state and decides; [`serve`] puts it behind HTTP, with
//! the rates and faults that [`Settings`] and [`Fault`] describe.

mod calls;
mod handler;
mod rate;
mod serve;
mod settings;
mod shared;
mod store;
mod watch;

pub use calls::{Call, Calls};
pub use rate::Rate;
pub use serve::{Handle, ServeError, serve};
pub use settings::{Fault, Settings};
pub use store::{Gone, Store};
