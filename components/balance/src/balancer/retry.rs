//! What follows an attempt: another one, or the final answer.

use std::time::Duration;

use rand::Rng;
use tables::Name;

use super::{Balancer, WORTH_SENDING};
use crate::member::Member;
use crate::pace::Pace;
use crate::slow;
use crate::ticket::{Decision, Outcome, Reason, Refusal, Target, Ticket};

/// Bounds of the wait that a refused caller is told when servers are full or
/// cold, in seconds: the time in which running requests end, spread so that
/// callers don't return together.
const RETRY_AFTER: (f64, f64) = (0.3, 1.2);

/// The same when no server of the pool is usable: a broken rank group takes
/// about two seconds to stall, restart and form.
const RETRY_AFTER_OUTAGE: (f64, f64) = (1.4, 2.6);

/// Part of the caller's remaining time that a wait may take. From the
/// platform's protocol: callers wait up to a third.
const RETRY_AFTER_SHARE: f64 = 0.32;

impl Balancer {
    /// An attempt ended with a sound answer.
    pub fn succeed(&mut self, ticket: &Ticket) {
        if let Some(member) = ticket.tried.last().and_then(|name| self.members.get_mut(name)) {
            member.succeed();
        }
        self.crashes.clear(ticket.fingerprint);
    }

    /// An attempt failed: what follows.
    pub fn fail(&mut self, now: Duration, ticket: &mut Ticket, outcome: Outcome) -> Decision {
        self.judge(now, ticket, outcome);
        let ran =
            !matches!(outcome, Outcome::ConnectFailed | Outcome::Refused | Outcome::Misdirected);
        ticket.may_have_run |= ran;
        let reason = self.reason_to_stop(now, ticket, outcome);
        if let Some(reason) = reason {
            return Decision::Stop(self.refuse(now, ticket, reason));
        }
        self.retry(now, ticket)
    }

    /// Another attempt for a ticket whose last one failed.
    pub fn retry(&mut self, now: Duration, ticket: &mut Ticket) -> Decision {
        if now + WORTH_SENDING >= ticket.deadline {
            return Decision::Stop(self.refuse(now, ticket, Reason::DeadlineExceeded));
        }
        match self.pick(now, ticket) {
            Ok(server) => {
                let pool = ticket.pool.clone();
                if !self.budget(now, &pool).spend(now) {
                    return Decision::Stop(self.refuse(now, ticket, Reason::Budget));
                }
                Decision::Retry(self.send(now, ticket, server))
            }
            Err(reason) => Decision::Stop(self.refuse(now, ticket, reason)),
        }
    }

    /// Another server for a stream under way, if its rank is so slow that the
    /// group's passes last longer than callers accept: all ranks wait for it as
    /// long as it has work, which costs more than reading one prompt again.
    /// Nothing if the stream stays, also where no retry is left for it.
    pub fn relocate(&mut self, now: Duration, ticket: &mut Ticket) -> Option<Target> {
        let gap = self.paces.get(&ticket.pool).map(Pace::gap)?;
        let late = ticket.gap.is_some_and(|accepted| gap > accepted);
        if !late || !ticket.kind.is_repeatable() || ticket.attempts_left == 0 {
            return None;
        }
        let server = ticket.tried.last()?.clone();
        if !self.is_spared(now, ticket, &server) {
            return None;
        }
        let Decision::Retry(target) = self.retry(now, ticket) else { return None };
        ticket.may_have_run = true;
        Some(target)
    }

    /// Whether a rank gets no requests because it is slow beside another one
    /// of the pool.
    fn is_spared(&self, now: Duration, ticket: &Ticket, server: &Name) -> bool {
        let slowness = |member: &Member| self.slow.of(now, member.server.group.as_ref());
        let others = self
            .members
            .values()
            .filter(|member| member.server.pool == ticket.pool && member.is_usable(now));
        let fastest = others.map(slowness).fold(f64::INFINITY, f64::min);
        self.members.get(server).is_some_and(|member| slow::is_spared(slowness(member), fastest))
    }

    fn reason_to_stop(&self, now: Duration, ticket: &Ticket, outcome: Outcome) -> Option<Reason> {
        if outcome == Outcome::DeadlineExceeded || now + WORTH_SENDING >= ticket.deadline {
            return Some(Reason::DeadlineExceeded);
        }
        if ticket.may_have_run && !ticket.kind.is_repeatable() {
            return Some(Reason::MayHaveRun);
        }
        if self.crashes.is_barred(now, ticket.fingerprint) {
            return Some(Reason::Crashes);
        }
        (ticket.attempts_left == 0).then_some(Reason::Attempts)
    }

    /// What an outcome says of the server.
    fn judge(&mut self, now: Duration, ticket: &Ticket, outcome: Outcome) {
        let Some(name) = ticket.tried.last() else { return };
        let Some(member) = self.members.get_mut(name) else { return };
        match outcome {
            Outcome::Misdirected => member.misdirect(),
            Outcome::Refused | Outcome::DeadlineExceeded => {}
            Outcome::TimedOut if member.server.group.is_some() => {
                // All ranks of a group stand still together.
            }
            Outcome::ConnectFailed | Outcome::Failed | Outcome::TimedOut => member.fail(now),
            Outcome::StaleConnection => self.crashes.add(now, ticket.fingerprint),
            Outcome::Broken => {
                member.fail(now);
                self.crashes.add(now, ticket.fingerprint);
            }
        }
    }

    /// The final answer for a ticket. Only what certainly has not run is told
    /// so and when to come back.
    pub(super) fn refuse(&mut self, now: Duration, ticket: &Ticket, reason: Reason) -> Refusal {
        if ticket.may_have_run {
            let status = if reason == Reason::DeadlineExceeded { 504 } else { 502 };
            return Refusal { reason, status, retry_after: None };
        }
        self.refuse_not_run(reason, Some(ticket.deadline.saturating_sub(now)))
    }

    pub(super) fn refuse_not_run(&mut self, reason: Reason, left: Option<Duration>) -> Refusal {
        let outage = reason == Reason::NoServer;
        let (least, most) = if outage { RETRY_AFTER_OUTAGE } else { RETRY_AFTER };
        let mut wait = Duration::from_secs_f64(self.rng.random_range(least..most));
        if let Some(left) = left {
            wait = wait.min(left.mul_f64(RETRY_AFTER_SHARE));
        }
        Refusal { reason, status: 503, retry_after: Some(wait) }
    }
}
