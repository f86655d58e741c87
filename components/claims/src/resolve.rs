//! Resolves the claims and requests of this writer against the log.

use std::time::Duration;

use crate::log::State;
use crate::partition::{Claim, Context, Partition, Phase, Waiting};
use crate::{Answer, Denial, Output, Writer};

/// State of a key according to the loaded log.
pub(crate) enum Verdict {
    /// The key is not claimed.
    Free,
    /// The result is final.
    Settled(Denial),
    /// The key is claimed; a newer log may contain the result.
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
        self.last_used = now;
        if self.claims.contains_key(&request.key) {
            return self.begin_claimed(context, now, request, out);
        }
        let is_unavailable = self.retry_at.is_some_and(|at| now < at);
        let ticket = request.ticket;
        match self.verdict(request.key, request.fingerprint) {
            Verdict::Settled(denial) => out.push(Output::Deny { ticket, denial }),
            Verdict::Claimed(denial) if is_unavailable => {
                self.refresh_needed = true;
                out.push(Output::Deny { ticket, denial });
            }
            Verdict::Free if is_unavailable => {
                self.refresh_needed = true;
                let denial = self.unavailable(context, now);
                out.push(Output::Deny { ticket, denial });
            }
            Verdict::Free if self.is_complete() && !self.stale && self.retry_at.is_none() => {
                self.queue(context, request);
            }
            _ => self.waiting.push(request),
        }
    }

    /// Handles a request whose key this writer has already claimed.
    fn begin_claimed(
        &mut self,
        context: &Context,
        now: Duration,
        request: Waiting,
        out: &mut Vec<Output>,
    ) {
        let unavailable = self.unavailable(context, now);
        let is_unavailable = self.retry_at.is_some_and(|at| now < at);
        let Some(claim) = self.claims.get_mut(&request.key) else { return };
        let ticket = request.ticket;
        let same = claim.fingerprint == request.fingerprint;
        let denial = match &claim.phase {
            Phase::Done(_) | Phase::Granted if !same => Denial::Mismatch,
            Phase::Done(Some(answer)) => Denial::Finished(answer.clone()),
            Phase::Done(None) => Denial::Ran,
            Phase::Granted => Denial::Running,
            Phase::Abandoned if same => {
                // The confirmed claim was never dispatched, so it can be reused.
                claim.ticket = Some(ticket);
                claim.phase = Phase::Granted;
                return out.push(Output::Grant { ticket });
            }
            Phase::Sent { .. } if same && claim.ticket.is_none() && !is_unavailable => {
                claim.ticket = Some(ticket);
                claim.deadline = request.deadline;
                return;
            }
            Phase::Abandoned | Phase::Releasing { .. } => unavailable,
            Phase::Queued | Phase::Sent { .. } if claim.ticket.is_none() => unavailable,
            Phase::Queued | Phase::Sent { .. } if !same => Denial::Mismatch,
            Phase::Queued | Phase::Sent { .. } => Denial::Running,
        };
        self.refresh_needed = true;
        out.push(Output::Deny { ticket, denial });
    }

    fn queue(&mut self, context: &mut Context, request: Waiting) {
        let claim = Claim {
            sequence: context.next_sequence(),
            fingerprint: request.fingerprint,
            time: context.wall,
            ticket: Some(request.ticket),
            deadline: request.deadline,
            phase: Phase::Queued,
        };
        self.claims.insert(request.key, claim);
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

    /// Returns the denial that follows from the loaded log, even if it is outdated.
    pub(crate) fn cached_denial(&self, request: &Waiting) -> Option<Denial> {
        match self.verdict(request.key, request.fingerprint) {
            Verdict::Free => None,
            Verdict::Settled(denial) | Verdict::Claimed(denial) => Some(denial),
        }
    }

    /// Updates all claims and waiting requests after the log was read or written.
    pub(crate) fn resolve(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        if !self.is_complete() {
            return;
        }
        self.delete_unreferenced_segments(out);
        let keys: Vec<u128> = self.claims.keys().copied().collect();
        for key in keys {
            self.resolve_claim(&context.writer, key, out);
        }
        self.resolve_waiting(context, now, out);
    }

    fn resolve_claim(&mut self, writer: &Writer, key: u128, out: &mut Vec<Output>) {
        let version = self.snapshot.as_ref().and_then(|snapshot| snapshot.version);
        let Some(claim) = self.claims.get(&key) else { return };
        let record = self.record(key);
        let own_record = record.filter(|r| r.writer == *writer && r.sequence == claim.sequence);
        let state = own_record.map(|record| record.state.clone());
        let held = state == Some(State::Claimed);
        // Versions only increase, so a write that expects an older version can no
        // longer take effect.
        let is_superseded = |expect: &Option<u64>| version > *expect;
        let next = match &claim.phase {
            Phase::Granted | Phase::Queued => Some(claim.phase.clone()),
            Phase::Sent { .. } if held && claim.ticket.is_some() => Some(Phase::Granted),
            Phase::Sent { .. } if held => Some(Phase::Abandoned),
            Phase::Sent { expect } if !is_superseded(expect) => Some(claim.phase.clone()),
            Phase::Sent { .. } if claim.ticket.is_some() => Some(Phase::Queued),
            Phase::Sent { .. } => None,
            Phase::Done(_) if held => Some(claim.phase.clone()),
            Phase::Done(_) => None,
            Phase::Abandoned if held => Some(Phase::Abandoned),
            Phase::Abandoned => None,
            Phase::Releasing { expect } if held && is_superseded(expect) => Some(Phase::Abandoned),
            Phase::Releasing { .. } if held => Some(claim.phase.clone()),
            Phase::Releasing { .. } => None,
        };
        let Some(next) = next else {
            self.claims.remove(&key);
            return;
        };
        if next == Phase::Queued {
            return self.resolve_queued(key, out);
        }
        let Some(claim) = self.claims.get_mut(&key) else { return };
        if next == Phase::Granted && claim.phase != Phase::Granted {
            out.extend(claim.ticket.map(|ticket| Output::Grant { ticket }));
        }
        claim.phase = next;
    }

    /// Requeues a claim, or denies it if another writer has claimed the key meanwhile.
    fn resolve_queued(&mut self, key: u128, out: &mut Vec<Output>) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        claim.phase = Phase::Queued;
        let (ticket, fingerprint) = (claim.ticket, claim.fingerprint);
        let denial = match self.verdict(key, fingerprint) {
            Verdict::Free => return,
            Verdict::Settled(denial) | Verdict::Claimed(denial) => denial,
        };
        self.claims.remove(&key);
        out.extend(ticket.map(|ticket| Output::Deny { ticket, denial }));
    }

    fn resolve_waiting(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        for request in std::mem::take(&mut self.waiting) {
            if self.claims.contains_key(&request.key) {
                self.begin_claimed(context, now, request, out);
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
        if let Some(claim) = self.granted(key, ticket) {
            claim.phase = Phase::Done(kept);
        }
    }

    pub(crate) fn result_lost(&mut self, key: u128, ticket: u64) {
        if self.granted(key, ticket).is_some() {
            self.claims.remove(&key);
        }
    }

    pub(crate) fn abandon(&mut self, key: u128, ticket: u64) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        let Some(claim) = self.claims.get_mut(&key) else { return };
        if claim.ticket != Some(ticket) {
            return;
        }
        claim.ticket = None;
        match claim.phase {
            Phase::Queued => {
                self.claims.remove(&key);
            }
            Phase::Granted => claim.phase = Phase::Abandoned,
            _ => {}
        }
    }

    fn granted(&mut self, key: u128, ticket: u64) -> Option<&mut Claim> {
        let claim = self.claims.get_mut(&key)?;
        let granted = claim.ticket == Some(ticket) && claim.phase == Phase::Granted;
        granted.then_some(claim)
    }
}
