//! An attempt of a request at an agent, from its arrival until it is removed.

use std::time::Duration;

use tables::Name;
use wire::{Chunk, Dispatch, End, Head, Message, Outcome, Resend};

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting in the queue.
    Queued,
    /// Waiting for its claim or trial to be recorded.
    Claiming,
    /// Sent to the backend server.
    Running,
    /// Interrupted; a check whether the backend server crashed is pending.
    Checking,
    /// Finished; kept so that the answer can be resent.
    Done,
}

/// An attempt and the part of its answer sent so far.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Agent-local number of the attempt.
    pub ticket: u64,
    /// Address of the entry that sent the attempt.
    pub link: Name,
    pub dispatch: Dispatch,
    pub stage: Stage,
    /// Whether its trial as a suspect is still to be recorded.
    pub trial_pending: bool,
    /// Whether its trial as a suspect is recorded and not finished.
    pub trial_active: bool,
    /// When the answer must be complete, since the start of the process.
    pub deadline: Duration,
    /// When it was sent to the backend server; until then, when it arrived.
    pub started_at: Duration,
    /// When the first part of the answer's body was received.
    pub first_chunk_at: Option<Duration>,
    /// When it finished or was interrupted; until then, when it arrived.
    pub ended_at: Duration,
    /// Status and headers of the answer, once received.
    pub head: Option<Head>,
    /// The parts of the answer's body received so far.
    pub chunks: Vec<Chunk>,
    /// Size of these parts in bytes.
    pub size: usize,
    /// The message that ended the attempt, once it was sent.
    pub final_message: Option<Message>,
}

impl Attempt {
    /// Creates a queued attempt that arrived at `now`.
    pub fn new(now: Duration, ticket: u64, link: Name, dispatch: Dispatch) -> Attempt {
        let deadline = now + dispatch.remaining;
        Attempt {
            ticket,
            link,
            dispatch,
            stage: Stage::Queued,
            trial_pending: false,
            trial_active: false,
            deadline,
            started_at: now,
            first_chunk_at: None,
            ended_at: now,
            head: None,
            chunks: Vec::new(),
            size: 0,
            final_message: None,
        }
    }

    /// Appends a part of the body and returns the chunk to send.
    pub fn add_chunk(&mut self, events: u32, data: bytes::Bytes) -> Chunk {
        let chunk = Chunk {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            index: self.chunks.len() as u32,
            events,
            data,
        };
        self.size += chunk.data.len();
        self.chunks.push(chunk.clone());
        chunk
    }

    /// Returns the message that ends an answer whose head was sent.
    pub fn end_message(&self, outcome: Outcome) -> Message {
        Message::End(End {
            id: self.dispatch.id,
            attempt: self.dispatch.attempt,
            count: self.chunks.len() as u32,
            outcome,
        })
    }

    /// Returns the messages to resend, starting at the requested chunk.
    pub fn replay(&self, resend: &Resend) -> Vec<Message> {
        let mut messages = Vec::new();
        if resend.from == 0 {
            messages.extend(self.head.clone().map(Message::Head));
        }
        let rest = self.chunks.iter().skip(resend.from as usize);
        messages.extend(rest.cloned().map(Message::Chunk));
        messages.extend(self.final_message.clone());
        messages
    }
}
