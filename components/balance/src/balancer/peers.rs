//! Gossip between entries: heartbeats, pulls and slowness reports.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::{Name, Position};

use super::{Balancer, Lag, Neighbour, PEER_LIFETIME, STORE_LIFETIME};
use crate::content::{Kind, Peer};
use crate::gossip::{Heartbeat, Message, Work};
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
        if *from == self.options.name || !self.is_current(from, incarnation) {
            return Vec::new();
        }
        let last_store_reply = match &message {
            Message::Heartbeat(heartbeat) => heartbeat
                .store_age_ms
                .map(|age| now.saturating_sub(Duration::from_millis(age.into()))),
            _ => self.neighbours.get(from).and_then(|known| known.last_store_reply),
        };
        let is_stale =
            |reply: Option<Duration>| reply.is_none_or(|reply| now > reply + STORE_LIFETIME);
        let known = self.neighbours.get(from).map(|known| known.last_store_reply);
        if known.is_some_and(is_stale)
            && !is_stale(last_store_reply)
            && is_stale(self.last_store_reply)
        {
            self.record_reconnect(now);
        }
        let is_new = self.neighbours.get(from).is_none_or(|known| known.incarnation < incarnation);
        let neighbour =
            Neighbour { link: link.clone(), last_seen: now, incarnation, last_store_reply };
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
                self.apply(now, Update::Changes { kind, era, delta });
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

    /// Whether a message comes from the latest known process of an entry's host.
    fn is_current(&self, from: &Name, incarnation: u64) -> bool {
        self.neighbours.get(from).is_none_or(|known| incarnation >= known.incarnation)
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
        let eras = heartbeat.positions.iter().map(|(_, position)| position.era);
        self.peer_era = eras.fold(self.peer_era, u64::max);
        let era = self.era();
        let mut pulls = Vec::new();
        for (kind, position) in heartbeat.positions {
            if let Some(age) = heartbeat.store_age_ms
                && position == self.view.position(kind)
                && position.era == era
            {
                let age = Duration::from_millis(age.into());
                self.view.record_synced(kind, now.saturating_sub(age));
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
        let follows = self.follows_store(now);
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

    /// The heartbeat for the other entries.
    pub fn heartbeat(&self, now: Duration) -> Message {
        self.heartbeat_with(now, Scope::Due)
    }

    /// A heartbeat with what `scope` says of suspected prompt parts.
    fn heartbeat_with(&self, now: Duration, scope: Scope) -> Message {
        let positions = Kind::ALL.iter().map(|kind| (*kind, self.view.position(*kind))).collect();
        let busy = self.members.iter().filter(|(_, member)| member.own.open > 0);
        let load = busy.map(|(name, member)| (name.clone(), member.own)).collect();
        let age = self.last_store_reply.map(|reply| now.saturating_sub(reply).as_millis());
        Message::Heartbeat(Heartbeat {
            positions,
            config: self.config().map_or(0, |config| config.version),
            holds: self.view.hold_reports(now),
            load,
            crashes: self.crashes.report(),
            suspects: self.suspects.report(now, scope),
            departing: self.notices.leaving_starts(),
            store_age_ms: age.map(|age| age.min(u128::from(u32::MAX)) as u32),
            leaving: self.leaving,
        })
    }
}
