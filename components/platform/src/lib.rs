//! The platform's service: objects, host list and watches.
//!
//! [`Client`] makes single calls. [`Watch`] decides when to list and when to
//! watch so that a table and the host list stay up to date; [`follow`] joins
//! both. What lasts is kept by the platform alone, and every change is
//! conditional on the version that it replaces.

mod client;
mod error;
mod follow;
mod object;
pub mod poller;
mod reply;
mod update;
pub mod watch;

pub use awc::http::Method;
pub use client::Client;
pub use error::Error;
pub use follow::follow;
pub use object::{Change, Changes, Expect, Hosts, Listing, Object, VALUE_LIMIT, Version};
pub use poller::Poller;
pub use reply::Reply;
pub use update::Update;
pub use watch::Watch;
