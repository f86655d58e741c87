//! The messages that entries and agents exchange.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Delta, Name};

/// The identity of a caller's request, the same through all its attempts.
pub type RequestId = uuid::Uuid;

/// A batch of messages from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sends the frame.
    pub sender: Sender,
    /// The revision of the sender's configuration table.
    pub revision: u64,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// A process that sends frames.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Sender {
    /// The process's name in the host list.
    pub name: Name,
    /// A number that rises with each start of the process.
    pub incarnation: u64,
    /// The address at which the process takes frames, `tcp://IP:PORT`.
    pub link: Name,
}

/// One message of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to agent: run a request.
    Dispatch(Dispatch),
    /// Entry to agent: stop a request.
    Cancel(Cancel),
    /// Entry to agent: send the answer again from a chunk on.
    Resend(Resend),
    /// Entry to agent: the answer up to its end has arrived, forget it.
    Ack(Cancel),
    /// Agent to entry: the attempt is refused.
    Refusal(Refusal),
    /// Agent to entry: status and headers of the answer.
    Head(Head),
    /// Agent to entry: a part of the answer's body.
    Chunk(Chunk),
    /// Agent to entry: the answer's body is over.
    End(End),
    /// Agent to entry: how loaded the backend server is.
    Report(Report),
    /// Any process to any: send me the rows after this revision.
    Pull(u64),
    /// Any process to any: rows that the receiver lacks.
    Delta(Delta),
    /// Any process to any: send me your host list.
    PullHosts,
    /// Any process to any: the host list at a revision.
    Hosts(u64, Vec<tables::Host>),
    /// Entry to agent, entry to entry: nothing but the frame's own fields.
    Heartbeat,
    /// Entry to entry, where entries send straight to backend servers.
    Entry(balance::gossip::Message),
    /// Agent to agent, where ranks take orders one by one.
    Switch(group::switch::Message),
    /// Agent to agent: the business of a rank group.
    Group(group::Message),
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// Nobody waits; gives way to interactive requests.
    Batch,
}

/// A request on its way to a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The agent's incarnation that the entry means; another one refuses.
    pub incarnation: u64,
    /// The pool through which the request comes.
    pub pool: Name,
    /// The client account.
    pub account: Name,
    /// The weight of the client account in a busy pool.
    pub weight: u32,
    /// How urgent the request is.
    pub class: Class,
    /// Time left for the whole answer when the entry sent the frame.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// Whether the request may be run more than once without harm.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// Hash of method, path and body, to tell the same request sent again.
    pub fingerprint: u64,
    /// Whether the request must run with no other beside it, since servers
    /// crashed that ran it.
    #[serde(rename = "alone")]
    pub exclusive: bool,
    /// The HTTP method.
    pub method: Name,
    /// The HTTP path with its query.
    pub path: Name,
    /// The headers that are passed on.
    pub headers: Vec<(Name, Name)>,
    /// The body.
    pub body: Bytes,
    /// Number of tokens of a broken stream that the caller already has.
    pub resume: u32,
}

/// Names one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
}

/// Asks for chunks that did not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resend {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// Index of the first chunk that is missing.
    pub from: u32,
}

/// What is known about whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It has not run and never will under this attempt.
    NotRun,
    /// It may have run, or may still run.
    MayHaveRun,
    /// It has run.
    Ran,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The backend server has all the work it can carry.
    Busy,
    /// The backend server has just started and carries little.
    Cold,
    /// The wait would last beyond the request's deadline.
    #[serde(rename = "late")]
    DeadlineExceeded,
    /// The process is leaving.
    Leaving,
    /// Operators took the backend server or its availability zone out.
    Out,
    /// The request was meant for an earlier incarnation of the agent.
    Incarnation,
    /// The request was cancelled before it arrived.
    Cancelled,
    /// The same idempotency key is running now.
    Running,
    /// The same idempotency key came with another request.
    Mismatch,
    /// An earlier attempt with this idempotency key may have run.
    Unknown,
    /// Claims can't be written now.
    Claims,
    /// The request crashes the backend servers that run it.
    Poison,
    /// The backend server can't be reached.
    Unreachable,
    /// The backend server broke off its answer.
    Broken,
    /// The backend server crashed while it ran the request.
    Crashed,
    /// No backend server can take the request.
    NoServer,
    /// The account has more requests open than its share.
    Share,
    /// The answer is too large to pass on.
    TooLarge,
}

/// An attempt that ends without an answer.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// Why.
    pub reason: Reason,
    /// Whether it has run.
    #[serde(rename = "ran")]
    pub execution: Execution,
    /// When coming back makes sense, if it does.
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
    /// The headers that are passed on.
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
    /// Number of whole server-sent events in the chunk; 0 for other bodies.
    pub events: u32,
    /// The bytes.
    pub data: Bytes,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server ended it.
    Complete,
    /// The backend server broke it off.
    Broken,
}

/// The end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The number of chunks.
    pub count: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// How loaded a backend server is, as its agent sees it.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that the backend server runs now.
    pub running: u32,
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Most requests that the agent lets run at once now.
    pub limit: u32,
    /// Prompt tokens that wait to be computed.
    pub prefill: u32,
    /// Expected time to the first token of a request that arrives now.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Whether the backend server is cold.
    pub cold: bool,
    /// Whether the agent takes no new work.
    pub leaving: bool,
}
