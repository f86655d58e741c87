//! A caller's request at an entry, and the attempts to serve it.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use tables::Name;
use wire::{Cancel, Chunk, Class, Dispatch, End, Execution, Head, Outcome, Reason, RequestId};

/// What a caller asks, as the HTTP side hands it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The request.
    pub id: RequestId,
    /// The caller's bearer key.
    pub bearer: Option<String>,
    /// The HTTP method.
    pub method: Name,
    /// The HTTP path with its query.
    pub path: Name,
    /// The model that the body names, if it is a chat completion.
    pub model: Option<Name>,
    /// The headers that are passed on.
    pub headers: Vec<(Name, Name)>,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// How urgent the request is.
    pub class: Class,
    /// The caller's own time limit.
    pub timeout: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

/// An attempt that is under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The backend server.
    pub server: Name,
    /// The address of its agent.
    pub link: Name,
    /// The agent's incarnation that was meant, 0 if none was known.
    pub incarnation: u64,
    /// When the agent last said something of this attempt.
    pub heard: Duration,
    /// When the agent was last asked for what is missing.
    pub asked: Duration,
    /// How often it was asked since it was last heard.
    pub probes: u32,
    /// The head, once it came.
    pub head: Option<Head>,
    /// Index of the next chunk to pass on.
    pub next: u32,
    /// Chunks that came too early.
    pub early: BTreeMap<u32, Chunk>,
    /// The end, once it came.
    pub end: Option<End>,
}

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it is sent to agents.
    pub dispatch: Dispatch,
    /// Name of the route.
    pub route: Name,
    /// The pools that may serve it, in order of preference.
    pub pools: Vec<Name>,
    /// Number of prompt tokens, roughly.
    pub prompt: u32,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
    /// When the answer must be whole.
    pub deadline: Duration,
    /// The attempt under way, if any.
    pub attempt: Option<Attempt>,
    /// Backend servers that refused or failed it.
    pub avoid: Vec<Name>,
    /// What earlier attempts leave open.
    pub execution: Execution,
    /// Why the last attempt failed.
    pub reason: Reason,
    /// Earliest time at which a refusing agent wants to see it again.
    pub retry_after: Option<Duration>,
    /// Attempts that crashed their backend server before any answer.
    pub crashes: u32,
    /// When a begun stream that no server could go on with is tried again.
    pub again: Option<Duration>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Whether the head has gone to the caller.
    pub head_sent: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Events that the caller has.
    pub events: u32,
    /// Body of an answer that is not streamed, kept until it is whole.
    pub body: Vec<u8>,
}

impl Request {
    /// The identity of the attempt under way.
    pub fn current(&self) -> Cancel {
        Cancel { id: self.dispatch.id, attempt: self.dispatch.attempt }
    }

    /// Whether the caller has a part of a stream, which only going on can mend.
    pub fn has_begun(&self) -> bool {
        self.head_sent && self.stream
    }

    /// Whether another attempt can still give the caller a whole answer.
    pub fn may_retry(&self) -> bool {
        !self.head_sent || self.stream
    }
}

impl Attempt {
    /// Keeps a chunk until it is its turn; one that came already is dropped.
    pub fn accept(&mut self, chunk: Chunk) {
        if chunk.index >= self.next {
            self.early.insert(chunk.index, chunk);
        }
    }

    /// The chunks whose turn it is. None before the head has come.
    pub fn ready(&mut self) -> Vec<Chunk> {
        let mut ready = Vec::new();
        if self.head.is_none() {
            return ready;
        }
        while let Some(chunk) = self.early.remove(&self.next) {
            self.next += 1;
            ready.push(chunk);
        }
        ready
    }

    /// Whether all of the answer has come, and how it ended.
    pub fn outcome(&self) -> Option<Outcome> {
        let end = self.end?;
        (self.head.is_some() && self.next == end.count).then_some(end.outcome)
    }
}
