//! Client for the platform's HTTP service: objects, host list and watches.
//!
//! [`Client`] makes single calls. [`Watch`] is the state machine that decides
//! when to list and when to watch so that a table and the host list stay up to
//! date; [`follow`] runs it with a client. All persistent state is stored by the
//! platform, and every write is conditional on the version that it replaces.

mod address;
mod client;
mod error;
mod follow;
mod object;
mod pages;
pub mod poller;
mod reply;
mod update;
pub mod watch;

pub use address::encode;
pub use awc::http::Method;
pub use client::Client;
pub use error::Error;
pub use follow::follow;
pub use object::{Change, Changes, Expect, Hosts, Listing, Object, VALUE_LIMIT, Version};
pub use pages::Pages;
pub use poller::Poller;
pub use reply::Reply;
pub use update::Update;
pub use watch::Watch;
