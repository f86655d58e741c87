//! The only door to a backend server: admits or refuses work, and sends the
//! answers back.
//!
//! An attempt goes through filters in this order: known already, cancelled,
//! leaving or out, suspect ([`receive`]), queue, limit ([`admit`]), claim,
//! hand-over ([`verdict`]), answer ([`forward`]), and what follows a break or a
//! crash ([`failure`]). Only an attempt that was never handed over is refused as
//! not run.

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
use crate::tombstone::Seen;

pub use message::{Counters, Event, Input, Options, Output, Standing, Verdict};

/// Longest time after which a caller is told to come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Silence after which an entry is not told of changes any more.
const WATCHER_LIMIT: Duration = Duration::from_secs(60);
/// Most attempts that wait.
const QUEUE_LIMIT: usize = 256;
/// Most attempts in a state dump.
const DUMP_LIMIT: usize = 100;

/// The gate before one backend server.
pub struct Gate {
    options: Options,
    limit: Limit,
    queue: Queue,
    alone: VecDeque<u64>,
    attempts: HashMap<Cancel, Attempt>,
    tickets: HashMap<u64, Cancel>,
    active: Vec<u64>,
    cancelled: Seen,
    suspects: HashMap<u64, Standing>,
    next: u64,
    engine: Option<u64>,
    prefill: u32,
    out: bool,
    leaving: bool,
    drained: bool,
    /// Entries that send heartbeats, and when each last did.
    watchers: BTreeMap<Name, Duration>,
    counters: Counters,
}
impl Gate {
    /// A gate before a server about which nothing is known.
    pub fn new(now: Duration, options: Options) -> Gate {
        Gate {
            limit: Limit::new(now, options.limit),
            options,
            queue: Queue::new(QUEUE_LIMIT),
            alone: VecDeque::new(),
            attempts: HashMap::new(),
            tickets: HashMap::new(),
            active: Vec::new(),
            cancelled: Seen::default(),
            suspects: HashMap::new(),
            next: 1,
            engine: None,
            prefill: 0,
            out: false,
            leaving: false,
            drained: false,
            watchers: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Takes one input and says what to do.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Receive(sender, message) => self.receive(now, &sender, message, &mut outputs),
            Input::Event(ticket, event) => self.event(now, ticket, event, &mut outputs),
            Input::Verdict(ticket, verdict) => self.verdict(now, ticket, verdict, &mut outputs),
            Input::Engine { incarnation, prefill } => {
                self.prefill = prefill;
                self.engine(now, incarnation, &mut outputs);
            }
            Input::Unreachable => self.unreachable(now, &mut outputs),
            Input::Out(out) => self.set_out(now, out, &mut outputs),
            Input::Limit(limit) => self.set_limit(now, limit),
            Input::Suspects(suspects) => self.suspects = suspects,
            Input::Leave => self.leave(now, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
        }
        self.admit(now, &mut outputs);
        self.drain(&mut outputs);
        outputs
    }

    /// How loaded the backend server is.
    pub fn report(&self, now: Duration) -> Report {
        Report {
            running: self.active.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.most(now),
            prefill: self.prefill,
            first_token: self.queue.wait(now, wire::Class::Interactive, ""),
            cold: self.is_cold(now),
            leaving: self.leaving || self.out,
        }
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The state as JSON, with at most a hundred attempts.
    pub fn dump(&self, now: Duration) -> serde_json::Value {
        let attempts: Vec<_> = self
            .attempts
            .values()
            .take(DUMP_LIMIT)
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
            "limit": self.most(now),
            "cold": self.is_cold(now),
            "running": self.active.len(),
            "queued": self.queue.len(),
            "engine_incarnation": self.engine,
            "suspects": self.suspects.len(),
            "counters": self.counters,
            "attempts_kept": self.attempts.len(),
            "attempts": attempts,
        })
    }

    /// The attempt of a ticket.
    fn attempt(&mut self, ticket: u64) -> Option<&mut Attempt> {
        self.attempts.get_mut(self.tickets.get(&ticket)?)
    }

    /// Frees the place of an attempt that was handed over.
    fn release(&mut self, now: Duration, ticket: u64, ok: bool) {
        let Some(position) = self.active.iter().position(|other| *other == ticket) else { return };
        let running = self.active.len() as u32;
        self.active.swap_remove(position);
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get(id)) else {
            return;
        };
        match attempt.stage {
            Stage::Checking if attempt.first.is_none() => {
                let waited = now.saturating_sub(attempt.started);
                self.limit.complete(now, running, waited, false);
            }
            Stage::Running if ok => {
                self.queue.observe(now, now.saturating_sub(attempt.started));
            }
            // A cancelled attempt says nothing of the server's health.
            _ => {}
        }
    }

    /// Most requests that may run at once now. Only engines, which start cold,
    /// are judged by their latency; the work of plain services differs too
    /// much from request to request.
    fn most(&self, now: Duration) -> u32 {
        if self.options.cold { self.limit.current(now) } else { self.options.limit }
    }

    /// Whether one more request may start now.
    fn has_room(&self, now: Duration) -> bool {
        let running = self.active.len() as u32;
        if !self.options.cold {
            return running < self.options.limit;
        }
        let waits = |ticket: &&u64| {
            let attempt = self.tickets.get(*ticket).and_then(|id| self.attempts.get(id));
            attempt.is_some_and(|attempt| attempt.first.is_none())
        };
        let pending = self.active.iter().filter(waits).count() as u32;
        self.limit.admits(now, running, pending)
    }

    fn is_cold(&self, now: Duration) -> bool {
        self.options.cold && self.limit.is_cold(now)
    }

    fn set_out(&mut self, now: Duration, out: bool, outputs: &mut Vec<Output>) {
        if out != self.out {
            self.out = out;
            self.tell_watchers(now, outputs);
        }
    }

    /// Tells all entries at once whether work is taken here.
    fn tell_watchers(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.watchers.retain(|_, last| now.saturating_sub(*last) < WATCHER_LIMIT);
        let report = Message::Report(self.report(now));
        let links = self.watchers.keys().cloned();
        outputs.extend(links.map(|link| Output::Send(link, report.clone())));
    }

    /// Takes a new limit into force; an engine proves itself again under it.
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
        self.release(now, ticket, false);
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        self.counters.refused += 1;
        attempt.stage = Stage::Done;
        attempt.ended = now;
        let last = refusal(&id, reason, execution, retry_after);
        attempt.last = Some(last.clone());
        outputs.push(Output::Send(attempt.link.clone(), last));
        // A trial that ended without a crash leaves room for the next one.
        if std::mem::take(&mut attempt.tried) && reason != Reason::Crashed {
            outputs.push(Output::Release(attempt.dispatch.fingerprint));
        }
    }

    fn drain(&mut self, outputs: &mut Vec<Output>) {
        let idle = self.active.is_empty() && self.queue.is_empty() && self.alone.is_empty();
        let sent = self.attempts.values().all(|attempt| attempt.stage == Stage::Done);
        if self.leaving && !self.drained && idle && sent {
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
