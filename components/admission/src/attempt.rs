//! One attempt of a request at an agent, from its arrival until it is forgotten.

use std::time::Duration;

use tables::Name;
use wire::{Chunk, Dispatch, End, Head, Message, Outcome, Resend};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits in the queue.
    Queued,
    /// Waits for its claim or trial to be recorded.
    Claiming,
    /// Handed over to the backend server.
    Running,
    /// Broken off; waits to learn whether the backend server crashed.
    Checking,
    /// Over; kept so that it can be sent again.
    Done,
}

/// An attempt and what was sent of its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number by which the agent's own parts know the attempt.
    pub ticket: u64,
    /// Address of the entry that sent the attempt.
    pub link: Name,
    /// The request.
    pub dispatch: Dispatch,
    /// How far it has come.
    pub stage: Stage,
    /// Whether it waits for its trial as a suspect to be recorded.
    pub trial: bool,
    /// Whether its trial as a suspect was recorded and has not ended.
    pub tried: bool,
    /// When the answer must be whole.
    pub deadline: Duration,
    /// When it was handed over.
    pub started: Duration,
    /// When the first part of the answer's body came.
    pub first: Option<Duration>,
    /// When it ended.
    pub ended: Duration,
    /// The answer's head, once it came.
    pub head: Option<Head>,
    /// The answer's body so far.
    pub chunks: Vec<Chunk>,
    /// How it ended, once it did.
    pub last: Option<Message>,
}

impl Attempt {
    /// A new attempt that arrived at `now`.
    pub fn new(now: Duration, ticket: u64, link: Name, dispatch: Dispatch) -> Attempt {
        let deadline = now + dispatch.remaining;
        Attempt {
            ticket,
            link,
            dispatch,
            stage: Stage::Queued,
            trial: false,
            tried: false,
            deadline,
            started: now,
            first: None,
            ended: now,
            head: None,
            chunks: Vec::new(),
            last: None,
        }
    }

    /// Adds a part of the body and returns the chunk to send.
    pub fn extend(&mut self, events: u32, data: bytes::Bytes) -> Chunk {
        let chunk = Chunk {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            index: self.chunks.len() as u32,
            events,
            data,
        };
        self.chunks.push(chunk.clone());
        chunk
    }

    /// The message that ends an answer whose head was sent.
    pub fn end(&self, outcome: Outcome) -> Message {
        Message::End(End {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            count: self.chunks.len() as u32,
            outcome,
        })
    }

    /// What to send again from a chunk on.
    pub fn replay(&self, resend: &Resend) -> Vec<Message> {
        let mut messages = Vec::new();
        if resend.from == 0 {
            messages.extend(self.head.clone().map(Message::Head));
        }
        let rest = self.chunks.iter().skip(resend.from as usize);
        messages.extend(rest.cloned().map(Message::Chunk));
        messages.extend(self.last.clone());
        messages
    }
}
