//! What follows when the backend server breaks off work, or crashes.

use std::time::Duration;

use wire::{Execution, Outcome, Reason};

use super::{Gate, Output, has_claim};
use crate::attempt::Stage;

impl Gate {
    pub(super) fn engine(&mut self, now: Duration, incarnation: u64, outputs: &mut Vec<Output>) {
        let known = self.engine.replace(incarnation);
        let restarted = known.is_some_and(|known| known != incarnation);
        if restarted {
            self.crashed(now, outputs);
        } else if !self.options.cold {
            self.settle(now, Reason::Broken, outputs);
        }
        // An engine's report lags, its incarnation included: that it shows the
        // old one proves nothing yet, so the check's time limit decides.
    }

    pub(super) fn unreachable(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        // What was handed over had reached it, also if no look ever did.
        let reached = self.attempts.values().any(|attempt| attempt.stage == Stage::Checking);
        if self.engine.take().is_some() || reached {
            self.crashed(now, outputs);
        } else {
            self.settle(now, Reason::Broken, outputs);
        }
    }

    pub(super) fn crashed(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.counters.crashes += 1;
        self.limit.restart(now);
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
    pub(super) fn settle(&mut self, now: Duration, reason: Reason, outputs: &mut Vec<Output>) {
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

    pub(super) fn settle_one(
        &mut self,
        now: Duration,
        ticket: u64,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        self.release(now, ticket, false);
        let Some(attempt) = self.attempt(ticket) else { return };
        if has_claim(&attempt.dispatch) {
            outputs.push(Output::Lost(ticket));
        }
        if attempt.head.is_some() && reason != Reason::Crashed {
            attempt.stage = Stage::Done;
            attempt.ended = now;
            let end = attempt.end(Outcome::Broken);
            attempt.last = Some(end.clone());
            outputs.push(Output::Send(attempt.link.clone(), end));
            if std::mem::take(&mut attempt.tried) {
                outputs.push(Output::Release(attempt.dispatch.fingerprint));
            }
            return;
        }
        self.refuse(now, ticket, reason, Execution::MayHaveRun, None, outputs);
    }
}
