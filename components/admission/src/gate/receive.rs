//! What entries send: dispatches, cancels and questions.

use std::time::Duration;

use wire::{Cancel, Dispatch, Execution, Message, Reason, Resend, Sender};

use super::{Gate, Output, RETRY_AFTER, Standing, refusal};
use crate::attempt::{Attempt, Stage};
use crate::queue::Item;

/// Tokens that one kilobyte of a request's body stands for.
const TOKENS_PER_KB: u32 = 256;

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
            Message::Ack(cancel) => self.forget(&cancel),
            Message::Heartbeat => {
                self.watchers.insert(sender.link.clone(), now);
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
        if let Some((reason, retry_after)) = self.refuse_first(now, &id, &dispatch) {
            self.refuse_for_good(now, sender, id, reason, retry_after, outputs);
            return;
        }
        let ticket = self.next;
        self.next += 1;
        let attempt = Attempt::new(now, ticket, sender.link.clone(), dispatch);
        if self.must_run_alone(&attempt) {
            self.alone.push_back(ticket);
        } else if self.queue.push(now, item(&attempt)).is_err() {
            self.refuse_for_good(now, sender, id, Reason::Busy, Some(RETRY_AFTER), outputs);
            return;
        }
        self.tickets.insert(ticket, id);
        self.attempts.insert(id, attempt);
    }

    /// Refuses an attempt that was not let in. A late copy of it is refused as
    /// well, so that the word stays true.
    fn refuse_for_good(
        &mut self,
        now: Duration,
        sender: &Sender,
        id: Cancel,
        reason: Reason,
        retry_after: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        self.counters.refused += 1;
        self.cancelled.insert(now, id);
        let refusal = refusal(&id, reason, Execution::NotRun, retry_after);
        outputs.push(Output::Send(sender.link.clone(), refusal));
    }

    /// The reason to refuse an attempt before it waits for anything.
    pub(super) fn refuse_first(
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
        let full = !self.has_room(now);
        if full && wait >= dispatch.remaining {
            let reason = if self.is_cold(now) { Reason::Cold } else { Reason::DeadlineExceeded };
            return Some((reason, Some(wait.max(RETRY_AFTER))));
        }
        None
    }

    pub(super) fn must_run_alone(&self, attempt: &Attempt) -> bool {
        let known = self.suspects.get(&attempt.dispatch.fingerprint);
        attempt.dispatch.exclusive || known == Some(&Standing::Alone)
    }

    pub(super) fn cancel(&mut self, now: Duration, cancel: Cancel, outputs: &mut Vec<Output>) {
        self.cancelled.insert(now, cancel);
        let Some(attempt) = self.attempts.get(&cancel) else { return };
        let (ticket, stage) = (attempt.ticket, attempt.stage);
        match stage {
            Stage::Queued => {
                self.queue.remove(ticket);
                self.alone.retain(|other| *other != ticket);
                self.refuse(now, ticket, Reason::Cancelled, Execution::NotRun, None, outputs);
            }
            Stage::Claiming => {
                outputs.push(Output::Abandon(ticket));
                self.refuse(now, ticket, Reason::Cancelled, Execution::NotRun, None, outputs);
            }
            // Work that must not run twice goes on, so that its answer can be
            // recorded for the caller's next try.
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
            // It never arrived. From now on it is refused if it still does,
            // so that the word stays true.
            self.cancelled.insert(now, id);
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

    /// Forgets an attempt whose answer has arrived. A late copy of it is
    /// refused by the cancelled set.
    pub(super) fn forget(&mut self, id: &Cancel) {
        if self.attempts.get(id).is_some_and(|attempt| attempt.stage == Stage::Done) {
            self.remove(id);
        }
    }

    pub(super) fn remove(&mut self, id: &Cancel) {
        if let Some(attempt) = self.attempts.remove(id) {
            self.tickets.remove(&attempt.ticket);
            self.cancelled.insert(attempt.ended, *id);
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
        cost: 1 + dispatch.body.len() as u32 * TOKENS_PER_KB / 1024,
    }
}
