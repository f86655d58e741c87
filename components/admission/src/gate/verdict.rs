//! Handling of recorded claims and trials, and sending to the backend server.

use std::time::Duration;

use bytes::Bytes;
use tables::Name;
use wire::{Dispatch, Execution, Head, Outcome, Reason, Resend};

use super::{Gate, Output, RETRY_AFTER, Verdict};
use crate::attempt::{Attempt, Stage};

impl Gate {
    pub(super) fn handle_verdict(
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
        attempt.trial_active |= attempt.trial_pending && verdict == Verdict::Grant;
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
            Verdict::Grant => self.handle_grant(now, ticket, outputs),
            Verdict::Answer { status, headers, body } => {
                self.release_slot(now, ticket, true);
                self.send_recorded_answer(now, ticket, status, headers, body, outputs);
            }
            Verdict::Refuse { reason, execution, retry_after } => {
                self.release_slot(now, ticket, false);
                self.refuse(now, ticket, reason, execution, retry_after, outputs);
            }
        }
    }

    /// Continues after a trial or a claim was recorded. A suspect that must not run
    /// twice needs a claim after its trial was recorded.
    pub(super) fn handle_grant(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.attempt(ticket) else { return };
        let was_trial = std::mem::take(&mut attempt.trial_pending);
        match claim(attempt).filter(|_| was_trial) {
            Some(output) => outputs.push(output),
            None => self.run(now, ticket, outputs),
        }
    }

    /// Sends the recorded answer of an earlier attempt.
    pub(super) fn send_recorded_answer(
        &mut self,
        now: Duration,
        ticket: u64,
        status: u16,
        headers: Vec<(Name, Name)>,
        body: Bytes,
        outputs: &mut Vec<Output>,
    ) {
        self.answer_bytes += body.len();
        let Some(attempt) = self.attempt(ticket) else { return };
        let (id, number) = (attempt.dispatch.id, attempt.dispatch.attempt);
        attempt.head = Some(Head { id, attempt: number, status, headers });
        attempt.add_chunk(0, body);
        attempt.stage = Stage::Done;
        attempt.ended_at = now;
        let trial =
            std::mem::take(&mut attempt.trial_active).then_some(attempt.dispatch.fingerprint);
        attempt.final_message = Some(attempt.end_message(Outcome::Complete));
        let messages = attempt.replay(&Resend { id, attempt: number, from: 0 });
        let link = attempt.link.clone();
        outputs.extend(messages.into_iter().map(|message| Output::Send(link.clone(), message)));
        outputs.extend(trial.map(Output::Release));
    }

    pub(super) fn run(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.attempt(ticket) else { return };
        attempt.stage = Stage::Running;
        attempt.started_at = now;
        let mut dispatch = attempt.dispatch.clone();
        dispatch.remaining = attempt.deadline.saturating_sub(now);
        self.counters.run += 1;
        if self.out {
            self.counters.run_while_out += 1;
        }
        outputs.push(Output::Run(ticket, dispatch));
    }
}

/// Returns the claim to record for an attempt, if it must not run twice.
pub(super) fn claim(attempt: &Attempt) -> Option<Output> {
    Some(Output::Claim {
        ticket: attempt.ticket,
        key: claim_key(&attempt.dispatch)?,
        fingerprint: attempt.dispatch.fingerprint,
        deadline: attempt.deadline,
    })
}

/// Returns the name of the claim: the account and the idempotency key, or the
/// request id for a request without a key, so that no copy of it runs twice.
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
