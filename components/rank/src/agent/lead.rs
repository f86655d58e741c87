//! What a leader does: orders through agents, or directly where one is silent.

use std::time::Duration;

use group::switch::{Action, Command, Leader, Message, Order, Tuning};

use super::{Agent, BUSY};
use crate::{afar, own};

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
            self.leader = Some(Leader::new(Tuning::default(), model, report.rank, tag));
        }
        let now = self.now();
        let Some(leader) = &mut self.leader else { return };
        let actions = leader.step(now);
        let epoch = leader.epoch();
        if leader.is_busy() {
            self.busy_until = now + BUSY;
        }
        for action in actions {
            self.act(epoch, action).await;
        }
    }

    async fn act(&mut self, epoch: u64, action: Action) {
        match action {
            Action::Order(rank, order) => {
                if self.report.as_ref().is_some_and(|report| report.rank == rank) {
                    self.carry_out(epoch, &order).await;
                } else if let Some(link) = self.links.get(&rank).cloned() {
                    self.push(&link, Message::Command(Box::new(Command { epoch, order })));
                }
            }
            Action::Direct(rank, order) => self.order_directly(epoch, rank, order),
            Action::Planned(plan) => {
                log::info!(target: "leader", version = plan.version, epoch = epoch,
                    skew_before = plan.skew.0, skew_after = plan.skew.1; "map planned");
            }
            Action::Done(version) => {
                log::info!(target: "leader", version = version; "map in use");
            }
            Action::Fenced(rank, version) => {
                log::info!(target: "leader", rank = rank, version = version, epoch = epoch;
                    "change abandoned, its rank is kept from being armed");
            }
            Action::Dropped(version) => {
                log::info!(target: "leader", version = version; "map given up");
            }
        }
    }

    /// Reads the reports of ranks whose agents are silent.
    pub(super) fn ask_silent(&mut self, now: Duration) {
        let (Some(leader), Some(report)) = (&self.leader, &self.report) else { return };
        let silent = leader.silent(now);
        if silent.is_empty() {
            return;
        }
        let (pool, remote, client) = (self.pool.clone(), self.remote.clone(), self.client.clone());
        let group = report.group.clone();
        actix_rt::spawn(async move {
            let addresses = afar::addresses(&client, &group).await;
            for rank in silent {
                let Some(address) = addresses.get(&rank) else { continue };
                match own::report(&pool, *address).await {
                    Ok(report) => drop(remote.send(report)),
                    Err(error) => log::info!(target: "leader", rank = rank, address:% = address,
                        error:% = error; "rank of a silent agent not read"),
                }
            }
        });
    }

    /// Gives an order to a rank without its agent. The effect of a hold is told
    /// by that rank's agent; of a rank whose agent is silent it is read here.
    fn order_directly(&mut self, epoch: u64, rank: u32, order: Order) {
        let (Some(report), Some(leader)) = (&self.report, &self.leader) else { return };
        let known = self.links.get(&rank).and_then(|link| {
            self.described.values().find(|agent| agent.link == *link).map(|agent| agent.address)
        });
        let sequence = leader.report(rank).map_or(0, |report| report.sequence);
        log::info!(target: "leader", rank = rank, order:% = own::name(&order);
            "ordering a rank directly");
        let (pool, remote, client) = (self.pool.clone(), self.remote.clone(), self.client.clone());
        let group = report.group.clone();
        actix_rt::spawn(async move {
            let address = match known {
                Some(address) => address,
                None => match afar::addresses(&client, &group).await.get(&rank) {
                    Some(address) => *address,
                    None => return,
                },
            };
            if matches!(order, Order::Hold { .. }) {
                own::order(&pool, address, epoch, sequence, &order).await;
                return;
            }
            match own::give(&pool, address, epoch, &order).await {
                Ok(report) => drop(remote.send(report)),
                Err(error) => log::info!(target: "leader", rank = rank, address:% = address,
                    error:% = error; "no report after a direct order"),
            }
        });
    }
}
