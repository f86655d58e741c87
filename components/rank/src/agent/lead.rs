//! What a leader does: orders through agents, or directly where one is silent.

use std::net::SocketAddr;
use std::time::Duration;

use balance::gossip;
use balance::slow::Slowness;
use group::switch::{Action, Command, Leader, Message, Order, Tuning};

use super::{Agent, BUSY, CHOICES, SLOW};
use crate::{fanout, rank_client};

impl Agent {
    /// Carries out what follows from the reports, if this agent leads.
    pub(super) async fn lead(&mut self) {
        if !self.follow.leads() {
            return;
        }
        let (Some(model), Some(report)) = (self.model, &self.report) else { return };
        if self.leader.is_none() {
            let tag = xxhash_rust::xxh3::xxh3_64(
                format!("{}/{}", self.settings.name, daemon::incarnation()).as_bytes(),
            );
            let tuning = Tuning { window: CHOICES, ..Tuning::default() };
            self.leader = Some(Leader::new(tuning, model, report.rank, tag));
        }
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let actions = leader.step(now);
        let epoch = leader.epoch();
        if leader.is_busy() {
            self.busy_until = now + BUSY;
        }
        let (maps, others): (Vec<Action>, Vec<Action>) =
            actions.into_iter().partition(|action| fanout::version(action).is_some());
        self.spread(epoch, maps).await;
        for action in others {
            self.act(epoch, action).await;
        }
    }

    /// Has all ranks copy a map, some agents passing it on to others. Whoever
    /// doesn't get it that way is sent it directly when it is due again.
    async fn spread(&mut self, epoch: u64, maps: Vec<Action>) {
        let Some(version) = fanout::shared(&maps).filter(|version| *version > self.spread) else {
            for action in maps {
                self.act(epoch, action).await;
            }
            return;
        };
        self.spread = version;
        let own = self.report.as_ref().map(|report| report.rank);
        let mut first = None;
        let (mut links, mut at_home) = (Vec::new(), None);
        for action in maps {
            let Action::Order(rank, order) = action else { continue };
            if Some(rank) == own {
                at_home = Some(order);
            } else if let Some(link) = self.links.get(&rank) {
                links.push(link.clone());
                first.get_or_insert(order);
            }
        }
        if let Some(order) = first {
            let bytes = self.model.map_or(0, |model| model.sets * model.experts);
            let leader = self.settings.name.clone();
            let command = Box::new(Command { leader, epoch, order });
            for mut group in fanout::groups(links, bytes, self.settings.link_rate()) {
                let others = group.split_off(1);
                let message = match others.is_empty() {
                    true => Message::Command(command.clone()),
                    false => Message::Relay(command.clone(), others),
                };
                self.push(&group[0], message);
            }
            self.link.flush(0);
        }
        if let Some(order) = at_home {
            self.carry_out(epoch, &order).await;
        }
    }

    async fn act(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Order(rank, order) => {
                if self.report.as_ref().is_some_and(|report| report.rank == rank) {
                    self.carry_out(epoch, &order).await;
                } else if let Some(link) = self.links.get(&rank).cloned() {
                    let leader = self.settings.name.clone();
                    let command = Command { leader, epoch, order };
                    self.push(&link, Message::Command(Box::new(command)));
                }
            }
            Action::Direct(rank, order) => self.order_directly(epoch, rank, order),
            Action::Planned(plan) => {
                log::info!(target: "leader", version = plan.version, epoch = epoch,
                    copies = plan.copies, skew_before = plan.skew.0, skew_after = plan.skew.1; "map planned");
            }
            Action::Done(version) => {
                log::info!(target: "leader", version = version; "map in use");
            }
            Action::Fenced(rank, version) => {
                log::info!(target: "leader", rank = rank, version = version, epoch = epoch;
                    "change abandoned, its rank is kept from being armed");
            }
            Action::Abandoned(version) => {
                log::info!(target: "leader", version = version; "map given up");
            }
        }
    }

    /// Tells the entries which ranks are slow: at once when it changes, and
    /// again and again while some are.
    pub(super) fn tell_entries(&mut self, now: Duration) {
        let Some(leader) = self.leader.as_ref().filter(|_| self.follow.leads()) else { return };
        let (ranks, epoch) = (leader.slow(), leader.epoch());
        let changed = ranks != self.told;
        let due = !ranks.is_empty() && self.due.slow.is_none_or(|last| now >= last + SLOW);
        let Some(report) = self.report.as_ref().filter(|_| changed || due) else { return };
        if changed {
            log::info!(target: "leader", ranks:? = ranks, entries = self.entries.len();
                "slow ranks");
        }
        let slowness =
            Slowness { group: report.group.as_str().into(), epoch, ranks: ranks.clone() };
        self.due.slow = Some(now);
        self.told = ranks;
        for link in self.entries.clone() {
            let message = wire::Message::Entry(gossip::Message::Slowness(slowness.clone()));
            if let Err(error) = self.link.push(&link, message) {
                log::warn!(target: "link", link:% = link, error:% = error; "link failed");
            }
        }
    }

    /// Reads the reports of ranks whose agents are silent, or were never heard.
    pub(super) fn ask_silent(&mut self, now: Duration) {
        let Some(leader) = &self.leader else { return };
        let silent = leader.unresponsive(now);
        let known = |rank: &u32| self.ranks.get(rank).copied();
        let mut asked: Vec<SocketAddr> = silent.iter().filter_map(known).collect();
        if asked.len() < silent.len() {
            // A rank that never told its address is one of those that the
            // store names.
            let heard: Vec<SocketAddr> = self.ranks.values().copied().collect();
            let named = self.described.values().map(|agent| agent.address);
            asked.extend(named.filter(|address| !heard.contains(address)));
        }
        for address in asked {
            let (pool, remote) = (self.pool.clone(), self.remote.clone());
            actix_rt::spawn(async move {
                match rank_client::report(&pool, address).await {
                    Ok(report) => drop(remote.send((address, report))),
                    Err(error) => log::info!(target: "leader", address:% = address,
                        error:% = error; "rank of a silent agent not read"),
                }
            });
        }
    }

    /// Gives an order to a rank without its agent. The effect of a hold is told
    /// by that rank's agent; of a rank whose agent is silent it is read here.
    fn order_directly(&mut self, epoch: u64, rank: u32, order: Order) {
        let Some(address) = self.ranks.get(&rank).copied() else {
            log::warn!(target: "leader", rank = rank, order:% = rank_client::name(&order);
                "rank not ordered, its address is not known yet");
            return;
        };
        let known = self.leader.as_ref().and_then(|leader| leader.report(rank));
        let sequence = known.map_or(0, |report| report.sequence);
        log::info!(target: "leader", rank = rank, order:% = rank_client::name(&order);
            "ordering a rank directly");
        let (pool, remote) = (self.pool.clone(), self.remote.clone());
        actix_rt::spawn(async move {
            if matches!(order, Order::Hold { .. }) {
                rank_client::order(&pool, address, epoch, sequence, &order).await;
                return;
            }
            match rank_client::give(&pool, address, epoch, &order).await {
                Ok(report) => drop(remote.send((address, report))),
                Err(error) => log::info!(target: "leader", rank = rank, address:% = address,
                    error:% = error; "no report after a direct order"),
            }
        });
    }
}
