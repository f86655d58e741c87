//! Messages exchanged between entries and agents.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Delta, Name};

/// Identifier of a caller's request, the same for all its attempts.
pub type RequestId = uuid::Uuid;

/// A batch of messages from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The process that sends the frame.
    pub sender: Sender,
    /// The revision of the sender's configuration table.
    pub revision: u64,
    /// The messages, in sending order.
    pub messages: Vec<Message>,
}

/// A process that sends frames.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// The process's name in the host list.
    pub name: Name,
    /// A number that increases with each start of the process.
    pub incarnation: u64,
    /// The address at which the process receives frames, `tcp://IP:PORT`.
    pub link: Name,
}

/// One message of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to agent: execute a request.
    Dispatch(Dispatch),
    /// Entry to agent: cancel an attempt.
    Cancel(Cancel),
    /// Entry to agent: resend the answer from a chunk on.
    Resend(Resend),
    /// Entry to agent: the complete answer has arrived and may be discarded.
    Ack(Cancel),
    /// Agent to entry: the attempt is refused.
    Refusal(Refusal),
    /// Agent to entry: status and headers of an answer.
    Head(Head),
    /// Agent to entry: a part of an answer's body.
    Chunk(Chunk),
    /// Agent to entry: the end of an answer's body.
    End(End),
    /// Agent to entry: load of the backend server.
    Report(Report),
    /// Any process to any: request for the rows changed after this revision.
    Pull(u64),
    /// Any process to any: rows of the configuration table, in answer to `Pull`.
    Delta(Delta),
    /// Any process to any: request for the host list.
    PullHosts,
    /// Any process to any: the host list and its revision.
    Hosts(u64, Vec<tables::Host>),
    /// Entry to agent, entry to entry: carries only the fields of the frame.
    Heartbeat,
    /// Entry to entry, where entries send directly to backend servers.
    Entry(balance::gossip::Message),
    /// Agent to agent, where ranks receive orders individually.
    Switch(group::switch::Message),
    /// Agent to agent: coordination of a rank group.
    Group(group::Message),
}

/// Priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// The caller waits for the answer.
    Interactive,
    /// Background work; yields to interactive requests.
    Batch,
}

/// One attempt of a request, dispatched to a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The incarnation of the agent that the attempt is meant for; any other refuses it.
    pub incarnation: u64,
    /// The pool that the request was sent to.
    pub pool: Name,
    /// The client account.
    pub account: Name,
    /// Weight of the client account when the pool is saturated.
    pub weight: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Remaining time for the complete answer when the entry sent the frame.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether the request can safely be executed more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// Hash of method, path and body, to detect reuse of a key for another request.
    pub fingerprint: u64,
    /// Whether the request must run without concurrent requests, because backend
    /// servers crashed while executing it.
    #[serde(rename = "alone")]
    pub exclusive: bool,
    /// The HTTP method.
    pub method: Name,
    /// The HTTP path with its query.
    pub path: Name,
    /// The headers that are forwarded to the backend server.
    pub headers: Vec<(Name, Name)>,
    /// The body.
    pub body: Bytes,
    /// Number of tokens already received by the caller from an interrupted stream.
    pub resume: u32,
}

/// Identifies one attempt of a request, to cancel or acknowledge it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
}

/// Requests chunks that did not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resend {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// Index of the first missing chunk.
    pub from: u32,
}

/// Execution state of a refused request, as far as the sender can determine it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It was not executed and never will be by this attempt.
    NotRun,
    /// It may have been executed or may still be.
    MayHaveRun,
    /// It was executed.
    Ran,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The backend server is saturated.
    Busy,
    /// The backend server has just started and accepts only little load.
    Cold,
    /// The request would be queued beyond its deadline.
    #[serde(rename = "late")]
    DeadlineExceeded,
    /// The process is draining and accepts no new requests.
    Leaving,
    /// An operator took the backend server or its availability zone out of service.
    Out,
    /// The request was meant for another incarnation of the agent.
    Incarnation,
    /// The cancellation arrived before the request.
    Cancelled,
    /// A request with the same idempotency key is running.
    Running,
    /// The idempotency key was used for a different request.
    Mismatch,
    /// An earlier attempt with this idempotency key may have been executed.
    Unknown,
    /// Claims of idempotency keys can't be written at the moment.
    Claims,
    /// Backend servers crash when they execute the request.
    Poison,
    /// The backend server can't be reached.
    Unreachable,
    /// The backend server aborted its answer.
    Broken,
    /// The backend server crashed while executing the request.
    Crashed,
    /// No backend server is available for the request.
    NoServer,
    /// The client account exceeds its share of open requests.
    Share,
    /// The answer is too large to be forwarded.
    TooLarge,
}

/// The end of an attempt without an answer.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// Reason of the refusal.
    pub reason: Reason,
    /// Execution state of the request.
    #[serde(rename = "ran")]
    pub execution: Execution,
    /// Time after which a retry may succeed, if any.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<(Name, Name)>,
}

/// A part of an answer's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The chunk's number within the attempt, from 0.
    pub index: u32,
    /// Number of complete server-sent events in the chunk; 0 for other bodies.
    pub events: u32,
    /// The bytes.
    pub data: Bytes,
}

/// Outcome of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server completed it.
    Complete,
    /// The backend server aborted it.
    Broken,
}

/// The end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// Number of chunks of the answer.
    pub count: u32,
    /// Outcome of the answer.
    pub outcome: Outcome,
}

/// Load of a backend server as reported by its agent.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of requests running on the backend server.
    pub running: u32,
    /// Number of requests queued at the agent.
    pub queued: u32,
    /// Current concurrency limit of the agent.
    pub limit: u32,
    /// Number of prompt tokens not yet processed.
    pub prefill: u32,
    /// Expected time to first token of a new request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Whether the backend server is cold.
    pub cold: bool,
    /// Whether the agent accepts no new requests.
    pub leaving: bool,
}
