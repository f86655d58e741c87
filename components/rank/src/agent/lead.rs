//! The leader's part: sends orders through agents, or directly to ranks whose
//! agents are unresponsive, and reports slow ranks to the entries.

use std::net::SocketAddr;
use std::time::Duration;

use balance::gossip;
use balance::slow::Slowness;
use group::switch::{Action, Command, Leader, Message, Order, Tuning};

use super::{Agent, BUSY_PERIOD, CHOICES_INTERVAL, SLOWNESS_INTERVAL};
use crate::{fanout, rank_client};

impl Agent {
    /// Executes the actions that follow from the statuses, if this agent leads.
    pub(super) async fn lead(&mut self) {
        if !self.election.is_leader() {
            return;
        }
        let (Some(model), Some(report)) = (self.model, &self.report) else { return };
        if self.leader.is_none() {
            let tag = xxhash_rust::xxh3::xxh3_64(
                format!("{}/{}", self.settings.name, daemon::incarnation()).as_bytes(),
            );
            let tuning = Tuning { window: CHOICES_INTERVAL, ..Tuning::default() };
            self.leader = Some(Leader::new(tuning, model, report.rank, tag));
        }
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let actions = leader.step(now);
        let epoch = leader.epoch();
        if leader.is_busy() {
            self.busy_until = now + BUSY_PERIOD;
        }
        let (maps, others): (Vec<Action>, Vec<Action>) =
            actions.into_iter().partition(|action| fanout::prepare_version(action).is_some());
        self.broadcast_maps(epoch, maps).await;
        for action in others {
            self.execute_action(epoch, action).await;
        }
    }

    /// Sends prepare orders to all ranks, with some agents as relays. A rank that
    /// the broadcast doesn't reach gets the order through its agent when the leader
    /// repeats it.
    async fn broadcast_maps(&mut self, epoch: u64, maps: Vec<Action>) {
        let Some(version) =
            fanout::shared_version(&maps).filter(|version| *version > self.broadcast_version)
        else {
            for action in maps {
                self.execute_action(epoch, action).await;
            }
            return;
        };
        self.broadcast_version = version;
        let own_rank = self.report.as_ref().map(|report| report.rank);
        let mut shared_order = None;
        let (mut links, mut own_order) = (Vec::new(), None);
        for action in maps {
            let Action::Order(rank, order) = action else { continue };
            if Some(rank) == own_rank {
                own_order = Some(order);
            } else if let Some(link) = self.agent_links.get(&rank) {
                links.push(link.clone());
                shared_order.get_or_insert(order);
            }
        }
        if let Some(order) = shared_order {
            let bytes = self.model.map_or(0, |model| model.sets * model.experts);
            let leader = self.settings.name.clone();
            let command = Box::new(Command { leader, epoch, order });
            for mut group in
                fanout::relay_groups(links, bytes, self.settings.link_bytes_per_second())
            {
                let others = group.split_off(1);
                let message = match others.is_empty() {
                    true => Message::Command(command.clone()),
                    false => Message::Relay(command.clone(), others),
                };
                self.push(&group[0], message);
            }
            self.link.flush(0);
        }
        if let Some(order) = own_order {
            self.execute(epoch, &order).await;
        }
    }

    async fn execute_action(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Order(rank, order) => {
                if self.report.as_ref().is_some_and(|report| report.rank == rank) {
                    self.execute(epoch, &order).await;
                } else if let Some(link) = self.agent_links.get(&rank).cloned() {
                    let leader = self.settings.name.clone();
                    let command = Command { leader, epoch, order };
                    self.push(&link, Message::Command(Box::new(command)));
                }
            }
            Action::Direct(rank, order) => self.order_directly(epoch, rank, order),
            Action::Planned(plan) => {
                log::info!(target: "leader", version = plan.version, epoch = epoch,
                    copies = plan.copies, skew_before = plan.skew.0, skew_after = plan.skew.1;
                    "map planned");
            }
            Action::Done(version) => {
                log::info!(target: "leader", version = version; "map in use");
            }
            Action::Fenced(rank, version) => {
                log::info!(target: "leader", rank = rank, version = version, epoch = epoch;
                    "change abandoned, rank fenced against arming");
            }
            Action::Abandoned(version) => {
                log::info!(target: "leader", version = version; "map given up");
            }
        }
    }

    /// Reports slow ranks to the entries: immediately on a change, and periodically
    /// while any rank is slow.
    pub(super) fn notify_entries(&mut self, now: Duration) {
        let Some(leader) = self.leader.as_ref().filter(|_| self.election.is_leader()) else {
            return;
        };
        let (ranks, epoch) = (leader.slow(), leader.epoch());
        let changed = ranks != self.reported_slow;
        let due = !ranks.is_empty()
            && self.timers.slow.is_none_or(|last| now >= last + SLOWNESS_INTERVAL);
        let Some(report) = self.report.as_ref().filter(|_| changed || due) else { return };
        if changed {
            log::info!(target: "leader", ranks:? = ranks, entries = self.entry_links.len();
                "slow ranks");
        }
        let slowness =
            Slowness { group: report.group.as_str().into(), epoch, ranks: ranks.clone() };
        self.timers.slow = Some(now);
        self.reported_slow = ranks;
        for link in self.entry_links.clone() {
            let message = wire::Message::Entry(gossip::Message::Slowness(slowness.clone()));
            if let Err(error) = self.link.push(&link, message) {
                log::warn!(target: "link", link:% = link, error:% = error; "link failed");
            }
        }
    }

    /// Reads the reports of ranks directly that sent no status recently or ever.
    pub(super) fn poll_unresponsive(&mut self, now: Duration) {
        let Some(leader) = &self.leader else { return };
        let unresponsive = leader.unresponsive(now);
        let address_of = |rank: &u32| self.rank_addresses.get(rank).copied();
        let mut addresses: Vec<SocketAddr> = unresponsive.iter().filter_map(address_of).collect();
        if addresses.len() < unresponsive.len() {
            // The address of a rank that never sent a status is unknown. It is
            // among the registered addresses that belong to no known rank.
            let known_addresses: Vec<SocketAddr> = self.rank_addresses.values().copied().collect();
            let registered = self.registered.values().map(|agent| agent.address);
            addresses.extend(registered.filter(|address| !known_addresses.contains(address)));
        }
        for address in addresses {
            let (pool, remote_reports) = (self.pool.clone(), self.remote_reports.clone());
            actix_rt::spawn(async move {
                match rank_client::report(&pool, address).await {
                    Ok(report) => drop(remote_reports.send((address, report))),
                    Err(error) => log::info!(target: "leader", address:% = address,
                        error:% = error;
                        "could not read report from a rank with an unresponsive agent"),
                }
            });
        }
    }

    /// Sends an order to a rank without its agent. The rank's agent reports the
    /// effect of a hold; the effect of other orders is read here, since they are
    /// sent directly only if the agent is unresponsive.
    fn order_directly(&mut self, epoch: u64, rank: u32, order: Order) {
        let Some(address) = self.rank_addresses.get(&rank).copied() else {
            log::warn!(target: "leader", rank = rank, order:% = rank_client::describe(&order);
                "order not sent, address of the rank is unknown");
            return;
        };
        let report = self.leader.as_ref().and_then(|leader| leader.report(rank));
        let sequence = report.map_or(0, |report| report.sequence);
        log::info!(target: "leader", rank = rank, order:% = rank_client::describe(&order);
            "sending order directly to rank");
        let (pool, remote_reports) = (self.pool.clone(), self.remote_reports.clone());
        actix_rt::spawn(async move {
            if matches!(order, Order::Hold { .. }) {
                rank_client::send_order(&pool, address, epoch, sequence, &order).await;
                return;
            }
            match rank_client::execute_order(&pool, address, epoch, &order).await {
                Ok(report) => drop(remote_reports.send((address, report))),
                Err(error) => log::info!(target: "leader", rank = rank, address:% = address,
                    error:% = error; "could not read the report for a direct order"),
            }
        });
    }
}
