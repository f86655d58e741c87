//! Selection of the backend server for an attempt.

use std::time::Duration;

use tables::Name;

use super::{Balancer, MIN_ATTEMPT_TIME};
use crate::choice::{self, Context, Locality};
use crate::gossip::Work;
use crate::member::Member;
use crate::notice::Start;
use crate::slow;
use crate::suspect::Standing;
use crate::ticket::{Reason, Refusal, Target, Ticket};

/// Time from the start of the process within which other entries reply to its first
/// heartbeat. Until then, requests with shared prompt parts wait.
const INFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// The server for an attempt.
pub(super) struct Picked {
    server: Name,
    /// Whether the attempt is a trial of a suspected prompt part.
    trial: bool,
}

impl Balancer {
    /// Chooses the backend server for the first attempt.
    ///
    /// # Errors
    ///
    /// The final response, if no server is available or the deadline is too close.
    pub fn choose(&mut self, now: Duration, ticket: &mut Ticket) -> Result<Target, Refusal> {
        if now + MIN_ATTEMPT_TIME >= ticket.deadline {
            return Err(self.refuse(now, ticket, Reason::DeadlineExceeded));
        }
        match self.pick(now, ticket) {
            Ok(picked) => Ok(self.begin_attempt(now, ticket, picked)),
            Err(reason) => {
                ticket.waited |= reason == Reason::Suspected;
                Err(self.refuse(now, ticket, reason))
            }
        }
    }

    /// Whether a request must wait, because another one with a suspected part of its
    /// prompt runs as a trial, or because it isn't known yet which parts are blocked.
    pub fn awaits_trial(&self, now: Duration, ticket: &Ticket) -> bool {
        let is_uninformed = !self.informed && now < INFORM_TIMEOUT && !self.links().is_empty();
        (is_uninformed && !ticket.prompt.shared_parts.is_empty())
            || self.suspects.is_tried(now, &ticket.prompt)
    }

    pub(super) fn standing(&self, now: Duration, ticket: &Ticket) -> Standing {
        self.suspects.standing(now, &ticket.prompt)
    }

    /// Whether an attempt would be a trial of a suspected prompt part. A request that
    /// has had events needs none.
    ///
    /// # Errors
    ///
    /// If a part is blocked, or another trial of it runs.
    fn needs_trial(&self, now: Duration, ticket: &Ticket) -> Result<bool, Reason> {
        if ticket.begun {
            return Ok(false);
        }
        match self.standing(now, ticket) {
            Standing::Blocked(_) => Err(Reason::Crashes),
            _ if self.awaits_trial(now, ticket) => Err(Reason::Suspected),
            Standing::Suspected if ticket.waited => Err(Reason::Suspected),
            Standing::Suspected => Ok(true),
            Standing::Clear => Ok(false),
        }
    }

    pub(super) fn pick(&mut self, now: Duration, ticket: &Ticket) -> Result<Picked, Reason> {
        let is_trial = self.needs_trial(now, ticket)?;
        let entries = self.entries(now);
        let pool = self.view.config().and_then(|config| config.pools.get(&ticket.pool));
        let cold_rate = pool.map_or(0.0, |pool| pool.cold_rate);
        let engine = pool.and_then(|pool| pool.engine);
        let share = self.paces.get(&ticket.pool).map_or(1.0, |pace| pace.share(now));
        let share = if ticket.urgency.is_some() { 1.0 } else { share };
        let full_groups = self.full_groups(now, ticket, engine.as_ref());
        let preference = self.zone_preference(now, ticket, engine.as_ref());
        let locality =
            preference.as_ref().map(|preference| Locality { preference, register: &self.zones });
        let zone = &self.options.zone;
        let context = Context { zone, engine: engine.as_ref(), share, locality };
        let view = &self.view;
        let is_blocked =
            |start: &Start| self.notices.is_blocked(now, start) || view.is_held(now, start);
        let usable = |(name, member): &(&Name, &mut Member)| {
            member.server.pool == ticket.pool
                && member.is_usable(now)
                && !is_blocked(&member.start(name))
                && !ticket.tried.contains(name)
                && !view.is_zone_out(now, &member.server.zone)
        };
        let (mut any, mut cold) = (false, false);
        let mut candidates = Vec::new();
        for (name, member) in self.members.iter_mut().filter(usable) {
            any = true;
            if member.is_cold(now)
                && cold_rate > 0.0
                && !member.bucket.is_open(now, cold_rate, entries)
            {
                cold = true;
                continue;
            }
            candidates.push(name.clone());
        }
        let slowness = |name: &Name| self.slow.of(now, self.members[name].server.group.as_ref());
        let fastest = candidates.iter().map(slowness).fold(f64::INFINITY, f64::min);
        let has_capacity = |name: &&Name| {
            !choice::is_full(now, &self.members[*name], context)
                && !full_groups.contains(&self.members[*name].group_name())
                && !slow::is_too_slow(slowness(name), fastest)
        };
        let open = candidates.iter().filter(has_capacity).collect();
        let open = self.keep_trials_apart(now, open, is_trial);
        let scored = open.into_iter().map(|name| (name, &self.members[name]));
        match choice::least_loaded(now, scored, context, &mut self.rng) {
            Some(server) => Ok(Picked { server, trial: is_trial }),
            None if !candidates.is_empty() => Err(Reason::Full),
            None if cold => Err(Reason::Cold),
            None if any => Err(Reason::Full),
            None => Err(Reason::NoServer),
        }
    }

    /// Leaves out servers where a trial would wait beside other requests, if there are
    /// others: if a trial crashes its server, the requests that wait there are suspected.
    fn keep_trials_apart<'a>(
        &self,
        now: Duration,
        servers: Vec<&'a Name>,
        is_trial: bool,
    ) -> Vec<&'a Name> {
        let is_shared = |name: &Name| {
            let waits = || self.members[name].work(now).tokens > 0;
            self.suspects.has_trial(now, name) || (is_trial && waits())
        };
        let apart: Vec<&Name> = servers.iter().copied().filter(|name| !is_shared(name)).collect();
        if apart.is_empty() { servers } else { apart }
    }

    /// Records the start of an attempt at a server.
    pub(super) fn begin_attempt(
        &mut self,
        now: Duration,
        ticket: &mut Ticket,
        Picked { server, trial }: Picked,
    ) -> Target {
        ticket.attempts_left = ticket.attempts_left.saturating_sub(1);
        ticket.tried.push(server.clone());
        self.suspects.begin_wait(&ticket.prompt, &server);
        let member = self.members.get_mut(&server).expect("chosen from the members");
        let cold = member.is_cold(now);
        if cold {
            member.bucket.take();
        }
        ticket.start = Some(member.start(&server));
        let open = member.work(now).open;
        let work = Work { open: 1, tokens: ticket.prompt.tokens };
        member.own = member.own.plus(work);
        Target {
            address: member.server.address,
            zone: member.server.zone.clone(),
            started_ms: member.server.started_ms,
            server,
            open,
            cold,
            trial,
        }
    }
}
