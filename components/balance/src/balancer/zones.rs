//! Locality-aware routing: the inputs of [`zone`](crate::zone) from the entry's state.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use tables::Name;

use super::{Balancer, HEARTBEAT_TIMEOUT, PEER_LIFETIME};
use crate::config::Engine;
use crate::ticket::Ticket;
use crate::zone::{Change, Input, Preference, Register, Settings};

/// Time left until the objective, as a multiple of the price of a crossing, below which a
/// request prefers no zone.
const HURRY: u32 = 4;

impl Balancer {
    /// Applies the settings of locality-aware routing. Whatever is known is dropped if it
    /// is switched off or on.
    pub fn set_zones(&mut self, settings: Settings) {
        if settings.prefer_local != self.zones.settings.prefer_local {
            self.zones = Register::default();
        }
        self.zones.settings = settings;
    }

    /// Records the size of a request and its response in bytes.
    pub fn record_size(&mut self, pool: &Name, bytes: u64) {
        if self.zones.settings.prefer_local {
            self.zones.record_size(pool, bytes);
        }
    }

    /// Takes the changes of zone shares that are to be logged.
    pub fn take_zone_changes(&mut self) -> Vec<Change> {
        self.zones.take_changes()
    }

    /// The zone state.
    pub fn zones(&self) -> &Register {
        &self.zones
    }

    /// The zone that a request prefers; `None` if locality-aware routing is disabled, if
    /// it is a retry or if it is close to its objective.
    pub(super) fn zone_preference(
        &mut self,
        now: Duration,
        ticket: &Ticket,
        engine: Option<&Engine>,
    ) -> Option<Preference> {
        let settings = self.zones.settings;
        if !settings.prefer_local {
            return None;
        }
        if self.zones.is_due(now, &ticket.pool) {
            self.step_zones(now, &ticket.pool);
        }
        let left = (ticket.arrived + ticket.objective).saturating_sub(now);
        if !ticket.tried.is_empty() || left < settings.price(0.0) * HURRY {
            return None;
        }
        let home = &self.options.zone;
        Some(match engine {
            Some(engine) => {
                let pace = self.paces.get(&ticket.pool).copied().unwrap_or_default();
                let mean = if pace.is_known(now) { pace.mean_gap() } else { Duration::ZERO };
                self.zones.engine(home, &ticket.pool, engine, (mean, pace.accepted_gap()))
            }
            None => {
                let drawn = self.rng.random::<f64>();
                self.zones.service(home, &ticket.pool, drawn)
            }
        })
    }

    /// Collects the load of a pool by zone and takes a step.
    fn step_zones(&mut self, now: Duration, pool: &Name) {
        let home = self.options.zone.clone();
        let mut input = Input { home: home.clone(), ..Input::default() };
        let peers: BTreeMap<&Name, &Name> =
            self.view.peers().map(|(name, peer)| (name, &peer.zone)).collect();
        let cold_rate = self.view.config().and_then(|config| config.pools.get(pool));
        let is_cold_limited = cold_rate.is_some_and(|pool| pool.cold_rate > 0.0);
        let (mut open, mut usable) = (0.0, BTreeSet::new());
        let mut group_zones = BTreeSet::new();
        for (name, member) in self.members.iter().filter(|(_, member)| member.server.pool == *pool)
        {
            open += f64::from(member.own.open);
            if let Some(group) = &member.server.group {
                group_zones.insert((&group.name, &member.server.zone));
            }
            let start = member.start(name);
            if !member.is_usable(now)
                || self.notices.is_blocked(now, &start)
                || self.view.is_held(now, &start)
                || self.view.is_zone_out(now, &member.server.zone)
            {
                continue;
            }
            usable.insert(name.clone());
            let load = input.zones.entry(member.server.zone.clone()).or_default();
            if !(is_cold_limited && member.is_cold(now)) {
                load.slots += f64::from(member.server.slots);
            }
            input.demand += f64::from(member.own.open);
            for (from, work) in member.reports(now) {
                if peers.get(from).is_some_and(|zone| **zone == home) {
                    input.demand += f64::from(work.open);
                } else {
                    load.foreign += f64::from(work.open);
                }
            }
        }
        for (name, zone) in &peers {
            let seen = self.neighbours.get(*name).map_or(Duration::ZERO, |other| other.last_seen);
            let is_silent = **name != self.options.name && now > seen + HEARTBEAT_TIMEOUT;
            // After a longer silence of a gateway of the home zone, its callers are taken
            // to be at the others. In another zone, it may only be unreachable from here.
            let is_gone = **zone == home && now > seen + PEER_LIFETIME;
            if let Some(load) = input.zones.get_mut(*zone) {
                load.silent |= is_silent && !is_gone;
            }
        }
        let zones_of = |group: &Name| group_zones.iter().filter(|(name, _)| *name == group).count();
        let names = group_zones.iter().map(|(name, _)| (*name).clone());
        let spanning = names.filter(|name| zones_of(name) > 1).collect();
        self.zones.step(now, pool, input, open, usable, spanning);
    }
}
