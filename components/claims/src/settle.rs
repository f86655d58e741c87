//! What the log means for the claims and requests of this writer.

use std::time::Duration;

use crate::log::State;
use crate::partition::{Context, Own, Partition, Phase, Waiting};
use crate::{Answer, Denial, Output, Writer};

/// What the log in memory says of a key.
pub(crate) enum Verdict {
    /// Nobody holds it.
    Free,
    /// It is settled for good.
    Settled(Denial),
    /// Somebody claimed it; a newer log may know more.
    Claimed(Denial),
}

impl Partition {
    pub(crate) fn begin(
        &mut self,
        context: &mut Context,
        now: Duration,
        request: Waiting,
        out: &mut Vec<Output>,
    ) {
        self.used = now;
        if self.own.contains_key(&request.key) {
            return self.begin_again(context, now, request, out);
        }
        let is_out = self.retry_at.is_some_and(|at| now < at);
        let ticket = request.ticket;
        match self.verdict(request.key, request.fingerprint) {
            Verdict::Settled(denial) => out.push(Output::Deny { ticket, denial }),
            Verdict::Claimed(denial) if is_out => {
                self.wanted = true;
                out.push(Output::Deny { ticket, denial });
            }
            Verdict::Free if is_out => {
                self.wanted = true;
                let denial = self.unavailable(context, now);
                out.push(Output::Deny { ticket, denial });
            }
            Verdict::Free if self.is_complete() && !self.stale && self.retry_at.is_none() => {
                self.queue(context, request);
            }
            _ => self.waiting.push(request),
        }
    }

    /// A request whose key this writer has in hand already.
    fn begin_again(
        &mut self,
        context: &Context,
        now: Duration,
        request: Waiting,
        out: &mut Vec<Output>,
    ) {
        let unavailable = self.unavailable(context, now);
        let is_out = self.retry_at.is_some_and(|at| now < at);
        let Some(own) = self.own.get_mut(&request.key) else { return };
        let ticket = request.ticket;
        let same = own.fingerprint == request.fingerprint;
        let denial = match &own.phase {
            Phase::Done(_) | Phase::Granted if !same => Denial::Mismatch,
            Phase::Done(Some(answer)) => Denial::Finished(answer.clone()),
            Phase::Done(None) => Denial::Ran,
            Phase::Granted => Denial::Running,
            Phase::Freed if same => {
                // The claim stands in the log and was never handed over.
                own.ticket = Some(ticket);
                own.phase = Phase::Granted;
                return out.push(Output::Grant { ticket });
            }
            Phase::Sent { .. } if same && own.ticket.is_none() && !is_out => {
                own.ticket = Some(ticket);
                own.deadline = request.deadline;
                return;
            }
            Phase::Freed | Phase::Releasing { .. } => unavailable,
            Phase::Queued | Phase::Sent { .. } if own.ticket.is_none() => unavailable,
            Phase::Queued | Phase::Sent { .. } if !same => Denial::Mismatch,
            Phase::Queued | Phase::Sent { .. } => Denial::Running,
        };
        self.wanted = true;
        out.push(Output::Deny { ticket, denial });
    }

    fn queue(&mut self, context: &mut Context, request: Waiting) {
        let own = Own {
            sequence: context.next_sequence(),
            fingerprint: request.fingerprint,
            time: context.wall,
            ticket: Some(request.ticket),
            deadline: request.deadline,
            phase: Phase::Queued,
        };
        self.own.insert(request.key, own);
    }

    pub(crate) fn verdict(&self, key: u128, fingerprint: u64) -> Verdict {
        let Some(record) = self.record(key) else { return Verdict::Free };
        let same = record.fingerprint == fingerprint;
        match &record.state {
            State::Released => Verdict::Free,
            State::Claimed if !same => Verdict::Claimed(Denial::Mismatch),
            State::Claimed => Verdict::Claimed(Denial::Unknown),
            _ if !same => Verdict::Settled(Denial::Mismatch),
            State::Ran => Verdict::Settled(Denial::Ran),
            State::Finished(answer) => Verdict::Settled(Denial::Finished(answer.clone())),
        }
    }

    /// What the log in memory has against a request, however old the log is.
    pub(crate) fn cached_denial(&self, request: &Waiting) -> Option<Denial> {
        match self.verdict(request.key, request.fingerprint) {
            Verdict::Free => None,
            Verdict::Settled(denial) | Verdict::Claimed(denial) => Some(denial),
        }
    }

    /// Draws the conclusions from a log that has just been read or written.
    pub(crate) fn settle(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        if !self.is_complete() {
            return;
        }
        self.settle_segments(out);
        let keys: Vec<u128> = self.own.keys().copied().collect();
        for key in keys {
            self.settle_own(&context.writer, key, out);
        }
        self.settle_waiting(context, now, out);
    }

    fn settle_own(&mut self, writer: &Writer, key: u128, out: &mut Vec<Output>) {
        let version = self.known.as_ref().and_then(|known| known.version);
        let Some(own) = self.own.get(&key) else { return };
        let record = self.record(key);
        let mine = record.filter(|r| r.writer == *writer && r.sequence == own.sequence);
        let state = mine.map(|record| record.state.clone());
        let held = state == Some(State::Claimed);
        // Versions only rise: a write at an older version can't land any more.
        let is_over = |expect: &Option<u64>| version > *expect;
        let next = match &own.phase {
            Phase::Granted | Phase::Queued => Some(own.phase.clone()),
            Phase::Sent { .. } if held && own.ticket.is_some() => Some(Phase::Granted),
            Phase::Sent { .. } if held => Some(Phase::Freed),
            Phase::Sent { expect } if !is_over(expect) => Some(own.phase.clone()),
            Phase::Sent { .. } if own.ticket.is_some() => Some(Phase::Queued),
            Phase::Sent { .. } => None,
            Phase::Done(_) if held => Some(own.phase.clone()),
            Phase::Done(_) => None,
            Phase::Freed if held => Some(Phase::Freed),
            Phase::Freed => None,
            Phase::Releasing { expect } if held && is_over(expect) => Some(Phase::Freed),
            Phase::Releasing { .. } if held => Some(own.phase.clone()),
            Phase::Releasing { .. } => None,
        };
        let Some(next) = next else {
            self.own.remove(&key);
            return;
        };
        if next == Phase::Queued {
            return self.settle_queued(key, out);
        }
        let Some(own) = self.own.get_mut(&key) else { return };
        if next == Phase::Granted && own.phase != Phase::Granted {
            out.extend(own.ticket.map(|ticket| Output::Grant { ticket }));
        }
        own.phase = next;
    }

    /// Another writer may have claimed the key meanwhile.
    fn settle_queued(&mut self, key: u128, out: &mut Vec<Output>) {
        let Some(own) = self.own.get_mut(&key) else { return };
        own.phase = Phase::Queued;
        let (ticket, fingerprint) = (own.ticket, own.fingerprint);
        let denial = match self.verdict(key, fingerprint) {
            Verdict::Free => return,
            Verdict::Settled(denial) | Verdict::Claimed(denial) => denial,
        };
        self.own.remove(&key);
        out.extend(ticket.map(|ticket| Output::Deny { ticket, denial }));
    }

    fn settle_waiting(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        for request in std::mem::take(&mut self.waiting) {
            if self.own.contains_key(&request.key) {
                self.begin_again(context, now, request, out);
                continue;
            }
            let ticket = request.ticket;
            match self.verdict(request.key, request.fingerprint) {
                Verdict::Free => self.queue(context, request),
                Verdict::Settled(denial) | Verdict::Claimed(denial) => {
                    out.push(Output::Deny { ticket, denial });
                }
            }
        }
    }

    pub(crate) fn finish(
        &mut self,
        context: &Context,
        key: u128,
        ticket: u64,
        answer: Option<Answer>,
    ) {
        let limit = context.settings.answer_limit;
        let kept = answer.filter(|answer| answer.size() <= limit);
        if let Some(own) = self.granted(key, ticket) {
            own.phase = Phase::Done(kept);
        }
    }

    pub(crate) fn lose(&mut self, key: u128, ticket: u64) {
        if self.granted(key, ticket).is_some() {
            self.own.remove(&key);
        }
    }

    pub(crate) fn abandon(&mut self, key: u128, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        let Some(own) = self.own.get_mut(&key) else { return };
        if own.ticket != Some(ticket) {
            return;
        }
        own.ticket = None;
        match own.phase {
            Phase::Queued => {
                self.own.remove(&key);
            }
            Phase::Granted => own.phase = Phase::Freed,
            _ => {}
        }
    }

    fn granted(&mut self, key: u128, ticket: u64) -> Option<&mut Own> {
        let own = self.own.get_mut(&key)?;
        let granted = own.ticket == Some(ticket) && own.phase == Phase::Granted;
        granted.then_some(own)
    }
}
