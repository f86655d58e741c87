//! Handling of interrupted attempts and of crashes of the backend server.

use std::time::Duration;

use wire::{Execution, Outcome, Reason};

use super::{Gate, Output, has_claim};
use crate::attempt::Stage;

impl Gate {
    pub(super) fn handle_engine_status(
        &mut self,
        now: Duration,
        incarnation: u64,
        outputs: &mut Vec<Output>,
    ) {
        let previous = self.engine_incarnation.replace(incarnation);
        let restarted = previous.is_some_and(|previous| previous != incarnation);
        if restarted {
            self.handle_crash(now, outputs);
        } else if !self.options.cold {
            self.resolve_interrupted(now, Reason::Broken, outputs);
        }
        // The incarnation in an engine's report may lag behind a restart. An
        // unchanged one proves nothing, so the attempts wait for the timeout.
    }

    pub(super) fn handle_unreachable(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        // An interrupted attempt had reached the backend server, even if no status
        // was ever received from it.
        let has_interrupted =
            self.attempts.values().any(|attempt| attempt.stage == Stage::Checking);
        if self.engine_incarnation.take().is_some() || has_interrupted {
            self.handle_crash(now, outputs);
        } else {
            self.resolve_interrupted(now, Reason::Broken, outputs);
        }
    }

    pub(super) fn handle_crash(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.counters.crashes += 1;
        self.limit.reset(now);
        let mut suspects = Vec::new();
        for attempt in self.attempts.values() {
            if attempt.stage == Stage::Checking {
                suspects.push(attempt.dispatch.fingerprint);
            }
        }
        suspects.sort_unstable();
        suspects.dedup();
        if !suspects.is_empty() {
            outputs.push(Output::Crash(suspects));
        }
        self.resolve_interrupted(now, Reason::Crashed, outputs);
    }

    /// Ends all interrupted attempts, with the result of the check as reason.
    pub(super) fn resolve_interrupted(
        &mut self,
        now: Duration,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        let mut interrupted: Vec<u64> = self
            .attempts
            .values()
            .filter(|attempt| attempt.stage == Stage::Checking)
            .map(|attempt| attempt.ticket)
            .collect();
        interrupted.sort_unstable();
        for ticket in interrupted {
            self.resolve_attempt(now, ticket, reason, outputs);
        }
    }

    pub(super) fn resolve_attempt(
        &mut self,
        now: Duration,
        ticket: u64,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        self.release_slot(now, ticket, false);
        let Some(attempt) = self.attempt(ticket) else { return };
        if has_claim(&attempt.dispatch) {
            outputs.push(Output::Lost(ticket));
        }
        if attempt.head.is_some() && reason != Reason::Crashed {
            attempt.stage = Stage::Done;
            attempt.ended_at = now;
            let end = attempt.end_message(Outcome::Broken);
            attempt.final_message = Some(end.clone());
            outputs.push(Output::Send(attempt.link.clone(), end));
            if std::mem::take(&mut attempt.trial_active) {
                outputs.push(Output::Release(attempt.dispatch.fingerprint));
            }
            return;
        }
        self.refuse(now, ticket, reason, Execution::MayHaveRun, None, outputs);
    }
}
