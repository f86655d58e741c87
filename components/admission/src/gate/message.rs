//! Inputs and outputs of the gate, its options and counters.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tables::Name;
use wire::{Dispatch, Execution, Message, Reason, Sender};

/// Whether and how a suspect may run, by the crashes counted for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may run like any other request; a complete answer clears it.
    Suspected,
    /// It may run only while no other request runs.
    Exclusive,
    /// It must not run on any backend server.
    Condemned,
}

/// Result of recording a claim or a trial.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Recorded; the attempt may be sent to the backend server.
    Grant,
    /// An earlier attempt with the same key completed with this answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(Name, Name)>,
        /// The body.
        body: Bytes,
    },
    /// The attempt must not be sent to the backend server.
    Refuse {
        /// Reason of the refusal.
        reason: Reason,
        /// Whether an earlier attempt with the same key may have run.
        execution: Execution,
        /// When the caller may retry.
        retry_after: Option<Duration>,
    },
}

/// Progress of an attempt at the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Status and headers were received.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers to forward.
        headers: Vec<(Name, Name)>,
    },
    /// A part of the body was received.
    Data {
        /// Number of complete server-sent events in it.
        events: u32,
        /// The bytes of the part.
        data: Bytes,
    },
    /// The answer is complete.
    Done,
    /// The answer failed or was aborted.
    Failed {
        /// Whether the request was sent to the backend server, fully or in part.
        handed: bool,
    },
}

/// Input of the gate.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A message from an entry.
    Receive(Sender, Message),
    /// Progress of an attempt that was sent to the backend server.
    Event(u64, Event),
    /// Result of recording a claim or a trial for an attempt.
    Verdict(u64, Verdict),
    /// Status of the backend server.
    Engine {
        /// Changes with each start of the backend server.
        incarnation: u64,
        /// Prompt tokens that wait for prefill.
        prefill: u32,
    },
    /// The backend server is unreachable.
    Unreachable,
    /// Whether operators took the backend server or its zone out of service.
    Out(bool),
    /// Maximum number of requests that the backend server runs at once when warm.
    Limit(u32),
    /// Requests that crashed backend servers, by fingerprint.
    Suspects(HashMap<u64, Standing>),
    /// The process received a request to stop.
    Leave,
    /// Periodic timer.
    Tick,
}

/// Action requested by the gate.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Record a claim; the result is returned as [`Input::Verdict`].
    Claim {
        /// Ticket of the attempt.
        ticket: u64,
        /// Name of the claim: the account, and the key or request id.
        key: Name,
        /// Fingerprint of the request.
        fingerprint: u64,
        /// When the answer must be complete, since the start of the process.
        deadline: Duration,
    },
    /// Record the trial of a suspect; the result is returned as
    /// [`Input::Verdict`].
    Trial {
        /// Ticket of the attempt.
        ticket: u64,
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Send the attempt to the backend server.
    Run(u64, Dispatch),
    /// Abort an attempt that was sent to the backend server.
    Stop(u64),
    /// An attempt with a claim completed with this answer.
    Finish {
        /// Ticket of the attempt.
        ticket: u64,
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(Name, Name)>,
        /// The body.
        body: Bytes,
    },
    /// An attempt with a claim was sent to the backend server and its result is
    /// unknown.
    Lost(u64),
    /// An attempt with a claim or trial was not sent to the backend server.
    Abandon(u64),
    /// Check the backend server's status now.
    Check,
    /// The backend server crashed while it ran these requests.
    Crash(Vec<u64>),
    /// A suspect completed without a crash.
    Clear(u64),
    /// The trial of a suspect ended without a result.
    Release(u64),
    /// The process is stopping and no work is left.
    Drained,
}

/// Options of the gate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Incarnation of the agent's process.
    pub incarnation: u64,
    /// Maximum number of requests that the backend server runs at once when warm.
    pub limit: u32,
    /// Whether the backend server starts cold, as model engines do.
    pub cold: bool,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Attempts received, except copies of one that is still kept.
    pub dispatched: u64,
    /// Attempts sent to the backend server.
    pub run: u64,
    /// Attempts that completed.
    pub complete: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts that failed after they were sent to the backend server.
    pub broken: u64,
    /// Attempts that were stopped since their answers exceeded a size limit. They count as
    /// failed as well.
    pub oversized: u64,
    /// Crashes of the backend server.
    pub crashes: u64,
    /// Attempts sent to the backend server while it was out of service.
    pub run_while_out: u64,
}
