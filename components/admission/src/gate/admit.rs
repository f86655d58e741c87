//! What starts, what waits, and what time brings.

use std::time::Duration;

use wire::{Cancel, Execution, Reason};

use super::verdict::claim;
use super::{Gate, Output, RETRY_AFTER, Standing};
use crate::attempt::{Attempt, Stage};

/// How long a finished attempt is kept after its deadline, unless acknowledged.
const KEEP: Duration = Duration::from_secs(30);
/// How long a broken attempt waits to learn whether the server crashed.
const CHECK_LIMIT: Duration = Duration::from_secs(1);

impl Gate {
    pub(super) fn leave(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.leaving = true;
        self.tell_watchers(now, outputs);
        while let Some(item) = self.queue.pop(now) {
            self.refuse(
                now,
                item.ticket,
                Reason::Leaving,
                Execution::NotRun,
                Some(RETRY_AFTER),
                outputs,
            );
        }
        for ticket in std::mem::take(&mut self.alone) {
            self.refuse(
                now,
                ticket,
                Reason::Leaving,
                Execution::NotRun,
                Some(RETRY_AFTER),
                outputs,
            );
        }
    }

    pub(super) fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        for item in self.queue.expire(now) {
            self.refuse(
                now,
                item.ticket,
                Reason::DeadlineExceeded,
                Execution::NotRun,
                Some(RETRY_AFTER),
                outputs,
            );
        }
        self.expire_alone(now, outputs);
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

    fn expire_alone(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let late = |ticket: &u64| {
            let attempt = self.tickets.get(ticket).and_then(|id| self.attempts.get(id));
            attempt.is_some_and(|attempt| attempt.deadline <= now)
        };
        let late: Vec<u64> = self.alone.iter().copied().filter(late).collect();
        self.alone.retain(|ticket| !late.contains(ticket));
        for ticket in late {
            self.refuse(
                now,
                ticket,
                Reason::DeadlineExceeded,
                Execution::NotRun,
                Some(RETRY_AFTER),
                outputs,
            );
        }
    }

    /// Starts what the limit has room for.
    pub(super) fn admit(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.out {
            self.refuse_waiting(now, outputs);
            return;
        }
        if let Some(ticket) = self.alone.front().copied() {
            // A trial needs a server whose incarnation is known, or its crash
            // could not be told from a break.
            if self.active.is_empty() && self.engine.is_some() {
                self.alone.pop_front();
                self.start_alone(now, ticket, outputs);
            }
            return;
        }
        if self.runs_alone() {
            return;
        }
        while self.has_room(now) {
            let running = self.active.len() as u32;
            let most = self.most(now);
            let Some(item) = self.queue.next(now, running, most) else { return };
            self.start(now, item.ticket, outputs);
        }
    }

    pub(super) fn runs_alone(&self) -> bool {
        let Some(ticket) = self.active.first() else { return false };
        let attempt = self.tickets.get(ticket).and_then(|id| self.attempts.get(id));
        attempt.is_some_and(|attempt| self.must_run_alone(attempt))
    }

    /// Operators took the server out: what has not begun goes elsewhere.
    pub(super) fn refuse_waiting(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut waiting: Vec<u64> = std::mem::take(&mut self.alone).into();
        while let Some(item) = self.queue.pop(now) {
            waiting.push(item.ticket);
        }
        for ticket in waiting {
            self.refuse(now, ticket, Reason::Out, Execution::NotRun, Some(RETRY_AFTER), outputs);
        }
    }

    fn standing(&mut self, ticket: u64) -> Option<Standing> {
        let fingerprint = self.attempt(ticket)?.dispatch.fingerprint;
        self.suspects.get(&fingerprint).copied()
    }

    pub(super) fn start(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        // Evidence may have come while the attempt waited.
        match self.standing(ticket) {
            Some(Standing::Condemned) => {
                self.refuse(now, ticket, Reason::Poison, Execution::NotRun, None, outputs);
                return;
            }
            Some(Standing::Alone) => {
                self.alone.push_back(ticket);
                return;
            }
            _ => {}
        }
        self.active.push(ticket);
        let Some(attempt) = self.attempt(ticket) else { return };
        match claim(attempt) {
            Some(output) => {
                attempt.stage = Stage::Claiming;
                outputs.push(output);
            }
            None => self.run(now, ticket, outputs),
        }
    }

    pub(super) fn start_alone(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.attempt(ticket) else { return };
        if attempt.deadline <= now {
            self.refuse(
                now,
                ticket,
                Reason::DeadlineExceeded,
                Execution::NotRun,
                Some(RETRY_AFTER),
                outputs,
            );
            return;
        }
        attempt.stage = Stage::Claiming;
        attempt.trial = true;
        let fingerprint = attempt.dispatch.fingerprint;
        self.active.push(ticket);
        outputs.push(Output::Trial { ticket, fingerprint });
    }
}
