//! Timers: deadlines, retries, agent timeouts, heartbeats and gossip.

use std::time::Duration;

use rand::seq::IndexedRandom;
use wire::{Message, RequestId, Resend};

use super::{Output, Router};
use crate::members::{JOIN_PEERS, is_lost};
use crate::request::Request;

/// Time without messages for an attempt after which its agent is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without messages after which the agent is probed when later chunks or
/// the end have already arrived.
const GAP_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Unanswered probes above which an agent that left the host list counts as lost.
const PROBE_LIMIT: u32 = 3;
/// Interval between two rounds of gossip with other entries.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Entries contacted in a round of gossip.
const GOSSIP_PEERS: usize = 2;

impl Router {
    pub(super) fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.gossip_round(now, outputs);
        for link in self.members.take_due_heartbeats(now) {
            outputs.push(Output::Send(link, Message::Heartbeat));
        }
        self.expire_due(now, outputs);
        self.retry_due(now, outputs);
        self.fail_unresponsive(now, outputs);
        self.probe_stalled(now, outputs);
    }

    fn expire_due(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let due = self.requests.iter().filter(|(_, request)| request.deadline <= now);
        let ids: Vec<RequestId> = due.map(|(id, _)| *id).collect();
        for id in ids {
            self.expire(now, id, outputs);
        }
    }

    fn retry_due(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let due = |request: &Request| request.retry_at.is_some_and(|retry_at| retry_at <= now);
        let due_requests = self.requests.iter().filter(|(_, request)| due(request));
        let ids: Vec<RequestId> = due_requests.map(|(id, _)| *id).collect();
        for id in ids {
            self.dispatch(now, id, outputs);
        }
    }

    fn fail_unresponsive(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut unresponsive = std::collections::BTreeSet::new();
        for request in self.requests.values() {
            let Some(attempt) = &request.attempt else { continue };
            let lost = match self.members.member(&attempt.server) {
                Some(member) => is_lost(now, member),
                None => attempt.probes > PROBE_LIMIT,
            };
            if lost {
                unresponsive.insert(request.dispatch.id);
            }
        }
        self.fail_unreachable(now, |request| unresponsive.contains(&request.dispatch.id), outputs);
    }

    fn probe_stalled(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let mut probed = Vec::new();
        for request in self.requests.values_mut() {
            if let Some((server, message)) = probe(now, request) {
                probed.push(server.clone());
                let link = request.attempt.as_ref().map(|attempt| attempt.link.clone());
                outputs.extend(link.map(|link| Output::Send(link, message)));
            }
        }
        for server in probed {
            self.members.expect_reply(now, &server);
        }
    }

    fn gossip_round(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let due = self.last_gossip.is_none_or(|last| now.saturating_sub(last) >= GOSSIP_INTERVAL);
        if !due {
            return;
        }
        self.last_gossip = Some(now);
        let peers = self.peer_links();
        let joining = self.joined.is_none();
        if self.peer_answered || self.platform_answered {
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
fn probe(now: Duration, request: &mut Request) -> Option<(tables::Name, Message)> {
    let id = request.dispatch.id;
    let number = request.dispatch.attempt;
    let attempt = request.attempt.as_mut()?;
    let has_gap = !attempt.buffered.is_empty() || attempt.end.is_some();
    let interval = if has_gap { GAP_PROBE_INTERVAL } else { PROBE_INTERVAL };
    let since = attempt.last_received.max(attempt.last_probe);
    if now.saturating_sub(since) < interval {
        return None;
    }
    attempt.last_probe = now;
    attempt.probes += 1;
    let resend = Resend { id, attempt: number, from: attempt.next_index };
    Some((attempt.server.clone(), Message::Resend(resend)))
}
