//! What entries tell each other, and what follows from it.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::{Name, Position};

use super::{Balancer, Behind, Neighbour, PEER_LIFETIME, STORE_LIFETIME};
use crate::content::{Kind, Peer};
use crate::gossip::{Heartbeat, Message, Work};
use crate::slow::Slowness;
use crate::view::Update;

/// Time that an entry may be behind another before it asks that one: the
/// store's own answer is usually on its way.
const PULL_AFTER: Duration = Duration::from_millis(120);

/// Least time between two questions about the same kind.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

impl Balancer {
    /// The number of entries that share limits, this one included.
    pub fn entries(&self, now: Duration) -> usize {
        let live = self.neighbours.values().filter(|other| now < other.heard + PEER_LIFETIME);
        1 + live.count()
    }

    /// What this entry writes about itself to the store.
    pub fn self_description(&self) -> Peer {
        Peer { link: self.options.link.clone(), zone: self.options.zone.clone() }
    }

    /// Takes in a message of another entry. Returns messages to send, with the
    /// links they go to.
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
        let store_heard = match &message {
            Message::Heartbeat(heartbeat) => heartbeat
                .store_age_ms
                .map(|age| now.saturating_sub(Duration::from_millis(age.into()))),
            _ => self.neighbours.get(from).and_then(|known| known.store_heard),
        };
        let lost = |heard: Option<Duration>| heard.is_none_or(|heard| now > heard + STORE_LIFETIME);
        let known = self.neighbours.get(from).map(|known| known.store_heard);
        if known.is_some_and(lost) && !lost(store_heard) && lost(self.store_heard) {
            self.record_reconnect(now);
        }
        let neighbour = Neighbour { link: link.clone(), heard: now, incarnation, store_heard };
        self.neighbours.insert(from.clone(), neighbour);
        match message {
            Message::Heartbeat(heartbeat) => self.take_heartbeat(now, from, link, heartbeat),
            Message::Pull(kind, since) => {
                let (era, delta) = self.view.delta(kind, since);
                vec![(link.clone(), Message::Rows(kind, era, delta))]
            }
            Message::Rows(kind, era, delta) => {
                self.apply(now, Update::Changes { kind, era, delta });
                Vec::new()
            }
            // Not from an entry: taken above.
            Message::Slowness(_) => Vec::new(),
        }
    }

    /// The leader of a rank group tells which ranks are slow. Returns whether
    /// that is news.
    pub fn apply_slowness(&mut self, now: Duration, slowness: Slowness) -> bool {
        self.slow.hear(now, slowness)
    }

    /// Whether a frame comes from the newest process of its host that is known.
    fn is_current(&self, from: &Name, incarnation: u64) -> bool {
        self.neighbours.get(from).is_none_or(|known| incarnation >= known.incarnation)
    }

    fn take_heartbeat(
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
            member.hear(now, from.clone(), loads.get(name).copied());
        }
        self.crashes.hear(now, from, &heartbeat.crashes);
        for start in heartbeat.departing {
            self.notices.leave(now, start);
        }
        for told in heartbeat.holds {
            self.view.hear_hold(now, told);
        }
        let version = self.config().map_or(0, |config| config.version);
        let eras = heartbeat.positions.iter().map(|(_, position)| position.era);
        self.heard_era = eras.fold(self.heard_era, u64::max);
        let era = self.era();
        let mut pulls = Vec::new();
        for (kind, position) in heartbeat.positions {
            if let Some(age) = heartbeat.store_age_ms
                && position == self.view.position(kind)
                && position.era == era
            {
                let age = Duration::from_millis(age.into());
                self.view.note_current(kind, now.saturating_sub(age));
            }
            // After a restore the store may have an older configuration than
            // the one in force, at the same position.
            let lost = kind == Kind::Config && heartbeat.config > version;
            if self.should_pull(now, kind, position, lost) {
                let since = if lost { Position::default() } else { self.view.position(kind) };
                pulls.push((link.clone(), Message::Pull(kind, since)));
            }
        }
        pulls
    }

    /// Whether another entry is so far ahead that it is asked: it is at a later
    /// position, or has what the store `lost`.
    fn should_pull(&mut self, now: Duration, kind: Kind, position: Position, lost: bool) -> bool {
        if position <= self.view.position(kind) && !lost {
            self.behind.remove(&kind);
            return false;
        }
        let follows = self.follows_store(now);
        let behind = self.behind.entry(kind).or_insert(Behind { since: now, asked: None });
        let patient = follows && self.view.is_known(kind) && now < behind.since + PULL_AFTER;
        if patient || behind.asked.is_some_and(|asked| now < asked + PULL_INTERVAL) {
            return false;
        }
        behind.asked = Some(now);
        true
    }

    /// The links of all other entries that are known.
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

    /// What the other entries are told.
    pub fn heartbeat(&self, now: Duration) -> Message {
        let positions = Kind::ALL.iter().map(|kind| (*kind, self.view.position(*kind))).collect();
        let busy = self.members.iter().filter(|(_, member)| member.own.open > 0);
        let load = busy.map(|(name, member)| (name.clone(), member.own)).collect();
        let age = self.store_heard.map(|heard| now.saturating_sub(heard).as_millis());
        Message::Heartbeat(Heartbeat {
            positions,
            config: self.config().map_or(0, |config| config.version),
            holds: self.view.told_holds(now),
            load,
            crashes: self.crashes.told(),
            departing: self.notices.told(),
            store_age_ms: age.map(|age| age.min(u128::from(u32::MAX)) as u32),
            leaving: self.leaving,
        })
    }
}
