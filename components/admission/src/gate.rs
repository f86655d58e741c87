//! The only door to a backend server: admits or refuses work, and sends the
//! answers back.
//!
//! An attempt goes through filters in this order: known already, cancelled,
//! leaving or out, suspect, queue, limit, claim, hand-over. Only an attempt
//! that was never handed over is refused as not run.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use tables::Name;
use wire::{
    Cancel, Dispatch, Head, Message, Outcome, Ran, Reason, Refusal, Report, Resend, Sender,
};

use crate::attempt::{Attempt, Stage};
use crate::limit::Limit;
use crate::queue::{Item, Queue};
use crate::seen::Seen;

/// How long a finished attempt is kept after its deadline, unless acknowledged.
const KEEP: Duration = Duration::from_secs(30);
/// How long a broken attempt waits to learn whether the server crashed.
const CHECK_LIMIT: Duration = Duration::from_secs(1);
/// Longest time after which a caller is told to come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Tokens that one kilobyte of a request's body stands for.
const TOKENS_PER_KB: u32 = 256;
/// Most attempts that wait.
const QUEUE_LIMIT: usize = 256;
/// Most attempts in a state dump.
const DUMP_LIMIT: usize = 100;

/// Whether a request may run, by the evidence of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
        ran: Ran,
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
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
    counters: Counters,
}

impl Gate {
    /// A gate before a server about which nothing is known.
    pub fn new(now: Duration, options: Options) -> Gate {
        let mut limit = Limit::new(now, options.limit);
        if options.cold {
            limit.restart(now);
        }
        Gate {
            options,
            limit,
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
            Input::Out(out) => self.out = out,
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
            limit: self.limit.current(now),
            prefill: self.prefill,
            first_token: self.queue.wait(now, wire::Class::Interactive, ""),
            cold: self.limit.is_cold(now),
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
            "limit": self.limit.current(now),
            "cold": self.limit.is_cold(now),
            "running": self.active.len(),
            "queued": self.queue.len(),
            "engine_incarnation": self.engine,
            "suspects": self.suspects.len(),
            "counters": self.counters,
            "attempts_kept": self.attempts.len(),
            "attempts": attempts,
        })
    }

    fn receive(
        &mut self,
        now: Duration,
        sender: &Sender,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Dispatch(dispatch) => self.dispatch(now, sender, dispatch, outputs),
            Message::Cancel(cancel) => self.cancel(now, cancel, outputs),
            Message::Resend(resend) => self.resend(now, sender, resend, outputs),
            Message::Ack(cancel) => self.forget(&cancel),
            Message::Heartbeat => {
                let report = Message::Report(self.report(now));
                outputs.push(Output::Send(sender.link.clone(), report));
            }
            _ => {}
        }
    }

    fn dispatch(
        &mut self,
        now: Duration,
        sender: &Sender,
        dispatch: Dispatch,
        outputs: &mut Vec<Output>,
    ) {
        let id = Cancel { id: dispatch.id, attempt: dispatch.attempt };
        if self.attempts.contains_key(&id) {
            return;
        }
        self.counters.dispatched += 1;
        if let Some((reason, retry_after)) = self.refuse_first(now, &id, &dispatch) {
            self.counters.refused += 1;
            let refusal = refusal(&id, reason, Ran::NotRun, retry_after);
            outputs.push(Output::Send(sender.link.clone(), refusal));
            return;
        }
        let ticket = self.next;
        self.next += 1;
        let attempt = Attempt::new(now, ticket, sender.link.clone(), dispatch);
        if self.must_run_alone(&attempt) {
            self.alone.push_back(ticket);
        } else if self.queue.push(now, item(&attempt)).is_err() {
            self.counters.refused += 1;
            let refusal = refusal(&id, Reason::Busy, Ran::NotRun, Some(RETRY_AFTER));
            outputs.push(Output::Send(sender.link.clone(), refusal));
            return;
        }
        self.tickets.insert(ticket, id);
        self.attempts.insert(id, attempt);
    }

    /// The reason to refuse an attempt before it waits for anything.
    fn refuse_first(
        &self,
        now: Duration,
        id: &Cancel,
        dispatch: &Dispatch,
    ) -> Option<(Reason, Option<Duration>)> {
        let other = dispatch.incarnation != 0 && dispatch.incarnation != self.options.incarnation;
        if other {
            return Some((Reason::Incarnation, None));
        }
        if self.cancelled.contains(id) {
            return Some((Reason::Cancelled, None));
        }
        if self.leaving {
            return Some((Reason::Leaving, Some(RETRY_AFTER)));
        }
        if self.out {
            return Some((Reason::Out, Some(RETRY_AFTER)));
        }
        if self.suspects.get(&dispatch.fingerprint) == Some(&Standing::Condemned) {
            return Some((Reason::Poison, None));
        }
        let wait = self.queue.wait(now, dispatch.class, &dispatch.account);
        let full = self.active.len() as u32 >= self.limit.current(now);
        if full && wait >= dispatch.remaining {
            let reason = if self.limit.is_cold(now) { Reason::Cold } else { Reason::Late };
            return Some((reason, Some(wait.max(RETRY_AFTER))));
        }
        None
    }

    fn must_run_alone(&self, attempt: &Attempt) -> bool {
        let known = self.suspects.get(&attempt.dispatch.fingerprint);
        attempt.dispatch.alone || known == Some(&Standing::Alone)
    }

    fn cancel(&mut self, now: Duration, cancel: Cancel, outputs: &mut Vec<Output>) {
        self.cancelled.insert(now, cancel);
        let Some(attempt) = self.attempts.get(&cancel) else { return };
        let (ticket, stage) = (attempt.ticket, attempt.stage);
        match stage {
            Stage::Queued => {
                self.queue.remove(ticket);
                self.alone.retain(|other| *other != ticket);
                self.refuse(now, ticket, Reason::Cancelled, Ran::NotRun, None, outputs);
            }
            Stage::Claiming => {
                outputs.push(Output::Abandon(ticket));
                self.refuse(now, ticket, Reason::Cancelled, Ran::NotRun, None, outputs);
            }
            // Work that must not run twice goes on, so that its answer can be
            // recorded for the caller's next try.
            Stage::Running if !attempt.dispatch.idempotent => {}
            Stage::Running => {
                outputs.push(Output::Stop(ticket));
                self.refuse(now, ticket, Reason::Cancelled, Ran::MayHaveRun, None, outputs);
            }
            Stage::Checking | Stage::Done => {}
        }
    }

    fn resend(
        &mut self,
        now: Duration,
        sender: &Sender,
        resend: Resend,
        outputs: &mut Vec<Output>,
    ) {
        let id = Cancel { id: resend.id, attempt: resend.attempt };
        let Some(attempt) = self.attempts.get(&id) else {
            // It never arrived. From now on it is refused if it still does,
            // so that the word stays true.
            self.cancelled.insert(now, id);
            let refusal = refusal(&id, Reason::Cancelled, Ran::NotRun, None);
            outputs.push(Output::Send(sender.link.clone(), refusal));
            return;
        };
        let messages = attempt.replay(&resend);
        if messages.is_empty() {
            let report = Message::Report(self.report(now));
            outputs.push(Output::Send(sender.link.clone(), report));
        }
        outputs
            .extend(messages.into_iter().map(|message| Output::Send(sender.link.clone(), message)));
    }

    /// Forgets an attempt whose answer has arrived. A late copy of it is
    /// refused by the cancelled set.
    fn forget(&mut self, id: &Cancel) {
        if self.attempts.get(id).is_some_and(|attempt| attempt.stage == Stage::Done) {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &Cancel) {
        if let Some(attempt) = self.attempts.remove(id) {
            self.tickets.remove(&attempt.ticket);
            self.cancelled.insert(attempt.ended, *id);
        }
    }

    fn event(&mut self, now: Duration, ticket: u64, event: Event, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        if attempt.stage != Stage::Running {
            return;
        }
        let link = attempt.link.clone();
        match event {
            Event::Head { status, headers } => {
                let (id, number) = (attempt.dispatch.id, attempt.dispatch.attempt);
                let head = Head { id, attempt: number, status, headers };
                attempt.head = Some(head.clone());
                outputs.push(Output::Send(link, Message::Head(head)));
            }
            Event::Data { events, data } => {
                attempt.first.get_or_insert(now);
                let chunk = attempt.extend(events, data);
                outputs.push(Output::Send(link, Message::Chunk(chunk)));
            }
            Event::Done => self.done(now, ticket, outputs),
            Event::Failed { handed: false } => {
                if has_claim(&attempt.dispatch) {
                    outputs.push(Output::Abandon(ticket));
                }
                self.release(now, ticket, false);
                self.refuse(now, ticket, Reason::Unreachable, Ran::NotRun, None, outputs);
                outputs.push(Output::Check);
            }
            Event::Failed { handed: true } => {
                attempt.stage = Stage::Checking;
                attempt.ended = now;
                self.counters.broken += 1;
                outputs.push(Output::Check);
            }
        }
    }

    fn done(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        self.release(now, ticket, true);
        self.counters.complete += 1;
        let report = Message::Report(self.report(now));
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        attempt.stage = Stage::Done;
        attempt.ended = now;
        let end = attempt.end(Outcome::Complete);
        attempt.last = Some(end.clone());
        outputs.push(Output::Send(attempt.link.clone(), end));
        outputs.push(Output::Send(attempt.link.clone(), report));
        if has_claim(&attempt.dispatch) {
            outputs.push(finish(attempt));
        }
        if self.suspects.contains_key(&attempt.dispatch.fingerprint) {
            outputs.push(Output::Clear(attempt.dispatch.fingerprint));
        }
    }

    /// Frees the place of an attempt that was handed over.
    fn release(&mut self, now: Duration, ticket: u64, ok: bool) {
        let Some(position) = self.active.iter().position(|other| *other == ticket) else { return };
        let running = self.active.len() as u32;
        self.active.swap_remove(position);
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get(id)) else {
            return;
        };
        // A cancelled attempt says nothing of the server's health.
        if !matches!(attempt.stage, Stage::Running | Stage::Checking)
            || (!ok && attempt.stage == Stage::Running)
        {
            return;
        }
        let first = attempt.first.unwrap_or(now).saturating_sub(attempt.started);
        self.limit.complete(now, running, first, ok);
        if ok {
            self.queue.observe(now, now.saturating_sub(attempt.started));
        }
    }

    fn verdict(&mut self, now: Duration, ticket: u64, verdict: Verdict, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        if attempt.stage != Stage::Claiming {
            return;
        }
        match verdict {
            Verdict::Grant if attempt.deadline <= now => {
                outputs.push(Output::Abandon(ticket));
                self.release(now, ticket, false);
                self.refuse(now, ticket, Reason::Late, Ran::NotRun, Some(RETRY_AFTER), outputs);
            }
            Verdict::Grant => self.granted(now, ticket, outputs),
            Verdict::Answer { status, headers, body } => {
                self.release(now, ticket, true);
                self.answer(now, ticket, status, headers, body, outputs);
            }
            Verdict::Refuse { reason, ran, retry_after } => {
                self.release(now, ticket, false);
                self.refuse(now, ticket, reason, ran, retry_after, outputs);
            }
        }
    }

    /// Sends the recorded answer of an earlier attempt.
    fn answer(
        &mut self,
        now: Duration,
        ticket: u64,
        status: u16,
        headers: Vec<(Name, Name)>,
        body: Bytes,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        let (id, number) = (attempt.dispatch.id, attempt.dispatch.attempt);
        attempt.head = Some(Head { id, attempt: number, status, headers });
        attempt.extend(0, body);
        attempt.stage = Stage::Done;
        attempt.ended = now;
        attempt.last = Some(attempt.end(Outcome::Complete));
        let whole = attempt.replay(&Resend { id, attempt: number, from: 0 });
        let link = attempt.link.clone();
        outputs.extend(whole.into_iter().map(|message| Output::Send(link.clone(), message)));
    }

    fn run(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        attempt.stage = Stage::Running;
        attempt.started = now;
        self.counters.run += 1;
        if self.out {
            self.counters.run_while_out += 1;
        }
        let mut dispatch = attempt.dispatch.clone();
        dispatch.remaining = attempt.deadline.saturating_sub(now);
        outputs.push(Output::Run(ticket, dispatch));
    }

    fn refuse(
        &mut self,
        now: Duration,
        ticket: u64,
        reason: Reason,
        ran: Ran,
        retry_after: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        self.release(now, ticket, false);
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        self.counters.refused += 1;
        attempt.stage = Stage::Done;
        attempt.ended = now;
        let last = refusal(&id, reason, ran, retry_after);
        attempt.last = Some(last.clone());
        outputs.push(Output::Send(attempt.link.clone(), last));
    }

    fn engine(&mut self, now: Duration, incarnation: u64, outputs: &mut Vec<Output>) {
        let known = self.engine.replace(incarnation);
        let restarted = known.is_some_and(|known| known != incarnation);
        if restarted {
            self.crashed(now, outputs);
        } else {
            self.settle(now, Reason::Broken, outputs);
        }
    }

    fn unreachable(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.engine.take().is_some() {
            self.crashed(now, outputs);
        } else {
            self.settle(now, Reason::Broken, outputs);
        }
    }

    fn crashed(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.counters.crashes += 1;
        if self.options.cold {
            self.limit.restart(now);
        }
        let mut blamed = Vec::new();
        for attempt in self.attempts.values() {
            if attempt.stage == Stage::Checking {
                blamed.push(attempt.dispatch.fingerprint);
            }
        }
        blamed.sort_unstable();
        blamed.dedup();
        if !blamed.is_empty() {
            outputs.push(Output::Crash(blamed));
        }
        self.settle(now, Reason::Crashed, outputs);
    }

    /// Ends the attempts that were broken off.
    fn settle(&mut self, now: Duration, reason: Reason, outputs: &mut Vec<Output>) {
        let mut broken: Vec<u64> = self
            .attempts
            .values()
            .filter(|attempt| attempt.stage == Stage::Checking)
            .map(|attempt| attempt.ticket)
            .collect();
        broken.sort_unstable();
        for ticket in broken {
            self.settle_one(now, ticket, reason, outputs);
        }
    }

    fn settle_one(
        &mut self,
        now: Duration,
        ticket: u64,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        self.release(now, ticket, false);
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        if has_claim(&attempt.dispatch) {
            outputs.push(Output::Lost(ticket));
        }
        if attempt.head.is_some() && reason != Reason::Crashed {
            attempt.stage = Stage::Done;
            attempt.ended = now;
            let end = attempt.end(Outcome::Broken);
            attempt.last = Some(end.clone());
            outputs.push(Output::Send(attempt.link.clone(), end));
            return;
        }
        self.refuse(now, ticket, reason, Ran::MayHaveRun, None, outputs);
    }

    fn leave(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.leaving = true;
        while let Some(item) = self.queue.pop(now) {
            self.refuse(now, item.ticket, Reason::Leaving, Ran::NotRun, Some(RETRY_AFTER), outputs);
        }
        for ticket in std::mem::take(&mut self.alone) {
            self.refuse(now, ticket, Reason::Leaving, Ran::NotRun, Some(RETRY_AFTER), outputs);
        }
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        for item in self.queue.expire(now) {
            self.refuse(now, item.ticket, Reason::Late, Ran::NotRun, Some(RETRY_AFTER), outputs);
        }
        let overdue = |attempt: &&Attempt| {
            attempt.stage == Stage::Checking && now.saturating_sub(attempt.ended) > CHECK_LIMIT
        };
        let checking: Vec<u64> =
            self.attempts.values().filter(overdue).map(|attempt| attempt.ticket).collect();
        for ticket in checking {
            self.settle_one(now, ticket, Reason::Broken, outputs);
        }
        let old = |attempt: &Attempt| {
            attempt.stage == Stage::Done && now > attempt.deadline.max(attempt.ended) + KEEP
        };
        let done: Vec<Cancel> =
            self.attempts.iter().filter(|(_, attempt)| old(attempt)).map(|(id, _)| *id).collect();
        for id in done {
            self.remove(&id);
        }
    }

    /// Starts what the limit has room for.
    fn admit(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.out {
            self.refuse_waiting(now, outputs);
            return;
        }
        if let Some(ticket) = self.alone.front().copied() {
            if self.active.is_empty() {
                self.alone.pop_front();
                self.start_alone(now, ticket, outputs);
            }
            return;
        }
        if self.runs_alone() {
            return;
        }
        while (self.active.len() as u32) < self.limit.current(now) {
            let Some(item) = self.queue.pop(now) else { return };
            self.start(now, item.ticket, outputs);
        }
    }

    fn runs_alone(&self) -> bool {
        let Some(ticket) = self.active.first() else { return false };
        let attempt = self.tickets.get(ticket).and_then(|id| self.attempts.get(id));
        attempt.is_some_and(|attempt| self.must_run_alone(attempt))
    }

    /// Operators took the server out: what has not begun goes elsewhere.
    fn refuse_waiting(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut waiting: Vec<u64> = std::mem::take(&mut self.alone).into();
        while let Some(item) = self.queue.pop(now) {
            waiting.push(item.ticket);
        }
        for ticket in waiting {
            self.refuse(now, ticket, Reason::Out, Ran::NotRun, Some(RETRY_AFTER), outputs);
        }
    }

    fn start(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        self.active.push(ticket);
        match claim(attempt) {
            Some(output) => {
                attempt.stage = Stage::Claiming;
                outputs.push(output);
            }
            None => self.run(now, ticket, outputs),
        }
    }

    /// Goes on after a trial or a claim was recorded: a suspect that must not
    /// run twice needs its claim as well.
    fn granted(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        let was_trial = std::mem::take(&mut attempt.trial);
        match claim(attempt).filter(|_| was_trial) {
            Some(output) => outputs.push(output),
            None => self.run(now, ticket, outputs),
        }
    }

    fn start_alone(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.tickets.get(&ticket).and_then(|id| self.attempts.get_mut(id))
        else {
            return;
        };
        if attempt.deadline <= now {
            self.refuse(now, ticket, Reason::Late, Ran::NotRun, Some(RETRY_AFTER), outputs);
            return;
        }
        attempt.stage = Stage::Claiming;
        attempt.trial = true;
        self.active.push(ticket);
        let fingerprint = attempt.dispatch.fingerprint;
        outputs.push(Output::Trial { ticket, fingerprint });
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

fn claim(attempt: &Attempt) -> Option<Output> {
    Some(Output::Claim {
        ticket: attempt.ticket,
        key: claim_key(&attempt.dispatch)?,
        fingerprint: attempt.dispatch.fingerprint,
        deadline: attempt.deadline,
    })
}

fn item(attempt: &Attempt) -> Item {
    let dispatch = &attempt.dispatch;
    Item {
        ticket: attempt.ticket,
        account: dispatch.account.clone(),
        weight: dispatch.weight,
        class: dispatch.class,
        deadline: attempt.deadline,
        cost: 1 + dispatch.body.len() as u32 * TOKENS_PER_KB / 1024,
    }
}

fn has_claim(dispatch: &Dispatch) -> bool {
    !dispatch.idempotent
}

/// The key to claim, within the account; a request without one is claimed by
/// its own id, so that no copy of it runs twice.
fn claim_key(dispatch: &Dispatch) -> Option<Name> {
    if dispatch.idempotent {
        return None;
    }
    let key = match &dispatch.key {
        Some(key) => format!("{}/key/{key}", dispatch.account),
        None => format!("{}/id/{}", dispatch.account, dispatch.id),
    };
    Some(key.into())
}

fn finish(attempt: &Attempt) -> Output {
    let head = attempt.head.as_ref();
    let body: Vec<u8> =
        attempt.chunks.iter().flat_map(|chunk| chunk.data.iter().copied()).collect();
    Output::Finish {
        ticket: attempt.ticket,
        status: head.map_or(200, |head| head.status),
        headers: head.map(|head| head.headers.clone()).unwrap_or_default(),
        body: body.into(),
    }
}

fn refusal(id: &Cancel, reason: Reason, ran: Ran, retry_after: Option<Duration>) -> Message {
    Message::Refusal(Refusal { id: id.id, attempt: id.attempt, reason, ran, retry_after })
}
