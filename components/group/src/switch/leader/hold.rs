//! What becomes of a pass that is held.
//!
//! The rank that holds it decides: no other rank is armed for the pass before
//! the holder is, and the holder is armed only by the leader that made the
//! change. So a change whose holder is not armed can be abandoned by anybody,
//! although leader, other ranks and late orders are out of sight: the holder
//! first copies a version that is used nowhere, which the platform refuses to
//! an armed rank, and which keeps it from ever being armed for the old one.

use std::sync::Arc;
use std::time::Duration;

use super::{Action, DIRECT_AFTER, Leader, REPEAT};
use crate::placement::even::Assignment;
use crate::switch::{Armed, Order, Report};

impl Leader {
    /// Goes on with the change for which a rank holds a pass, or abandons it.
    pub(super) fn settle(
        &mut self,
        now: Duration,
        holder: u32,
        step: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(report) = self.report(holder) else { return };
        match report.armed {
            Some(armed) if armed.step == step => self.finish(now, holder, armed, actions),
            // The pass of that switch comes first.
            Some(armed) if armed.step < step => {}
            // Armed for a later pass, it can't be armed for this one.
            Some(_) => self.release_unused(now, holder, step, actions),
            None => match self.change_to_begin(now, holder, step) {
                Some(version) => self.order(now, holder, Order::Arm { version, step }, actions),
                None => self.abandon(now, holder, step, actions),
            },
        }
    }

    /// Holds a pass on another rank, so that a freeze of this host leaves the
    /// hold within reach. A hold that came too late is placed anew further on,
    /// on the same rank, which has only one at a time.
    pub(super) fn order_hold(&mut self, now: Duration, step: u64, actions: &mut Vec<Action>) {
        let others = self.ranks.iter().filter(|(rank, _)| **rank != self.own);
        let freshest = others.max_by_key(|(_, known)| known.agent_heard).map(|(rank, _)| *rank);
        let Some(plan) = &mut self.plan else { return };
        let holder = *plan.holder.get_or_insert(freshest.unwrap_or(self.own));
        let Some(known) = self.ranks.get_mut(&holder) else { return };
        if let Some((Order::Hold { step: asked }, at)) = &known.sent
            && known.status.report.step < *asked
            && now < *at + REPEAT
        {
            return;
        }
        plan.holds.push(step);
        plan.held = Some(now);
        self.last_hold = step;
        let order = Order::Hold { step };
        known.sent = Some((order.clone(), now));
        actions.push(Action::Direct(holder, order));
    }

    /// The version of this leader's own change, if the pass is held for it and
    /// nothing speaks against it.
    fn change_to_begin(&self, now: Duration, holder: u32, step: u64) -> Option<u64> {
        let plan = self.plan.as_ref()?;
        let own = plan.holder == Some(holder) && plan.holds.contains(&step);
        let ready = self.is_complete()
            && self.ranks.values().all(|rank| {
                rank.status.report.prepared == plan.version && now <= rank.heard + DIRECT_AFTER
            });
        (own && ready).then_some(plan.version)
    }

    /// The holder is armed, and others may be: arms all, then lets the pass begin.
    fn finish(&mut self, now: Duration, holder: u32, goal: Armed, actions: &mut Vec<Action>) {
        if self.reports().any(|report| has_passed(report, goal.version)) {
            self.undo(now, holder, goal.version, actions);
            return;
        }
        let lacks = |report: &Report| (report.armed != Some(goal)).then_some(report.rank);
        let missing: Vec<u32> = self.reports().filter_map(lacks).collect();
        for rank in &missing {
            let order = Order::Arm { version: goal.version, step: goal.step };
            self.order(now, *rank, order, actions);
        }
        if missing.is_empty() && self.is_complete() {
            self.note_arming(now);
            self.order(now, holder, Order::Release { step: goal.step }, actions);
        }
    }

    /// A rank copied a later version meanwhile, for another leader, and can't
    /// be armed any more: the change can't be made. The holder is disarmed last,
    /// since nobody is armed where the holder isn't.
    fn undo(&mut self, now: Duration, holder: u32, version: u64, actions: &mut Vec<Action>) {
        let others: Vec<u32> = self.ranks.keys().copied().filter(|rank| *rank != holder).collect();
        let mut done = self.is_complete();
        for rank in others {
            let Some(report) = self.report(rank) else { continue };
            if report.armed.is_some_and(|armed| armed.version == version) {
                done = false;
                self.order(now, rank, Order::Disarm { version }, actions);
            } else if !has_passed(report, version) {
                done = false;
                self.fence(now, rank, actions);
            }
        }
        if done {
            self.order(now, holder, Order::Disarm { version }, actions);
        }
    }

    /// The holder is not armed: makes sure that it won't be, then lets the pass
    /// begin under the map in use.
    fn abandon(&mut self, now: Duration, holder: u32, step: u64, actions: &mut Vec<Action>) {
        let Some(prepared) = self.report(holder).map(|report| report.prepared) else { return };
        if prepared == 0 || self.fences.get(&holder) == Some(&prepared) {
            self.release_unused(now, holder, step, actions);
        } else {
            self.fence(now, holder, actions);
        }
    }

    /// Lets a held pass begin for which no rank is armed, once the group waits
    /// for it. Released earlier, the pass could be held again for another
    /// change, which a repeated or late release would let begin half armed.
    fn release_unused(&mut self, now: Duration, holder: u32, step: u64, actions: &mut Vec<Action>) {
        if self.reports().any(|report| report.step + 1 >= step) {
            self.order(now, holder, Order::Release { step }, actions);
        }
    }

    /// Has a rank copy a version that no leader ever switches to, made of what
    /// it holds, so that it can't be armed for the one that it has ready.
    fn fence(&mut self, now: Duration, rank: u32, actions: &mut Vec<Action>) {
        let Some(known) = self.ranks.get(&rank) else { return };
        // Without knowledge of what the rank holds it would have to copy.
        let Some(held) = known.status.experts.clone() else { return };
        let prepared = known.status.report.prepared;
        let given = self.fences.get(&rank).copied().filter(|version| *version > prepared);
        let version = given.unwrap_or_else(|| {
            let version = self.next_version();
            actions.push(Action::Fenced(rank, version));
            version
        });
        self.highest = self.highest.max(version);
        self.fences.insert(rank, version);
        let map = Assignment::with_fixed_rank(
            rank as usize,
            &held,
            self.size() as usize,
            self.model.experts,
        );
        self.order(now, rank, Order::Prepare { version, map: Arc::new(map) }, actions);
    }
}

/// Whether a rank is past a version, which it can't be armed for any more.
fn has_passed(report: &Report, version: u64) -> bool {
    report.armed.is_none() && report.prepared > version
}
