//! Start of queued attempts, deadlines, and refusal of waiting attempts.

use std::time::Duration;

use wire::{Cancel, Execution, Reason};

use super::verdict::claim;
use super::{Gate, Output, RETRY_AFTER, Standing};
use crate::attempt::{Attempt, Stage};

/// Retention of a finished attempt after its deadline, unless acknowledged.
const RETENTION: Duration = Duration::from_secs(30);
/// Time limit of the check whether an interrupted attempt crashed the backend
/// server.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl Gate {
    pub(super) fn start_leaving(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.leaving = true;
        self.notify_subscribers(now, outputs);
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
        for ticket in std::mem::take(&mut self.exclusive_queue) {
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
        self.expire_exclusive(now, outputs);
        let overdue = |attempt: &&Attempt| {
            attempt.stage == Stage::Checking && now.saturating_sub(attempt.ended_at) > CHECK_TIMEOUT
        };
        let timed_out: Vec<u64> =
            self.attempts.values().filter(overdue).map(|attempt| attempt.ticket).collect();
        for ticket in timed_out {
            self.resolve_attempt(now, ticket, Reason::Broken, outputs);
        }
        let outdated = |attempt: &Attempt| {
            attempt.stage == Stage::Done && now > attempt.deadline.max(attempt.ended_at) + RETENTION
        };
        let done: Vec<Cancel> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| outdated(attempt))
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.remove(&id);
        }
    }

    fn expire_exclusive(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let expired = |ticket: &u64| {
            let attempt = self.tickets.get(ticket).and_then(|id| self.attempts.get(id));
            attempt.is_some_and(|attempt| attempt.deadline <= now)
        };
        let expired: Vec<u64> = self.exclusive_queue.iter().copied().filter(expired).collect();
        self.exclusive_queue.retain(|ticket| !expired.contains(ticket));
        for ticket in expired {
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

    /// Starts waiting attempts as far as the concurrency limit permits.
    pub(super) fn admit(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.out {
            self.refuse_waiting(now, outputs);
            return;
        }
        if let Some(ticket) = self.exclusive_queue.front().copied() {
            // Without a known incarnation, a crash during the trial could not be
            // distinguished from a broken connection.
            if self.active.is_empty() && self.engine_incarnation.is_some() {
                self.exclusive_queue.pop_front();
                self.start_trial(now, ticket, outputs);
            }
            return;
        }
        if self.is_running_exclusive() {
            return;
        }
        while self.has_capacity(now) {
            let running = self.active.len() as u32;
            let limit = self.concurrency_limit(now);
            let Some(item) = self.queue.next(now, running, limit) else { return };
            self.start(now, item.ticket, outputs);
        }
    }

    pub(super) fn is_running_exclusive(&self) -> bool {
        let Some(ticket) = self.active.first() else { return false };
        let attempt = self.tickets.get(ticket).and_then(|id| self.attempts.get(id));
        attempt.is_some_and(|attempt| self.is_exclusive(attempt))
    }

    /// Refuses all waiting attempts, so that they are sent to other backend servers
    /// while operators have this one out of service.
    pub(super) fn refuse_waiting(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut waiting: Vec<u64> = std::mem::take(&mut self.exclusive_queue).into();
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
        // The request may have become a suspect while the attempt waited.
        match self.standing(ticket) {
            Some(Standing::Condemned) => {
                self.refuse(now, ticket, Reason::Poison, Execution::NotRun, None, outputs);
                return;
            }
            Some(Standing::Exclusive) => {
                self.exclusive_queue.push_back(ticket);
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

    pub(super) fn start_trial(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
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
        attempt.trial_pending = true;
        let fingerprint = attempt.dispatch.fingerprint;
        self.active.push(ticket);
        outputs.push(Output::Trial { ticket, fingerprint });
    }
}
