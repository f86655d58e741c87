//! Gossip between entries: heartbeats, pulls and slowness reports.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::{Name, Position};

use super::{Balancer, HEARTBEAT_TIMEOUT, Lag, Neighbour, OUTAGE_MIN, PEER_LIFETIME};
use crate::content::{Kind, Peer};
use crate::gossip::{Heartbeat, Message, Replica, Work};
use crate::slow::Slowness;
use crate::suspect::Scope;
use crate::view::Update;

/// Lag behind another entry after which changes are pulled from it. Until then,
/// the store's own answer is usually on its way.
const PULL_AFTER: Duration = Duration::from_millis(120);

/// Minimum time between two pulls of the same kind.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

impl Balancer {
    /// The number of entries that share limits, this one included.
    pub fn entries(&self, now: Duration) -> usize {
        let live = self.neighbours.values().filter(|other| now < other.last_seen + PEER_LIFETIME);
        1 + live.count()
    }

    /// The description that this entry writes to the store.
    pub fn self_description(&self) -> Peer {
        Peer { link: self.options.link.clone(), zone: self.options.zone.clone() }
    }

    /// Handles a message from another entry or an agent. Returns messages to send,
    /// each with the link of its receiver.
    pub fn handle(
        &mut self,
        now: Duration,
        from: &Name,
        incarnation: u64,
        link: &Name,
        message: Message,
    ) -> Vec<(Name, Message)> {
        if let Message::Slowness(slowness) = message {
            self.apply_slowness(now, slowness);
            return Vec::new();
        }
        if *from == self.options.name || !self.is_current(now, from, incarnation) {
            return Vec::new();
        }
        let known = self.neighbours.get(from);
        let is_new = known.is_none_or(|known| known.incarnation != incarnation);
        let store_replies: BTreeMap<Kind, Duration> = match &message {
            Message::Heartbeat(heartbeat) => {
                let replicas = heartbeat.replicas.iter();
                replicas
                    .filter_map(|replica| Some((replica.kind, replica.answered_at(now)?)))
                    .collect()
            }
            _ => known.map(|known| known.store_replies.clone()).unwrap_or_default(),
        };
        let lacks_store = |replies: &BTreeMap<Kind, Duration>| {
            replies.values().max().is_none_or(|last| now > *last + OUTAGE_MIN)
        };
        if known.is_some_and(|known| lacks_store(&known.store_replies))
            && !lacks_store(&store_replies)
            && lacks_store(&self.store_replies)
        {
            self.record_reconnect(now);
        }
        let neighbour =
            Neighbour { link: link.clone(), last_seen: now, incarnation, store_replies };
        self.neighbours.insert(from.clone(), neighbour);
        match message {
            Message::Heartbeat(heartbeat) => {
                self.informed |= heartbeat.suspects.complete;
                let is_starting = is_new && !heartbeat.leaving;
                let mut replies = self.apply_heartbeat(now, from, link, heartbeat);
                if is_starting {
                    // Tells an entry that has just started of blocked prompt parts.
                    replies.push((link.clone(), self.heartbeat_with(now, Scope::All)));
                }
                replies
            }
            Message::Pull(kind, since) => {
                let (era, delta) = self.view.delta(kind, since);
                vec![(link.clone(), Message::Rows(kind, era, delta))]
            }
            Message::Rows(kind, era, delta) => {
                self.apply_relayed(now, Update::Changes { kind, era, delta });
                Vec::new()
            }
            // Handled above, since agents are not entries.
            Message::Slowness(_) => Vec::new(),
        }
    }

    /// Applies the slowness report of a rank group's leader. Returns whether the
    /// slow ranks changed.
    pub fn apply_slowness(&mut self, now: Duration, slowness: Slowness) -> bool {
        self.slow.apply(now, slowness)
    }

    /// Whether a message comes from the current process of an entry's host. A later
    /// process may have a lower incarnation if the host's clock was set back; the
    /// earlier one is silent then.
    fn is_current(&self, now: Duration, from: &Name, incarnation: u64) -> bool {
        self.neighbours.get(from).is_none_or(|known| {
            incarnation >= known.incarnation || now >= known.last_seen + HEARTBEAT_TIMEOUT
        })
    }

    fn apply_heartbeat(
        &mut self,
        now: Duration,
        from: &Name,
        link: &Name,
        heartbeat: Heartbeat,
    ) -> Vec<(Name, Message)> {
        if heartbeat.leaving {
            self.neighbours.remove(from);
        }
        let loads: BTreeMap<Name, Work> = heartbeat.load.into_iter().collect();
        for (name, member) in &mut self.members {
            member.apply_load(now, from.clone(), loads.get(name).copied());
        }
        self.crashes.apply_counts(now, from, &heartbeat.crashes);
        self.suspects.apply_report(now, from, heartbeat.suspects);
        for start in heartbeat.departing {
            self.notices.leave(now, start);
        }
        for report in heartbeat.holds {
            self.view.apply_hold_report(now, report);
        }
        let version = self.config().map_or(0, |config| config.version);
        let eras = heartbeat.replicas.iter().map(|replica| replica.position.era);
        self.peer_era = eras.fold(self.peer_era, u64::max);
        let era = self.era();
        let mut pulls = Vec::new();
        for replica in heartbeat.replicas {
            let Replica { kind, position, .. } = replica;
            // A copy that is complete up to a later position has the same changes.
            if let Some(answered_at) = replica.answered_at(now)
                && position <= self.view.position(kind)
                && position.era == era
            {
                self.view.record_synced(kind, answered_at);
            }
            // A restored store may hold an older configuration than the one in
            // force, at the same position.
            let config_lost = kind == Kind::Config && heartbeat.config > version;
            if self.should_pull(now, kind, position, config_lost) {
                let since =
                    if config_lost { Position::default() } else { self.view.position(kind) };
                pulls.push((link.clone(), Message::Pull(kind, since)));
            }
        }
        pulls
    }

    /// Whether to pull a kind from another entry: it is ahead for too long, or it
    /// has a configuration that the store lost (`config_lost`).
    fn should_pull(
        &mut self,
        now: Duration,
        kind: Kind,
        position: Position,
        config_lost: bool,
    ) -> bool {
        if position <= self.view.position(kind) && !config_lost {
            self.lags.remove(&kind);
            return false;
        }
        let follows = self.follows_store(now, kind);
        let lag = self.lags.entry(kind).or_insert(Lag { since: now, pulled_at: None });
        let is_waiting = follows && self.view.is_known(kind) && now < lag.since + PULL_AFTER;
        if is_waiting || lag.pulled_at.is_some_and(|pulled_at| now < pulled_at + PULL_INTERVAL) {
            return false;
        }
        lag.pulled_at = Some(now);
        true
    }

    /// The links of all known entries except this one.
    pub fn links(&self) -> Vec<Name> {
        let mut links: Vec<Name> =
            self.neighbours.values().map(|other| other.link.clone()).collect();
        links.extend(self.view.peers().map(|(_, peer)| peer.link.clone()));
        if self.neighbours.is_empty() {
            links.extend(self.options.seeds.iter().cloned());
        }
        links.sort();
        links.dedup();
        links.retain(|link| *link != self.options.link);
        links
    }

    /// The description of this entry's copy of a kind.
    fn replica(&self, now: Duration, kind: Kind) -> Replica {
        let age = self.store_replies.get(&kind).map(|at| now.saturating_sub(*at).as_millis());
        Replica {
            kind,
            position: self.view.position(kind),
            answered_ms: age.map(|age| age.min(u128::from(u32::MAX)) as u32),
        }
    }

    /// The heartbeat for the other entries.
    pub fn heartbeat(&self, now: Duration) -> Message {
        self.heartbeat_with(now, Scope::Due)
    }

    /// A heartbeat with what `scope` says of suspected prompt parts.
    fn heartbeat_with(&self, now: Duration, scope: Scope) -> Message {
        let replicas = Kind::ALL.into_iter().map(|kind| self.replica(now, kind)).collect();
        let busy = self.members.iter().filter(|(_, member)| member.own.open > 0);
        let load = busy.map(|(name, member)| (name.clone(), member.own)).collect();
        Message::Heartbeat(Heartbeat {
            replicas,
            config: self.config().map_or(0, |config| config.version),
            holds: self.view.hold_reports(now),
            load,
            crashes: self.crashes.report(),
            suspects: self.suspects.report(now, scope),
            departing: self.notices.leaving_starts(),
            leaving: self.is_leaving(),
        })
    }
}
