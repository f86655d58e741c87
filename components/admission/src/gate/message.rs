//! What the gate is told, and what it wants done.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tables::Name;
use wire::{Dispatch, Execution, Message, Reason, Sender};

/// Whether a request may run, by the evidence of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may run as any other; if it ends whole it is cleared.
    Watched,
    /// It may run, with no other request beside it.
    Alone,
    /// It must not run anywhere.
    Condemned,
}

/// What the recorder of claims or trials says.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Recorded: the attempt may be handed over.
    Grant,
    /// An earlier attempt ended with this answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(Name, Name)>,
        /// The body.
        body: Bytes,
    },
    /// The attempt must not be handed over.
    Refuse {
        /// Why.
        reason: Reason,
        /// What is known of earlier attempts with the same key.
        execution: Execution,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// What the backend server does with an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Status and headers came.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers that are passed on.
        headers: Vec<(Name, Name)>,
    },
    /// A part of the body came.
    Data {
        /// Number of whole server-sent events in it.
        events: u32,
        /// The bytes.
        data: Bytes,
    },
    /// The answer is over.
    Done,
    /// The answer will not come.
    Failed {
        /// Whether the request, or a part of it, was sent.
        handed: bool,
    },
}

/// What the gate is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message from an entry.
    Receive(Sender, Message),
    /// News of an attempt that was handed over.
    Event(u64, Event),
    /// The recorder's word on an attempt.
    Verdict(u64, Verdict),
    /// The backend server's incarnation and waiting prompt tokens.
    Engine {
        /// A number that changes when the backend server starts anew.
        incarnation: u64,
        /// Prompt tokens that wait.
        prefill: u32,
    },
    /// The backend server can't be reached.
    Unreachable,
    /// Whether operators took the backend server or its zone out.
    Out(bool),
    /// Most requests that the warm backend server runs at once.
    Limit(u32),
    /// What is known of requests that crash servers, by fingerprint.
    Suspects(HashMap<u64, Standing>),
    /// The process has been told to stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// What the gate wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Record a claim, then say whether the attempt may run.
    Claim {
        /// The attempt.
        ticket: u64,
        /// The key, within the account.
        key: Name,
        /// The request's fingerprint.
        fingerprint: u64,
        /// When the answer must be whole.
        deadline: Duration,
    },
    /// Record the trial of a suspect, then say whether the attempt may run.
    Trial {
        /// The attempt.
        ticket: u64,
        /// The request's fingerprint.
        fingerprint: u64,
    },
    /// Hand the attempt over to the backend server.
    Run(u64, Dispatch),
    /// Stop an attempt that was handed over.
    Stop(u64),
    /// An attempt with a claim ended with this answer.
    Finish {
        /// The attempt.
        ticket: u64,
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(Name, Name)>,
        /// The body.
        body: Bytes,
    },
    /// An attempt with a claim was handed over and its end is not known.
    Lost(u64),
    /// An attempt with a claim was never handed over.
    Abandon(u64),
    /// Look at the backend server now.
    Check,
    /// The backend server crashed while it ran these requests.
    Crash(Vec<u64>),
    /// These suspects ended without harm.
    Clear(u64),
    /// The trial of a suspect ended and showed nothing.
    Release(u64),
    /// The process is leaving and nothing is left to do.
    Drained,
}

/// What the gate is built with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Most requests that the warm backend server runs at once.
    pub limit: u32,
    /// Whether the backend server starts cold, as model engines do.
    pub cold: bool,
}

/// What the gate has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Attempts that arrived.
    pub dispatched: u64,
    /// Attempts that were handed over.
    pub run: u64,
    /// Attempts that ended whole.
    pub complete: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Attempts that were broken off by the backend server.
    pub broken: u64,
    /// Crashes of the backend server.
    pub crashes: u64,
    /// Attempts handed over while operators had the server out.
    pub run_while_out: u64,
}
