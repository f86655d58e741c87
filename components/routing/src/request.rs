//! A caller's request and its attempts on backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use tables::Name;
use wire::{Cancel, Chunk, Class, Dispatch, End, Execution, Head, Outcome, Reason, RequestId};

/// A caller's request as received by the HTTP server.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The request's id.
    pub id: RequestId,
    /// The caller's bearer key.
    pub bearer: Option<String>,
    /// The HTTP method.
    pub method: Name,
    /// The HTTP path with its query.
    pub path: Name,
    /// The model named in the body of a chat completion.
    pub model: Option<Name>,
    /// The headers forwarded to the backend server.
    pub headers: Vec<(Name, Name)>,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// The priority class.
    pub class: Class,
    /// The caller's timeout.
    pub timeout: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The backend server.
    pub server: Name,
    /// The address of its agent.
    pub link: Name,
    /// The agent's incarnation at the time of dispatch; 0 if unknown.
    pub incarnation: u64,
    /// When the agent's last message for this attempt arrived.
    pub last_received: Duration,
    /// When the agent was last asked to resend missing chunks.
    pub last_probe: Duration,
    /// Resend requests since the agent's last message for this attempt.
    pub probes: u32,
    /// The head, once it has arrived.
    pub head: Option<Head>,
    /// Index of the next chunk to forward.
    pub next_index: u32,
    /// Chunks that arrived out of order, by index.
    pub buffered: BTreeMap<u32, Chunk>,
    /// Size of these chunks.
    pub buffered_bytes: usize,
    /// The end, once it has arrived.
    pub end: Option<End>,
}

/// Size of chunks that arrived early, in bytes, from which on no more are buffered.
const EARLY_LIMIT: usize = 1 << 20;

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it is sent to agents.
    pub dispatch: Dispatch,
    /// Name of the route.
    pub route: Name,
    /// The pools that may serve it, in order of preference.
    pub pools: Vec<Name>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
    /// When the answer must be complete.
    pub deadline: Duration,
    /// The attempt in flight, if any.
    pub attempt: Option<Attempt>,
    /// Backend servers that refused the request or failed an attempt.
    pub excluded: Vec<Name>,
    /// Execution state after the ended attempts.
    pub execution: Execution,
    /// Why the last attempt failed.
    pub reason: Reason,
    /// Shortest retry delay that a refusing agent gave.
    pub retry_after: Option<Duration>,
    /// Attempts that crashed their backend server before the first chunk.
    pub crashes: u32,
    /// When a partial stream that no server could resume is retried.
    pub retry_at: Option<Duration>,
    /// Number of attempts started.
    pub attempts: u32,
    /// Whether the head has been sent to the caller.
    pub head_sent: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Events sent to the caller.
    pub events: u32,
    /// Body of a non-streamed answer, buffered until it is complete.
    pub body: Vec<u8>,
}

impl Request {
    /// The request id and number of the current attempt, as a cancel message.
    pub fn attempt_id(&self) -> Cancel {
        Cancel { id: self.dispatch.id, attempt: self.dispatch.attempt }
    }

    /// Whether the caller has received a part of a stream, which can only be resumed.
    pub fn has_partial_stream(&self) -> bool {
        self.head_sent && self.stream
    }

    /// Whether another attempt can still give the caller a complete answer.
    pub fn may_retry(&self) -> bool {
        !self.head_sent || self.stream
    }
}

impl Attempt {
    /// Buffers a chunk until those before it have arrived; drops duplicates, and later
    /// chunks that exceed the limit. The agent sends what is missing again.
    pub fn accept(&mut self, chunk: Chunk) {
        let is_new = chunk.index >= self.next_index && !self.buffered.contains_key(&chunk.index);
        let fits = chunk.index == self.next_index || self.buffered_bytes < EARLY_LIMIT;
        if is_new && fits {
            self.buffered_bytes += chunk.data.len();
            self.buffered.insert(chunk.index, chunk);
        }
    }

    /// Removes and returns the chunks that are next in order; none before the head
    /// has arrived.
    pub fn take_ready(&mut self) -> Vec<Chunk> {
        let mut ready = Vec::new();
        if self.head.is_none() {
            return ready;
        }
        while let Some(chunk) = self.buffered.remove(&self.next_index) {
            self.next_index += 1;
            self.buffered_bytes -= chunk.data.len();
            ready.push(chunk);
        }
        ready
    }

    /// How the answer ended, once all of it has arrived.
    pub fn outcome(&self) -> Option<Outcome> {
        let end = self.end?;
        (self.head.is_some() && self.next_index == end.count).then_some(end.outcome)
    }
}
