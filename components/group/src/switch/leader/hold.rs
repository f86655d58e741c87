//! Completes or abandons the change for which a pass is held.
//!
//! The state of the holder, the rank that holds the pass, decides: no other rank
//! is armed for the pass before the holder is, and only the leader that planned
//! the change arms the holder. Any leader can therefore abandon a change whose
//! holder is not armed, even if the previous leader, other ranks and delayed
//! orders are out of its reach. To do so, the holder first prepares a version
//! that is never switched to: the platform rejects this on an armed rank, and it
//! prevents the holder from ever being armed for the previous version.

use std::sync::Arc;
use std::time::Duration;

use super::{AGENT_TIMEOUT, Action, Leader, RESEND_INTERVAL};
use crate::placement::even::Assignment;
use crate::switch::{Armed, Order, Report};

impl Leader {
    /// Continues the change for which a rank holds a pass, or abandons it.
    pub(super) fn resolve_hold(
        &mut self,
        now: Duration,
        holder: u32,
        step: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(report) = self.report(holder) else { return };
        match report.armed {
            Some(armed) if armed.step == step => self.arm_and_release(now, holder, armed, actions),
            // The rank switches at an earlier pass first.
            Some(armed) if armed.step < step => {}
            // A rank that is armed for a later pass can't be armed for this one.
            Some(_) => self.release_unused(now, holder, step, actions),
            None => match self.ready_change(now, holder, step) {
                Some(version) => {
                    self.send_order(now, holder, Order::Arm { version, step }, actions)
                }
                None => self.abandon_hold(now, holder, step, actions),
            },
        }
    }

    /// Holds a pass on another rank, so that the hold stays within reach if this
    /// host freezes. If a hold came too late, a later pass is held on the same
    /// rank, since a rank has only one hold at a time.
    pub(super) fn order_hold(&mut self, now: Duration, step: u64, actions: &mut Vec<Action>) {
        let others = self.ranks.iter().filter(|(rank, _)| **rank != self.own_rank);
        let most_recent =
            others.max_by_key(|(_, known)| known.agent_updated_at).map(|(rank, _)| *rank);
        let Some(plan) = &mut self.plan else { return };
        let holder = *plan.holder.get_or_insert(most_recent.unwrap_or(self.own_rank));
        let Some(known) = self.ranks.get_mut(&holder) else { return };
        if let Some((Order::Hold { step: ordered }, at)) = &known.last_order
            && known.status.report.step < *ordered
            && now < *at + RESEND_INTERVAL
        {
            return;
        }
        plan.held_steps.push(step);
        plan.held_at = Some(now);
        self.last_held_step = step;
        let order = Order::Hold { step };
        known.last_order = Some((order.clone(), now));
        actions.push(Action::Direct(holder, order));
    }

    /// The version of this leader's own change, if the pass is held for it, all
    /// ranks have prepared it and all their reports are recent.
    fn ready_change(&self, now: Duration, holder: u32, step: u64) -> Option<u64> {
        let plan = self.plan.as_ref()?;
        let own = plan.holder == Some(holder) && plan.held_steps.contains(&step);
        let ready = self.has_all_ranks()
            && self.ranks.values().all(|rank| {
                rank.status.report.prepared == plan.version
                    && now <= rank.updated_at + AGENT_TIMEOUT
            });
        (own && ready).then_some(plan.version)
    }

    /// Arms all other ranks once the holder is armed, then releases the pass.
    fn arm_and_release(
        &mut self,
        now: Duration,
        holder: u32,
        target: Armed,
        actions: &mut Vec<Action>,
    ) {
        if self.reports().any(|report| has_later_version(report, target.version)) {
            self.roll_back(now, holder, target.version, actions);
            return;
        }
        let unarmed = |report: &Report| (report.armed != Some(target)).then_some(report.rank);
        let missing: Vec<u32> = self.reports().filter_map(unarmed).collect();
        for rank in &missing {
            let order = Order::Arm { version: target.version, step: target.step };
            self.send_order(now, *rank, order, actions);
        }
        if missing.is_empty() && self.has_all_ranks() {
            self.record_arming_time(now);
            self.send_order(now, holder, Order::Release { step: target.step }, actions);
        }
    }

    /// Rolls back a change that can't be completed, because a rank has prepared a
    /// later version for another leader and can't be armed any more. The holder is
    /// disarmed last, since other ranks may be armed only while the holder is.
    fn roll_back(&mut self, now: Duration, holder: u32, version: u64, actions: &mut Vec<Action>) {
        let others: Vec<u32> = self.ranks.keys().copied().filter(|rank| *rank != holder).collect();
        let mut done = self.has_all_ranks();
        for rank in others {
            let Some(report) = self.report(rank) else { continue };
            if report.armed.is_some_and(|armed| armed.version == version) {
                done = false;
                self.send_order(now, rank, Order::Disarm { version }, actions);
            } else if !has_later_version(report, version) {
                done = false;
                self.fence(now, rank, actions);
            }
        }
        if done {
            self.send_order(now, holder, Order::Disarm { version }, actions);
        }
    }

    /// Prevents an unarmed holder from being armed, then releases the pass under
    /// the map in use.
    fn abandon_hold(&mut self, now: Duration, holder: u32, step: u64, actions: &mut Vec<Action>) {
        let Some(prepared) = self.report(holder).map(|report| report.prepared) else { return };
        if prepared == 0 || self.fences.get(&holder) == Some(&prepared) {
            self.release_unused(now, holder, step, actions);
        } else {
            self.fence(now, holder, actions);
        }
    }

    /// Releases a held pass for which no rank is armed, once the group waits for
    /// it. Released earlier, the pass could be held again for another change, and
    /// a repeated or delayed release would let it begin with some ranks unarmed.
    fn release_unused(&mut self, now: Duration, holder: u32, step: u64, actions: &mut Vec<Action>) {
        if self.reports().any(|report| report.step + 1 >= step) {
            self.send_order(now, holder, Order::Release { step }, actions);
        }
    }

    /// Has a rank prepare a version that no leader ever switches to, so that it
    /// can't be armed for the version that it has ready. Its map leaves the
    /// rank the experts that it holds, so that it copies nothing.
    fn fence(&mut self, now: Duration, rank: u32, actions: &mut Vec<Action>) {
        let Some(known) = self.ranks.get(&rank) else { return };
        // If its experts are unknown, the rank would have to copy some.
        let Some(held) = known.status.experts.clone() else { return };
        let prepared = known.status.report.prepared;
        let pending = self.fences.get(&rank).copied().filter(|version| *version > prepared);
        let version = pending.unwrap_or_else(|| {
            let version = self.next_version();
            actions.push(Action::Fenced(rank, version));
            version
        });
        self.fences.insert(rank, version);
        let map = Assignment::with_fixed_rank(
            rank as usize,
            &held,
            self.size() as usize,
            self.model.experts,
        );
        self.send_order(now, rank, Order::Prepare { version, map: Arc::new(map) }, actions);
    }
}

/// Whether a rank has prepared a later version and so can't be armed for this one.
fn has_later_version(report: &Report, version: u64) -> bool {
    report.armed.is_none() && report.prepared > version
}
