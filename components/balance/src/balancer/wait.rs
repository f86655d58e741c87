//! Requests that differ in urgency: room for them, waiting and displacement.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use tables::Name;

use super::{Balancer, HEARTBEAT_TIMEOUT, MIN_ATTEMPT_TIME, PEER_LIFETIME};
use crate::config::Engine;
use crate::pace::DEFAULT_ACCEPTED_GAP;
use crate::queue::{Queue, Waiter};
use crate::room;
use crate::ticket::{Placement, Reason, Ticket};
use crate::urgency::{Scale, Urgency};

/// Longest wait for room.
const WAIT_MAX: Duration = Duration::from_millis(200);

/// Share of a request's latency objective for which it may wait. The rest is needed
/// until the first event.
const WAIT_SHARE: f64 = 0.4;

/// Largest number of requests that wait for a pool. Bounds the memory of their bodies.
const QUEUE_CAPACITY: usize = 64;

/// Limit for requests that were dispatched before, as a multiple of the limit for the
/// most urgent ones. Their earlier attempts no longer use room.
const RETRY_LIMIT_RATIO: f64 = 1.2;

/// Range of the random factor of a `Retry-After` time.
const RETURN_SPREAD: (f64, f64) = (1.0, 1.5);

/// The load of a pool as a gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowding {
    /// Requests that wait for the pool at this entry.
    pub waiting: usize,
    /// Mean number of open requests of the ranks of the least loaded group.
    pub open: f64,
    /// Age of the oldest heartbeat that this is based on.
    pub report_age: Duration,
}

impl Balancer {
    /// Decides on a request that no backend server has yet. To be called again for one
    /// that waits, until it is dispatched or refused.
    pub fn place(&mut self, now: Duration, ticket: &mut Ticket) -> Placement {
        match ticket.urgency {
            Some(urgency) => self.place_in_turn(now, ticket, urgency),
            None => match self.choose(now, ticket) {
                Ok(target) => Placement::Dispatch(target),
                Err(refusal) => Placement::Refuse(refusal),
            },
        }
    }

    /// Removes a request from the queue of its pool, because its caller has left.
    pub fn leave_queue(&mut self, ticket: &mut Ticket) {
        if let Some(id) = ticket.waiter.take()
            && let Some(queue) = self.queues.get_mut(&ticket.pool)
        {
            queue.remove(id);
        }
    }

    fn queue(&mut self, pool: &Name) -> &mut Queue {
        self.queues.entry(pool.clone()).or_insert_with(|| Queue::new(QUEUE_CAPACITY))
    }

    fn place_in_turn(&mut self, now: Duration, ticket: &mut Ticket, urgency: Urgency) -> Placement {
        if now + MIN_ATTEMPT_TIME >= ticket.deadline {
            return self.refuse_waiter(now, ticket, Reason::DeadlineExceeded);
        }
        let queue = self.queue(&ticket.pool);
        let is_first = match ticket.waiter {
            Some(id) if !queue.contains(id) => {
                return self.refuse_waiter(now, ticket, Reason::Displaced);
            }
            Some(id) => queue.front(now) == Some(id),
            None => queue.ahead(urgency) == 0,
        };
        let reason = if is_first {
            match self.pick(now, ticket) {
                Ok(picked) => {
                    let queue = self.queue(&ticket.pool);
                    if let Some(id) = ticket.waiter.take() {
                        queue.grant(id);
                    }
                    queue.record_dispatch(now);
                    return Placement::Dispatch(self.begin_attempt(now, ticket, picked));
                }
                Err(reason) => reason,
            }
        } else {
            Reason::Full
        };
        ticket.waited |= reason == Reason::Suspected;
        if !matches!(reason, Reason::Full | Reason::Cold) {
            return self.refuse_waiter(now, ticket, reason);
        }
        self.wait(now, ticket, urgency, reason)
    }

    /// Queues a request, or lets it go on waiting, if that may still help it.
    fn wait(
        &mut self,
        now: Duration,
        ticket: &mut Ticket,
        urgency: Urgency,
        reason: Reason,
    ) -> Placement {
        let time = ticket.objective.mul_f64(WAIT_SHARE).min(WAIT_MAX);
        let expires = (ticket.arrived + time).min(ticket.deadline);
        if ticket.waiter.is_some() {
            if now >= expires {
                return self.refuse_waiter(now, ticket, Reason::Waited);
            }
            return Placement::Wait;
        }
        let id = self.waiters;
        let account = ticket.account.clone();
        let queue = self.queue(&ticket.pool);
        let waiter = Waiter { urgency, account, arrived: now, expires };
        let is_hopeless = now + queue.expected_wait(urgency) >= expires;
        if is_hopeless || queue.push(id, waiter).is_err() {
            return self.refuse_waiter(now, ticket, reason);
        }
        self.waiters += 1;
        ticket.waiter = Some(id);
        Placement::Wait
    }

    fn refuse_waiter(&mut self, now: Duration, ticket: &mut Ticket, reason: Reason) -> Placement {
        self.leave_queue(ticket);
        Placement::Refuse(self.refuse(now, ticket, reason))
    }

    /// Time after which the refused caller of a request should return for room. `None`
    /// if all requests to the pool are equally urgent.
    pub(super) fn return_time(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        reason: Reason,
    ) -> Option<Duration> {
        let is_full = matches!(reason, Reason::Full | Reason::Waited | Reason::Displaced);
        let urgency = ticket.urgency.filter(|_| is_full)?;
        let wait = self.queue(&ticket.pool).schedule_return(now, urgency);
        Some(wait.mul_f64(self.rng.random_range(RETURN_SPREAD.0..RETURN_SPREAD.1)))
    }

    /// Takes over the urgencies of a changed configuration.
    pub(super) fn refresh_scales(&mut self, previous: Option<u64>) {
        let Some(config) = self.view.config() else { return };
        if previous == Some(config.version) {
            return;
        }
        let scales = config.pools.keys().map(|pool| (pool.clone(), Scale::of(config, pool)));
        self.scales = scales.filter(|(_, scale)| scale.is_graded()).collect();
        self.rooms.retain(|(pool, _), _| self.scales.contains_key(pool));
        self.queues.retain(|pool, _| self.scales.contains_key(pool));
    }

    /// The groups of a pool that have no room for a request.
    pub(super) fn full_groups(
        &self,
        now: Duration,
        ticket: &Ticket,
        engine: Option<&Engine>,
    ) -> BTreeSet<Option<Name>> {
        let Some((urgency, engine)) = ticket.urgency.zip(engine) else { return BTreeSet::new() };
        let is_retry = !ticket.tried.is_empty();
        let depth = if is_retry || self.is_aged_turn(ticket) {
            0.0
        } else {
            self.scales.get(&ticket.pool).map_or(0.0, |scale| scale.depth(scale.level(urgency)))
        };
        let accepted = ticket.gap.unwrap_or(DEFAULT_ACCEPTED_GAP);
        let retry = if is_retry { RETRY_LIMIT_RATIO } else { 1.0 };
        let share = self.common_share(now) * retry;
        let is_full = |(group, open): &(Option<Name>, f64)| {
            let key = (ticket.pool.clone(), group.clone());
            let limit = self.rooms.get(&key).copied().unwrap_or_default();
            let limit = limit.limit(now, engine, accepted);
            *open >= room::share(limit, engine.slots, depth) * share
        };
        let open = self.mean_open(now, &ticket.pool).into_iter();
        open.filter(is_full).map(|(group, _)| group).collect()
    }

    fn is_aged_turn(&self, ticket: &Ticket) -> bool {
        let queue = self.queues.get(&ticket.pool).filter(|_| ticket.waiter.is_some());
        queue.is_some_and(Queue::is_aged_turn)
    }

    /// Mean number of open requests of a pool's engines, by group.
    fn mean_open(&self, now: Duration, pool: &Name) -> BTreeMap<Option<Name>, f64> {
        let mut sums: BTreeMap<Option<Name>, (u32, u32)> = BTreeMap::new();
        for member in self.members.values().filter(|member| member.server.pool == *pool) {
            let (open, count) = sums.entry(member.group_name()).or_default();
            *open += member.work(now).open;
            *count += 1;
        }
        let mean = |(group, (open, count))| (group, f64::from(open) / f64::from(count));
        sums.into_iter().map(mean).collect()
    }

    /// Share of the room that the entries which this one hears may use. An entry that
    /// has lost most of the others can't know what they use, and leaves them theirs.
    fn common_share(&self, now: Duration) -> f64 {
        let seen = |within: Duration| {
            let recent = self.neighbours.values().filter(|other| now < other.last_seen + within);
            recent.count() as f64
        };
        let (known, heard) = (seen(PEER_LIFETIME), seen(HEARTBEAT_TIMEOUT));
        if heard < known / 2.0 { (1.0 + heard) / (1.0 + known) } else { 1.0 }
    }

    /// Records an event gap for the room of the server's group.
    pub(super) fn record_room(&mut self, now: Duration, pool: &Name, server: &str, gap: Duration) {
        if !self.scales.contains_key(pool) {
            return;
        }
        let config = self.view.config();
        let engine = config.and_then(|config| config.pools.get(pool)?.engine);
        let Some(engine) = engine else { return };
        let Some(member) = self.members.get(server) else { return };
        let key = (pool.clone(), member.group_name());
        let is_due = self.rooms.get(&key).is_none_or(|room| room.is_count_due(now));
        let running = if is_due { self.mean_open(now, pool).get(&key.1).copied() } else { None };
        self.rooms.entry(key).or_default().record(now, gap, running, &engine);
    }

    /// What a refusal for lack of room was decided by.
    pub fn crowding(&self, now: Duration, ticket: &Ticket) -> Crowding {
        let open = self.mean_open(now, &ticket.pool);
        let heard = self.neighbours.values().map(|other| now.saturating_sub(other.last_seen));
        Crowding {
            waiting: self.queues.get(&ticket.pool).map_or(0, Queue::len),
            open: open.values().copied().fold(f64::INFINITY, f64::min),
            report_age: heard.max().unwrap_or_default(),
        }
    }

    /// Room of each group for a dump.
    pub(super) fn room_report(&self, now: Duration) -> serde_json::Value {
        let open: BTreeMap<&Name, _> =
            self.scales.keys().map(|pool| (pool, self.mean_open(now, pool))).collect();
        let row = |((pool, group), room): (&(Name, Option<Name>), &room::Room)| {
            let engine = self.view.config()?.pools.get(pool)?.engine?;
            Some(serde_json::json!({
                "pool": pool,
                "group": group,
                "stretch": room.stretch(),
                "limit": room.limit(now, &engine, DEFAULT_ACCEPTED_GAP),
                "open": open.get(pool).and_then(|open| open.get(group)),
            }))
        };
        self.rooms.iter().filter_map(row).collect()
    }

    /// Length of each queue for a dump.
    pub(super) fn queue_report(&self) -> serde_json::Value {
        self.queues.iter().map(|(pool, queue)| (pool.to_string(), queue.len())).collect()
    }
}
