//! Selects the backend server for the next attempt and dispatches it.

use std::time::Duration;

use tables::Name;
use wire::{Message, Reason, RequestId};
use xxhash_rust::xxh3::xxh3_64;

use super::{Output, Router};
use crate::choice::{self, Candidate};
use crate::members::Member;
use crate::request::{Attempt, Request};
use crate::trace::Note;

/// The selected backend server.
struct Choice {
    pool: Name,
    server: Name,
    link: Name,
    incarnation: u64,
    candidates: usize,
}

impl Router {
    /// Sends the next attempt of a request, or gives up if no server is eligible.
    pub(super) fn dispatch(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(choice) = self.select(now, request) else {
            self.give_up(now, id, outputs);
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts += 1;
        request.retry_at = None;
        let dispatch = &mut request.dispatch;
        dispatch.attempt = request.attempts;
        dispatch.incarnation = choice.incarnation;
        dispatch.pool = choice.pool;
        dispatch.remaining = request.deadline.saturating_sub(now);
        dispatch.resume = request.events;
        request.attempt = Some(Attempt {
            server: choice.server.clone(),
            link: choice.link.clone(),
            incarnation: choice.incarnation,
            last_received: now,
            last_probe: now,
            probes: 0,
            head: None,
            next_index: 0,
            buffered: Default::default(),
            buffered_bytes: 0,
            end: None,
        });
        self.members.tracker.started(now, &choice.server, request.prompt_tokens);
        self.prefix.record(now, &choice.server, &request.blocks);
        let note = Note::Sent {
            attempt: dispatch.attempt,
            server: choice.server,
            candidates: choice.candidates,
            resume: dispatch.resume,
        };
        self.trace.record(now, id, note);
        outputs.push(Output::Send(choice.link, Message::Dispatch(dispatch.clone())));
    }

    /// Selects a server from the first pool, in the route's order, that has one
    /// eligible.
    fn select(&self, now: Duration, request: &Request) -> Option<Choice> {
        for pool in &request.pools {
            let table = self.gossip.table();
            let mut members = self.members.eligible(now, table, pool);
            members.retain(|member| !request.excluded.contains(&member.host.name));
            let count = members.len();
            let selected = match &request.dispatch.key {
                _ if request.dispatch.idempotent => self.select_by_score(now, request, &members),
                Some(key) => select_by_key(key, &members),
                None => self.select_by_score(now, request, &members),
            };
            let Some(position) = selected else { continue };
            let member = members[position];
            return Some(Choice {
                pool: pool.clone(),
                server: member.host.name.clone(),
                link: member.host.link.clone(),
                incarnation: member.incarnation,
                candidates: count,
            });
        }
        None
    }

    fn select_by_score(
        &self,
        now: Duration,
        request: &Request,
        members: &[&Member],
    ) -> Option<usize> {
        let shares = self.prefix.shares(now, &request.blocks);
        let candidate = |member: &&Member| Candidate {
            server: member.host.name.clone(),
            same_zone: member.host.zone == self.options.zone,
            in_service: true,
            view: self.members.view(now, &member.host.name),
            in_flight: self.members.tracker.in_flight(&member.host.name),
            cached: shares.get(&member.host.name).copied().unwrap_or(0.0),
        };
        let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
        // Cloned because `members` borrows the router. A stream per request and
        // attempt keeps the choices independent.
        let mut rng = self.rng.clone();
        let stream = request.dispatch.id.as_u64_pair().1 ^ u64::from(request.attempts);
        rng.set_stream(stream);
        choice::choose(&mut rng, &candidates, request.prompt_tokens)
    }

    /// Ends a request that has no eligible backend server, or schedules a retry.
    fn give_up(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else { return };
        let reason = if request.attempts == 0 { Reason::NoServer } else { request.reason };
        if !self.schedule_retry(now, id) {
            self.fail_request(now, id, reason, outputs);
        }
    }
}

/// Selects the backend server for an idempotency key by rendezvous hashing, so
/// that all entries send the same key to the server that holds its claims.
fn select_by_key(key: &Name, members: &[&Member]) -> Option<usize> {
    let weight = |position: &usize| {
        let name = &members[*position].host.name;
        xxh3_64(format!("{key}\0{name}").as_bytes())
    };
    (0..members.len()).max_by_key(weight)
}
