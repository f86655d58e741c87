//! Admission to one backend server: admits or refuses attempts and forwards the
//! answers. All requests to the backend server pass through it.
//!
//! An attempt passes these stages in order: checks for a known or cancelled
//! attempt, for an agent that is leaving or out of service, and for a condemned
//! suspect ([`receive`]); queue and concurrency limit ([`admit`]); claim or trial
//! and sending ([`verdict`]); answer ([`forward`]); interruption or crash
//! ([`failure`]). Only an attempt that was never sent to the backend server is
//! refused as not run.

mod admit;
mod failure;
mod forward;
mod message;
mod receive;
mod verdict;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde_json::json;
use tables::Name;
use wire::{Cancel, Dispatch, Execution, Message, Reason, Refusal, Report};

use crate::attempt::{Attempt, Stage};
use crate::limit::Limit;
use crate::queue::Queue;
use crate::tombstone::Tombstones;

pub use message::{Counters, Event, Input, Options, Output, Standing, Verdict};

/// Retry-after time of a refusal without a longer estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which an entry is no longer notified.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_secs(60);
const QUEUE_CAPACITY: usize = 256;
const MAX_DUMPED_ATTEMPTS: usize = 100;

/// The admission gate of one backend server.
pub struct Gate {
    options: Options,
    limit: Limit,
    queue: Queue,
    /// Attempts that wait to run exclusively.
    exclusive_queue: VecDeque<u64>,
    attempts: HashMap<Cancel, Attempt>,
    tickets: HashMap<u64, Cancel>,
    /// Attempts that occupy a slot: claiming, running or checking.
    active: Vec<u64>,
    /// Size of the bodies of all kept answers, in bytes.
    answer_bytes: usize,
    tombstones: Tombstones,
    suspects: HashMap<u64, Standing>,
    next_ticket: u64,
    engine_incarnation: Option<u64>,
    prefill: u32,
    out: bool,
    leaving: bool,
    drained: bool,
    /// Links of entries, and when each last sent a heartbeat.
    subscribers: BTreeMap<Name, Duration>,
    counters: Counters,
}
impl Gate {
    /// Creates a gate for a backend server of unknown status.
    pub fn new(now: Duration, options: Options) -> Gate {
        Gate {
            limit: Limit::new(now, options.limit),
            options,
            queue: Queue::new(QUEUE_CAPACITY),
            exclusive_queue: VecDeque::new(),
            attempts: HashMap::new(),
            tickets: HashMap::new(),
            active: Vec::new(),
            answer_bytes: 0,
            tombstones: Tombstones::default(),
            suspects: HashMap::new(),
            next_ticket: 1,
            engine_incarnation: None,
            prefill: 0,
            out: false,
            leaving: false,
            drained: false,
            subscribers: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Applies one input and returns the actions to execute.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Receive(sender, message) => self.receive(now, &sender, message, &mut outputs),
            Input::Event(ticket, event) => self.handle_event(now, ticket, event, &mut outputs),
            Input::Verdict(ticket, verdict) => {
                self.handle_verdict(now, ticket, verdict, &mut outputs)
            }
            Input::Engine { incarnation, prefill } => {
                self.prefill = prefill;
                self.handle_engine_status(now, incarnation, &mut outputs);
            }
            Input::Unreachable => self.handle_unreachable(now, &mut outputs),
            Input::Out(out) => self.set_out(now, out, &mut outputs),
            Input::Limit(limit) => self.set_limit(now, limit),
            Input::Suspects(suspects) => self.suspects = suspects,
            Input::Leave => self.start_leaving(now, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
        }
        self.admit(now, &mut outputs);
        self.check_drained(&mut outputs);
        outputs
    }

    /// Returns the load report of the backend server.
    pub fn report(&self, now: Duration) -> Report {
        Report {
            running: self.active.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.concurrency_limit(now),
            prefill: self.prefill,
            first_token: self.queue.estimated_wait(now, wire::Class::Interactive, ""),
            cold: self.is_cold(now),
            leaving: self.leaving || self.out,
        }
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the state as JSON, with at most a hundred attempts.
    pub fn dump(&self, now: Duration) -> serde_json::Value {
        let attempts: Vec<_> = self
            .attempts
            .values()
            .take(MAX_DUMPED_ATTEMPTS)
            .map(|attempt| {
                json!({
                    "request": attempt.dispatch.id.to_string(),
                    "attempt": attempt.dispatch.attempt,
                    "account": attempt.dispatch.account,
                    "stage": format!("{:?}", attempt.stage),
                    "chunks": attempt.chunks.len(),
                })
            })
            .collect();
        json!({
            "out": self.out,
            "leaving": self.leaving,
            "limit": self.concurrency_limit(now),
            "cold": self.is_cold(now),
            "running": self.active.len(),
            "queued": self.queue.len(),
            "engine_incarnation": self.engine_incarnation,
            "suspects": self.suspects.len(),
            "counters": self.counters,
            "attempts_kept": self.attempts.len(),
            "attempts": attempts,
        })
    }

    fn attempt(&mut self, ticket: u64) -> Option<&mut Attempt> {
        self.attempts.get_mut(self.tickets.get(&ticket)?)
    }

    /// Frees the slot of an attempt and records its outcome.
    fn release_slot(&mut self, now: Duration, ticket: u64, ok: bool) {
        let Some(position) = self.active.iter().position(|other| *other == ticket) else { return };
        let running = self.active.len() as u32;
        self.active.swap_remove(position);
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get(id)) else {
            return;
        };
        match attempt.stage {
            Stage::Checking if attempt.first_chunk_at.is_none() => {
                let latency = now.saturating_sub(attempt.started_at);
                self.limit.record_outcome(now, running, latency, false);
            }
            Stage::Running if ok => {
                self.queue.record_service_time(now, now.saturating_sub(attempt.started_at));
            }
            // A cancelled attempt is no sample of the backend server's health.
            _ => {}
        }
    }

    /// Number of requests that may run at once now. It follows the latency only for
    /// engines, which start cold; in plain services the work per request varies too
    /// much.
    fn concurrency_limit(&self, now: Duration) -> u32 {
        if self.options.cold { self.limit.current(now) } else { self.options.limit }
    }

    /// Whether one more request may start now.
    fn has_capacity(&self, now: Duration) -> bool {
        let running = self.active.len() as u32;
        if !self.options.cold {
            return running < self.options.limit;
        }
        let awaits_first_chunk = |ticket: &&u64| {
            let attempt = self.tickets.get(*ticket).and_then(|id| self.attempts.get(id));
            attempt.is_some_and(|attempt| attempt.first_chunk_at.is_none())
        };
        let pending = self.active.iter().filter(awaits_first_chunk).count() as u32;
        self.limit.admits(now, running, pending)
    }

    fn is_cold(&self, now: Duration) -> bool {
        self.options.cold && self.limit.is_cold(now)
    }

    fn set_out(&mut self, now: Duration, out: bool, outputs: &mut Vec<Output>) {
        if out != self.out {
            self.out = out;
            self.notify_subscribers(now, outputs);
        }
    }

    /// Sends the load report to all entries, so that they see at once whether work
    /// is accepted here.
    fn notify_subscribers(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.subscribers.retain(|_, last| now.saturating_sub(*last) < SUBSCRIBER_TIMEOUT);
        let report = Message::Report(self.report(now));
        let links = self.subscribers.keys().cloned();
        outputs.extend(links.map(|link| Output::Send(link, report.clone())));
    }

    /// Applies a new limit; the adaptive limit of an engine starts again from cold.
    fn set_limit(&mut self, now: Duration, limit: u32) {
        if limit != self.options.limit {
            self.options.limit = limit;
            self.limit = Limit::new(now, limit);
        }
    }

    fn refuse(
        &mut self,
        now: Duration,
        ticket: u64,
        reason: Reason,
        execution: Execution,
        retry_after: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        self.release_slot(now, ticket, false);
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        self.counters.refused += 1;
        attempt.stage = Stage::Done;
        attempt.ended_at = now;
        let last = refusal(&id, reason, execution, retry_after);
        attempt.final_message = Some(last.clone());
        outputs.push(Output::Send(attempt.link.clone(), last));
        // Without a crash the trial has no result; another one may start.
        if std::mem::take(&mut attempt.trial_active) && reason != Reason::Crashed {
            outputs.push(Output::Release(attempt.dispatch.fingerprint));
        }
    }

    fn check_drained(&mut self, outputs: &mut Vec<Output>) {
        let idle =
            self.active.is_empty() && self.queue.is_empty() && self.exclusive_queue.is_empty();
        let finished = self.attempts.values().all(|attempt| attempt.stage == Stage::Done);
        if self.leaving && !self.drained && idle && finished {
            self.drained = true;
            outputs.push(Output::Drained);
        }
    }
}

fn has_claim(dispatch: &Dispatch) -> bool {
    !dispatch.idempotent
}

fn refusal(
    id: &Cancel,
    reason: Reason,
    execution: Execution,
    retry_after: Option<Duration>,
) -> Message {
    Message::Refusal(Refusal { id: id.id, attempt: id.attempt, reason, execution, retry_after })
}
