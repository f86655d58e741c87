//! Handling of messages from entries.

use std::time::Duration;

use wire::{Cancel, Dispatch, Execution, Message, Reason, Resend, Sender};

use super::{Gate, Output, RETRY_AFTER, Standing, refusal};
use crate::attempt::{Attempt, Stage};
use crate::queue::Item;

/// Prompt tokens estimated per KiB of a request's body.
const TOKENS_PER_KIB: u32 = 256;

impl Gate {
    pub(super) fn receive(
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
            Message::Ack(cancel) => self.acknowledge(&cancel),
            Message::Heartbeat => {
                self.subscribers.insert(sender.link.clone(), now);
                let report = Message::Report(self.report(now));
                outputs.push(Output::Send(sender.link.clone(), report));
            }
            _ => {}
        }
    }

    pub(super) fn dispatch(
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
        if let Some((reason, retry_after)) = self.refusal_reason(now, &id, &dispatch) {
            self.refuse_permanently(now, sender, id, reason, retry_after, outputs);
            return;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let attempt = Attempt::new(now, ticket, sender.link.clone(), dispatch);
        if self.is_exclusive(&attempt) {
            self.exclusive_queue.push_back(ticket);
        } else if self.queue.push(now, item(&attempt)).is_err() {
            self.refuse_permanently(now, sender, id, Reason::Busy, Some(RETRY_AFTER), outputs);
            return;
        }
        self.tickets.insert(ticket, id);
        self.attempts.insert(id, attempt);
    }

    /// Refuses an attempt that was not queued. Later copies of it are refused as
    /// well, so that the reported "not run" remains correct.
    fn refuse_permanently(
        &mut self,
        now: Duration,
        sender: &Sender,
        id: Cancel,
        reason: Reason,
        retry_after: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        self.counters.refused += 1;
        self.tombstones.insert(now, id);
        let refusal = refusal(&id, reason, Execution::NotRun, retry_after);
        outputs.push(Output::Send(sender.link.clone(), refusal));
    }

    /// Returns why an attempt must be refused before it is queued, if so.
    pub(super) fn refusal_reason(
        &self,
        now: Duration,
        id: &Cancel,
        dispatch: &Dispatch,
    ) -> Option<(Reason, Option<Duration>)> {
        let wrong_incarnation =
            dispatch.incarnation != 0 && dispatch.incarnation != self.options.incarnation;
        if wrong_incarnation {
            return Some((Reason::Incarnation, None));
        }
        if self.tombstones.contains(id) {
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
        let wait = self.queue.estimated_wait(now, dispatch.class, &dispatch.account);
        let saturated = !self.has_capacity(now);
        if saturated && wait >= dispatch.remaining {
            let reason = if self.is_cold(now) { Reason::Cold } else { Reason::DeadlineExceeded };
            return Some((reason, Some(wait.max(RETRY_AFTER))));
        }
        None
    }

    pub(super) fn is_exclusive(&self, attempt: &Attempt) -> bool {
        let standing = self.suspects.get(&attempt.dispatch.fingerprint);
        attempt.dispatch.exclusive || standing == Some(&Standing::Exclusive)
    }

    pub(super) fn cancel(&mut self, now: Duration, cancel: Cancel, outputs: &mut Vec<Output>) {
        self.tombstones.insert(now, cancel);
        let Some(attempt) = self.attempts.get(&cancel) else { return };
        let (ticket, stage) = (attempt.ticket, attempt.stage);
        match stage {
            Stage::Queued => {
                self.queue.remove(ticket);
                self.exclusive_queue.retain(|other| *other != ticket);
                self.refuse(now, ticket, Reason::Cancelled, Execution::NotRun, None, outputs);
            }
            Stage::Claiming => {
                outputs.push(Output::Abandon(ticket));
                self.refuse(now, ticket, Reason::Cancelled, Execution::NotRun, None, outputs);
            }
            // A request that must not run twice continues, so that its answer is
            // recorded for the caller's retry.
            Stage::Running if !attempt.dispatch.idempotent => {}
            Stage::Running => {
                outputs.push(Output::Stop(ticket));
                self.refuse(now, ticket, Reason::Cancelled, Execution::MayHaveRun, None, outputs);
            }
            Stage::Checking | Stage::Done => {}
        }
    }

    pub(super) fn resend(
        &mut self,
        now: Duration,
        sender: &Sender,
        resend: Resend,
        outputs: &mut Vec<Output>,
    ) {
        let id = Cancel { id: resend.id, attempt: resend.attempt };
        let Some(attempt) = self.attempts.get(&id) else {
            // The attempt is unknown. It is refused if it arrives later, so that
            // the reported "not run" remains correct.
            self.tombstones.insert(now, id);
            let refusal = refusal(&id, Reason::Cancelled, Execution::NotRun, None);
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

    /// Removes an attempt whose answer was received by the entry. Later copies of
    /// it are refused by its tombstone.
    pub(super) fn acknowledge(&mut self, id: &Cancel) {
        if self.attempts.get(id).is_some_and(|attempt| attempt.stage == Stage::Done) {
            self.remove(id);
        }
    }

    pub(super) fn remove(&mut self, id: &Cancel) {
        if let Some(attempt) = self.attempts.remove(id) {
            self.tickets.remove(&attempt.ticket);
            self.answer_bytes = self.attempts.values().map(|attempt| attempt.size).sum();
            self.tombstones.insert(attempt.ended_at, *id);
        }
    }
}

fn item(attempt: &Attempt) -> Item {
    let dispatch = &attempt.dispatch;
    Item {
        ticket: attempt.ticket,
        account: dispatch.account.clone(),
        weight: dispatch.weight,
        class: dispatch.class,
        deadline: attempt.deadline,
        cost: 1 + dispatch.body.len() as u32 * TOKENS_PER_KIB / 1024,
    }
}
