//! What the recorder of claims and trials says, and the hand-over.

use std::time::Duration;

use bytes::Bytes;
use tables::Name;
use wire::{Dispatch, Execution, Head, Outcome, Reason, Resend};

use super::{Gate, Output, RETRY_AFTER, Verdict};
use crate::attempt::{Attempt, Stage};

impl Gate {
    pub(super) fn verdict(
        &mut self,
        now: Duration,
        ticket: u64,
        verdict: Verdict,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempt(ticket) else { return };
        if attempt.stage != Stage::Claiming {
            return;
        }
        attempt.tried |= attempt.trial && verdict == Verdict::Grant;
        match verdict {
            Verdict::Grant if attempt.deadline <= now => {
                outputs.push(Output::Abandon(ticket));
                self.refuse(
                    now,
                    ticket,
                    Reason::DeadlineExceeded,
                    Execution::NotRun,
                    Some(RETRY_AFTER),
                    outputs,
                );
            }
            Verdict::Grant if self.out => {
                outputs.push(Output::Abandon(ticket));
                self.refuse(
                    now,
                    ticket,
                    Reason::Out,
                    Execution::NotRun,
                    Some(RETRY_AFTER),
                    outputs,
                );
            }
            Verdict::Grant => self.granted(now, ticket, outputs),
            Verdict::Answer { status, headers, body } => {
                self.release(now, ticket, true);
                self.answer(now, ticket, status, headers, body, outputs);
            }
            Verdict::Refuse { reason, execution, retry_after } => {
                self.release(now, ticket, false);
                self.refuse(now, ticket, reason, execution, retry_after, outputs);
            }
        }
    }

    /// Goes on after a trial or a claim was recorded: a suspect that must not
    /// run twice needs its claim as well.
    pub(super) fn granted(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.attempt(ticket) else { return };
        let was_trial = std::mem::take(&mut attempt.trial);
        match claim(attempt).filter(|_| was_trial) {
            Some(output) => outputs.push(output),
            None => self.run(now, ticket, outputs),
        }
    }

    /// Sends the recorded answer of an earlier attempt.
    pub(super) fn answer(
        &mut self,
        now: Duration,
        ticket: u64,
        status: u16,
        headers: Vec<(Name, Name)>,
        body: Bytes,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempt(ticket) else { return };
        let (id, number) = (attempt.dispatch.id, attempt.dispatch.attempt);
        attempt.head = Some(Head { id, attempt: number, status, headers });
        attempt.extend(0, body);
        attempt.stage = Stage::Done;
        attempt.ended = now;
        let trial = std::mem::take(&mut attempt.tried).then_some(attempt.dispatch.fingerprint);
        attempt.last = Some(attempt.end(Outcome::Complete));
        let whole = attempt.replay(&Resend { id, attempt: number, from: 0 });
        let link = attempt.link.clone();
        outputs.extend(whole.into_iter().map(|message| Output::Send(link.clone(), message)));
        outputs.extend(trial.map(Output::Release));
    }

    pub(super) fn run(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.attempt(ticket) else { return };
        attempt.stage = Stage::Running;
        attempt.started = now;
        let mut dispatch = attempt.dispatch.clone();
        dispatch.remaining = attempt.deadline.saturating_sub(now);
        self.counters.run += 1;
        if self.out {
            self.counters.run_while_out += 1;
        }
        outputs.push(Output::Run(ticket, dispatch));
    }
}

/// The claim that an attempt needs, if it must not run twice.
pub(super) fn claim(attempt: &Attempt) -> Option<Output> {
    Some(Output::Claim {
        ticket: attempt.ticket,
        key: claim_key(&attempt.dispatch)?,
        fingerprint: attempt.dispatch.fingerprint,
        deadline: attempt.deadline,
    })
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
