//! Tickets of admitted requests, and the outcomes and decisions of attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tables::Name;

use crate::config::Kind;
use crate::notice::Start;
use crate::urgency::Urgency;

/// The parts of a caller's request that decisions need.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Bearer key.
    pub key: Option<&'a str>,
    /// Time that the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Number of prompt tokens; 0 without a prompt.
    pub prompt_tokens: u32,
    /// Hash of account key, path and body.
    pub fingerprint: u64,
    /// Ids of the prompt's parts that other requests may share.
    pub shared_parts: &'a [u64],
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
    /// Which requests of the route may be retried.
    pub kind: Kind,
    /// Time of arrival.
    pub arrived: Duration,
    /// Deadline, from the timeouts of the caller and of the route.
    pub deadline: Duration,
    /// The route's latency objective.
    pub objective: Duration,
    /// The route's objective for the gap between two events of a stream.
    pub gap: Option<Duration>,
    /// Its urgency; `None` if all requests to the pool are equally urgent.
    pub urgency: Option<Urgency>,
    /// Number of urgencies of the pool's requests that are more urgent.
    pub level: usize,
    /// Its id in the queue of the pool while it waits for room.
    pub waiter: Option<u64>,
    /// Number of attempts left.
    pub attempts_left: u32,
    /// Backend servers of the attempts so far.
    pub tried: Vec<Name>,
    /// Whether a backend server may have started to execute it.
    pub may_have_run: bool,
    /// Whether it has waited for the trial of a prompt part. If the part is still
    /// suspected after that, no other request that waited begins the next trial.
    pub waited: bool,
    /// Whether the caller has received a part of the response.
    pub begun: bool,
    /// The start of the backend server of the current attempt.
    pub start: Option<Start>,
    /// The prompt.
    pub prompt: Prompt,
}

/// The prompt of a request, or the body of a request to a plain service.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Number of tokens; 0 without a prompt.
    pub tokens: u32,
    /// Hash of account key, path and body.
    pub fingerprint: u64,
    /// Ids of the parts that other requests may share.
    pub shared_parts: Arc<[u64]>,
}

/// The backend server chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier of the server.
    pub server: Name,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Its availability zone.
    pub zone: Name,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Open requests of all entries at the server when it was chosen.
    pub open: u32,
    /// Whether the server is cold.
    pub cold: bool,
    /// Whether the attempt is a trial of a suspected prompt part.
    pub trial: bool,
}

impl Target {
    /// The start of the chosen server.
    pub fn start(&self) -> Start {
        Start { server: self.server.clone(), started_ms: self.started_ms }
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No connection could be made; nothing was sent.
    #[serde(rename = "unconnected")]
    ConnectFailed,
    /// The server refused the request without executing it.
    Refused,
    /// The server refused a request, perhaps an earlier one of the same connection.
    Unattributed,
    /// Another server answers at the address.
    Misdirected,
    /// The connection broke, or the response was invalid.
    Broken,
    /// The connection broke, and the server accepts no others: it crashed.
    Crashed,
    /// A reused idle connection was closed when the request was sent.
    #[serde(rename = "stale")]
    StaleConnection,
    /// The server responded with an error of its own.
    Failed,
    /// The server sent nothing for too long.
    #[serde(rename = "silent")]
    TimedOut,
    /// The deadline passed without a response.
    #[serde(rename = "expired")]
    DeadlineExceeded,
    /// The entry stopped before there was a response.
    Stopped,
}

/// Why a request was not answered by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No configuration has been received yet.
    #[error("no configuration is known yet")]
    Unconfigured,
    /// No route matches the host and path.
    #[error("no route takes this host and path")]
    Unrouted,
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or unknown")]
    Unauthorized,
    /// The pool has no usable backend server.
    #[error("the pool has no usable backend server")]
    NoServer,
    /// All backend servers have reached their limit of open requests.
    #[error("all backend servers are full")]
    Full,
    /// The request has waited for room as long as its objective allows.
    #[error("no room became free in time")]
    Waited,
    /// A more urgent request took its place in the queue.
    #[error("a more urgent request took the place in the queue")]
    Displaced,
    /// All backend servers are cold and have reached their rate limit.
    #[error("the backend servers are cold and take no more for the moment")]
    Cold,
    /// The retry budget is exhausted.
    #[error("the retry budget is spent")]
    Budget,
    /// The route's number of attempts is used up.
    #[error("all attempts were made")]
    Attempts,
    /// The request may have run and must not be retried.
    #[error("the backend server broke off; the request may have run")]
    MayHaveRun,
    /// The deadline has passed or is too close for another attempt.
    #[error("the time for the request is over")]
    #[serde(rename = "expired")]
    DeadlineExceeded,
    /// The entry stops.
    #[error("the entry stops")]
    Leaving,
    /// The request, or a part of its prompt, has reached the crash limit.
    #[error("the request crashed several backend servers")]
    Crashes,
    /// A part of the prompt may have crashed a backend server.
    #[error("a part of the prompt may have crashed a backend server and is being tried")]
    Suspected,
}

/// The final response to a request that no backend server answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// HTTP status.
    pub status: u16,
    /// Time after which the caller may retry; `None` if the request may have run
    /// or a retry would not help.
    pub retry_after: Option<Duration>,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to another backend server.
    Retry(Target),
    /// Send the final response to the caller.
    Stop(Refusal),
}

/// What to do with a request that no backend server has yet.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// Send it to this backend server.
    Dispatch(Target),
    /// It waits for room in the queue of its pool.
    Wait,
    /// Send the final response to the caller.
    Refuse(Refusal),
}
