//! A bounded trace of routing decisions, for operators.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;
use wire::{Execution, Reason, RequestId};

/// Most requests kept in the trace.
const REQUEST_LIMIT: usize = 2048;
/// Most steps kept per request; later ones are dropped.
const STEP_LIMIT: usize = 32;

/// One step in the processing of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Time since the start of the process.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at_ms: Duration,
    /// What happened.
    #[serde(flatten)]
    pub note: Note,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Note {
    /// The request arrived and matched a route.
    Matched {
        /// The client account.
        account: Name,
        /// The route.
        route: Name,
        /// The pools of the route.
        pools: Vec<Name>,
    },
    /// An attempt was sent to a backend server.
    Sent {
        /// The number of the attempt.
        attempt: u32,
        /// The backend server.
        server: Name,
        /// Number of eligible backend servers.
        candidates: usize,
        /// Events sent to the caller before this attempt.
        resume: u32,
    },
    /// An attempt was refused or failed.
    Failed {
        /// The number of the attempt.
        attempt: u32,
        /// The reason.
        reason: Reason,
        /// Whether the attempt ran.
        #[serde(rename = "ran")]
        execution: Execution,
    },
    /// The complete answer was sent to the caller.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The request ended with a problem.
    GivenUp {
        /// The reason.
        reason: Reason,
        /// Whether the request ran.
        #[serde(rename = "ran")]
        execution: Execution,
    },
    /// The caller disconnected.
    #[serde(rename = "hung_up")]
    Disconnected,
}

/// The steps of recent requests.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    order: VecDeque<RequestId>,
    steps: HashMap<RequestId, Vec<Step>>,
}

impl Trace {
    /// Adds a step; evicts the oldest request above [`REQUEST_LIMIT`].
    pub fn record(&mut self, now: Duration, id: RequestId, note: Note) {
        let steps = self.steps.entry(id).or_insert_with(|| {
            self.order.push_back(id);
            Vec::new()
        });
        if steps.len() < STEP_LIMIT {
            steps.push(Step { at_ms: now, note });
        }
        if self.order.len() > REQUEST_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.steps.remove(&oldest);
        }
    }

    /// The steps of a request, if it is still in the trace.
    pub fn explain(&self, id: &RequestId) -> Option<&[Step]> {
        self.steps.get(id).map(Vec::as_slice)
    }
}
