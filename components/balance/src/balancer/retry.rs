//! Results of attempts: retries, relocation of streams and final refusals.

use std::time::Duration;

use rand::Rng;
use tables::Name;

use super::{Balancer, MIN_ATTEMPT_TIME, refuse_blocked};
use crate::member::Member;
use crate::pace::Pace;
use crate::slow;
use crate::suspect::Standing;
use crate::ticket::{Decision, Outcome, Reason, Refusal, Target, Ticket};

/// Range of the `Retry-After` time when servers are full or cold, in seconds.
/// Running requests end within this time. The time is random so that callers
/// don't retry together.
const RETRY_AFTER: (f64, f64) = (0.3, 1.2);

/// Range of the `Retry-After` time when no server of the pool is usable, in
/// seconds: a broken rank group takes about 2 s to stall, restart and form.
const RETRY_AFTER_OUTAGE: (f64, f64) = (1.4, 2.6);

/// Maximum `Retry-After` time as a share of the caller's remaining time. From
/// the platform's protocol: callers wait up to a third of it.
const RETRY_AFTER_SHARE: f64 = 0.32;

impl Balancer {
    /// Records that the last attempt ended with a valid response.
    pub fn succeed(&mut self, ticket: &Ticket) {
        if let Some(member) = ticket.tried.last().and_then(|name| self.members.get_mut(name)) {
            member.record_success();
        }
        self.crashes.clear(ticket.prompt.fingerprint);
    }

    /// Records that the last attempt failed and decides what to do next.
    pub fn fail(&mut self, now: Duration, ticket: &mut Ticket, outcome: Outcome) -> Decision {
        self.record_outcome(now, ticket, outcome);
        let maybe_executed =
            !matches!(outcome, Outcome::ConnectFailed | Outcome::Refused | Outcome::Misdirected);
        ticket.may_have_run |= maybe_executed;
        let reason = self.reason_to_stop(now, ticket, outcome);
        if let Some(reason) = reason {
            return Decision::Stop(self.refuse(now, ticket, reason));
        }
        self.retry(now, ticket)
    }

    /// Decides on another attempt for a ticket whose last one failed.
    pub fn retry(&mut self, now: Duration, ticket: &mut Ticket) -> Decision {
        if self.drain.is_some_and(|drain| drain.is_over(now)) {
            return Decision::Stop(self.refuse(now, ticket, Reason::Leaving));
        }
        if now + MIN_ATTEMPT_TIME >= ticket.deadline {
            return Decision::Stop(self.refuse(now, ticket, Reason::DeadlineExceeded));
        }
        match self.pick(now, ticket) {
            Ok(picked) => {
                let pool = ticket.pool.clone();
                if !self.budget(now, &pool).spend(now) {
                    return Decision::Stop(self.refuse(now, ticket, Reason::Budget));
                }
                Decision::Retry(self.begin_attempt(now, ticket, picked))
            }
            Err(reason) => Decision::Stop(self.refuse(now, ticket, reason)),
        }
    }

    /// Moves a running stream to another server if its rank is so slow that the
    /// gaps of the pool's streams exceed the accepted gap. All ranks of the group
    /// wait for that rank while it has work, which costs more than one repeated
    /// prefill. Returns `None` if the stream stays, also if it can't be retried.
    pub fn relocate(&mut self, now: Duration, ticket: &mut Ticket) -> Option<Target> {
        let gap = self.paces.get(&ticket.pool).map(Pace::mean_gap)?;
        let exceeds_gap = ticket.gap.is_some_and(|accepted| gap > accepted);
        if !exceeds_gap || !ticket.kind.is_repeatable() || ticket.attempts_left == 0 {
            return None;
        }
        let server = ticket.tried.last()?.clone();
        if !self.is_too_slow(now, ticket, &server) {
            return None;
        }
        let Decision::Retry(target) = self.retry(now, ticket) else { return None };
        ticket.may_have_run = true;
        Some(target)
    }

    /// Whether a rank gets no requests because it is slow compared to the fastest
    /// rank of the pool.
    fn is_too_slow(&self, now: Duration, ticket: &Ticket, server: &Name) -> bool {
        let slowness = |member: &Member| self.slow.of(now, member.server.group.as_ref());
        let others = self
            .members
            .values()
            .filter(|member| member.server.pool == ticket.pool && member.is_usable(now));
        let fastest = others.map(slowness).fold(f64::INFINITY, f64::min);
        self.members.get(server).is_some_and(|member| slow::is_too_slow(slowness(member), fastest))
    }

    fn reason_to_stop(&self, now: Duration, ticket: &Ticket, outcome: Outcome) -> Option<Reason> {
        if outcome == Outcome::Stopped {
            return Some(Reason::Leaving);
        }
        if outcome == Outcome::DeadlineExceeded || now + MIN_ATTEMPT_TIME >= ticket.deadline {
            return Some(Reason::DeadlineExceeded);
        }
        if ticket.may_have_run && !ticket.kind.is_repeatable() {
            return Some(Reason::MayHaveRun);
        }
        if self.crashes.is_blocked(now, ticket.prompt.fingerprint) {
            return Some(Reason::Crashes);
        }
        if self.suspects.is_sole(ticket.start.as_ref(), &ticket.prompt) {
            return Some(Reason::Suspected);
        }
        (ticket.attempts_left == 0).then_some(Reason::Attempts)
    }

    /// Records a failed attempt's outcome for its server and its request.
    fn record_outcome(&mut self, now: Duration, ticket: &Ticket, outcome: Outcome) {
        let Some(name) = ticket.tried.last() else { return };
        let Some(member) = self.members.get_mut(name) else { return };
        match outcome {
            Outcome::Misdirected => member.record_misdirected(),
            Outcome::Refused
            | Outcome::Unattributed
            | Outcome::DeadlineExceeded
            | Outcome::Stopped => {}
            Outcome::TimedOut if member.server.group.is_some() => {
                // All ranks of a group stall together: not counted against one.
            }
            Outcome::ConnectFailed | Outcome::Failed | Outcome::TimedOut => {
                member.record_failure(now)
            }
            Outcome::StaleConnection => self.count_crash(now, ticket, outcome),
            Outcome::Broken => {
                member.record_failure(now);
                self.count_crash(now, ticket, outcome);
            }
            Outcome::Crashed => {
                member.record_crash(now);
                self.count_crash(now, ticket, outcome);
            }
        }
    }

    /// Counts a crash of the request, unless it had produced an event: a
    /// request that crashes servers does so before.
    fn count_crash(&mut self, now: Duration, ticket: &Ticket, outcome: Outcome) {
        if ticket.begun {
            return;
        }
        let prompt = &ticket.prompt;
        self.crashes.add(now, prompt.fingerprint);
        let Some(start) = ticket.start.clone() else { return };
        if outcome == Outcome::Crashed {
            self.suspects.record_crash(now, start, prompt);
        } else {
            self.suspects.record_break(now, start, prompt);
        }
    }

    /// The final response for a ticket. Only a request that certainly has not run
    /// gets status 503, which says so, and a `Retry-After` time.
    pub(super) fn refuse(&mut self, now: Duration, ticket: &Ticket, reason: Reason) -> Refusal {
        if ticket.may_have_run {
            let status = if reason == Reason::DeadlineExceeded { 504 } else { 502 };
            return Refusal { reason, status, retry_after: None };
        }
        if let Standing::Blocked(wait) = self.standing(now, ticket) {
            return refuse_blocked(wait);
        }
        let remaining = ticket.deadline.saturating_sub(now);
        if let Some(wait) = self.return_time(now, ticket, reason) {
            let retry_after = Some(wait.min(remaining.mul_f64(RETRY_AFTER_SHARE)));
            return Refusal { reason, status: 503, retry_after };
        }
        self.refuse_not_run(reason, Some(remaining))
    }

    pub(super) fn refuse_not_run(
        &mut self,
        reason: Reason,
        remaining: Option<Duration>,
    ) -> Refusal {
        let mut wait = match reason {
            // Other entries serve it at once.
            Reason::Leaving => Duration::ZERO,
            Reason::NoServer => self.draw_wait(RETRY_AFTER_OUTAGE),
            _ => self.draw_wait(RETRY_AFTER),
        };
        if let Some(remaining) = remaining {
            wait = wait.min(remaining.mul_f64(RETRY_AFTER_SHARE));
        }
        Refusal { reason, status: 503, retry_after: Some(wait) }
    }

    /// Draws a time at random from a range in seconds.
    fn draw_wait(&mut self, (least, most): (f64, f64)) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(least..most))
    }
}
