//! Timers: deadlines, retries, agent timeouts, heartbeats and gossip.

use std::time::Duration;

use rand::seq::IndexedRandom;
use wire::{Message, RequestId, Resend};

use super::{Output, Router};
use crate::members::{JOIN_PEERS, is_lost};
use crate::request::Request;

/// Time without messages for an attempt after which its agent is probed.
const ASK_AFTER: Duration = Duration::from_secs(1);
/// Time without messages after which the agent is probed when later chunks or
/// the end have already arrived.
const GAP_AFTER: Duration = Duration::from_millis(200);
/// Unanswered probes above which an agent that left the host list counts as lost.
const PROBE_LIMIT: u32 = 3;
/// Interval between two rounds of gossip with other entries.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Entries contacted in a round of gossip.
const GOSSIP_PEERS: usize = 2;

impl Router {
    pub(super) fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.gossip_round(now, outputs);
        for link in self.members.due(now) {
            outputs.push(Output::Send(link, Message::Heartbeat));
        }
        self.expire_due(now, outputs);
        self.dispatch_again(now, outputs);
        self.lose_silent(now, outputs);
        self.ask_silent(now, outputs);
    }

    fn expire_due(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let due = self.requests.iter().filter(|(_, request)| request.deadline <= now);
        let ids: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in ids {
            self.expire(now, id, outputs);
        }
    }

    fn dispatch_again(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let due = |request: &Request| request.again.is_some_and(|again| again <= now);
        let picked = self.requests.iter().filter(|(_, request)| due(request));
        let ids: Vec<RequestId> = picked.map(|(id, _)| *id).collect();
        for id in ids {
            self.dispatch(now, id, outputs);
        }
    }

    fn lose_silent(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut silent = std::collections::BTreeSet::new();
        for request in self.requests.values() {
            let Some(attempt) = &request.attempt else { continue };
            let lost = match self.members.member(&attempt.server) {
                Some(member) => is_lost(now, member),
                None => attempt.probes > PROBE_LIMIT,
            };
            if lost {
                silent.insert(request.dispatch.id);
            }
        }
        self.lose(now, |request| silent.contains(&request.dispatch.id), outputs);
    }

    fn ask_silent(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut asked = Vec::new();
        for request in self.requests.values_mut() {
            if let Some((server, message)) = ask(now, request) {
                asked.push(server.clone());
                let link = request.attempt.as_ref().map(|attempt| attempt.link.clone());
                outputs.extend(link.map(|link| Output::Send(link, message)));
            }
        }
        for server in asked {
            self.members.expect(now, &server);
        }
    }

    fn gossip_round(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let due = self.gossiped.is_none_or(|last| now.saturating_sub(last) >= GOSSIP_INTERVAL);
        if !due {
            return;
        }
        self.gossiped = Some(now);
        let peers = self.peers();
        let joining = self.joined.is_none();
        if self.answered_peers || self.platform_seen {
            self.joined.get_or_insert(now);
        }
        // Pulls from peers in each round until the platform or a peer has answered.
        if joining {
            for link in peers.choose_multiple(&mut self.rng, JOIN_PEERS) {
                let pull = Message::Pull(self.revision());
                outputs.push(Output::Send(link.clone(), pull));
                outputs.push(Output::Send(link.clone(), Message::PullHosts));
            }
            return;
        }
        let chosen = peers.choose_multiple(&mut self.rng, GOSSIP_PEERS);
        outputs.extend(chosen.map(|link| Output::Send(link.clone(), Message::Heartbeat)));
    }
}

/// The resend request for an attempt without recent messages, and its server.
fn ask(now: Duration, request: &mut Request) -> Option<(tables::Name, Message)> {
    let id = request.dispatch.id;
    let number = request.dispatch.attempt;
    let attempt = request.attempt.as_mut()?;
    let gap = !attempt.early.is_empty() || attempt.end.is_some();
    let wait = if gap { GAP_AFTER } else { ASK_AFTER };
    let since = attempt.heard.max(attempt.asked);
    if now.saturating_sub(since) < wait {
        return None;
    }
    attempt.asked = now;
    attempt.probes += 1;
    let resend = Resend { id, attempt: number, from: attempt.next };
    Some((attempt.server.clone(), Message::Resend(resend)))
}
