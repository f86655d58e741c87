//! One request on its way: what was tried and what may still be done.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tables::Name;

use crate::config::Kind;
use crate::notice::Start;

/// What a caller asks, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Bearer key.
    pub key: Option<&'a str>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// Tokens of the prompt; 0 if it has none.
    pub prompt_tokens: u32,
    /// Hash of account key, path and body.
    pub fingerprint: u64,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Name of the route.
    pub route: Name,
    /// The pool that serves it.
    pub pool: Name,
    /// Name of the client account.
    pub account: Option<Name>,
    /// What may be repeated.
    pub kind: Kind,
    /// When the request arrived.
    pub arrived: Duration,
    /// When the caller or the operators give it up.
    pub deadline: Duration,
    /// The route's objective.
    pub objective: Duration,
    /// Longest pause between two events with which a stream is on time.
    pub gap: Option<Duration>,
    /// Backend servers to which it may still be sent.
    pub attempts_left: u32,
    /// Backend servers to which it was sent.
    pub tried: Vec<Name>,
    /// Whether some backend server may have begun it.
    pub may_have_run: bool,
    /// Whether the caller has seen a part of the answer.
    pub begun: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of account key, path and body.
    pub fingerprint: u64,
}

/// The backend server that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier.
    pub server: Name,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Address.
    pub address: SocketAddr,
    /// Open requests there, over all entries, when it was chosen.
    pub open: u32,
    /// Whether the server is cold.
    pub cold: bool,
}

impl Target {
    /// The start of the server that the request goes to.
    pub fn start(&self) -> Start {
        Start { server: self.server.clone(), started_ms: self.started_ms }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No connection; nothing was sent.
    #[serde(rename = "unconnected")]
    ConnectFailed,
    /// The server said that it did not run the request.
    Refused,
    /// Another server answers at the address.
    Misdirected,
    /// A connection broke, or what came back is no answer to the request.
    Broken,
    /// A connection that had been idle ended when it was used.
    #[serde(rename = "stale")]
    StaleConnection,
    /// The server's own failure, as an answer.
    Failed,
    /// Nothing came for too long.
    #[serde(rename = "silent")]
    TimedOut,
    /// Nothing came until the deadline.
    #[serde(rename = "expired")]
    DeadlineExceeded,
}

/// Why a request gets no answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No configuration is known yet.
    #[error("no configuration is known yet")]
    Unconfigured,
    /// No route takes it.
    #[error("no route takes this host and path")]
    Unrouted,
    /// The key is missing or unknown.
    #[error("the bearer key is missing or unknown")]
    Unauthorized,
    /// The pool has no usable backend server.
    #[error("the pool has no usable backend server")]
    NoServer,
    /// All backend servers are full.
    #[error("all backend servers are full")]
    Full,
    /// All backend servers are cold and have their share.
    #[error("the backend servers are cold and take no more for the moment")]
    Cold,
    /// The retry budget is spent.
    #[error("the retry budget is spent")]
    Budget,
    /// All attempts that the route allows were made.
    #[error("all attempts were made")]
    Attempts,
    /// It may have run and must not run again.
    #[error("the backend server broke off; the request may have run")]
    MayHaveRun,
    /// The time is over.
    #[error("the time for the request is over")]
    #[serde(rename = "expired")]
    DeadlineExceeded,
    /// It crashed several backend servers.
    #[error("the request crashed several backend servers")]
    Crashes,
}

/// The final answer to a request that no backend server answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// HTTP status.
    pub status: u16,
    /// When the caller may come back, for what has not run.
    pub retry_after: Option<Duration>,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to another backend server.
    Retry(Target),
    /// Give up.
    Stop(Refusal),
}
