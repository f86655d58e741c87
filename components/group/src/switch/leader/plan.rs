//! Which map is wanted next, if another one is worth its copies.

use std::sync::Arc;
use std::time::Duration;

use super::{Action, Leader, Plan, TAG_BITS};
use crate::placement::even::{Assignment, Bounds};
use crate::switch::Report;

impl Leader {
    pub(super) fn make_plan(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.demand.decay(now);
        if self.weighed
            || now < self.last_end + self.tuning.pause
            || self.demand.weight() < self.tuning.least_tokens
        {
            return;
        }
        let Some(current) = self.current_map() else { return };
        self.weighed = true;
        let demand = self.demand.tokens();
        let long = self.pass >= self.model.pause / 2;
        let choose = |(short, other): (f64, f64)| if long { other } else { short };
        let bounds = Bounds {
            gain: choose(self.tuning.step_gain),
            copies: self.copies(),
            ..self.model.bounds
        };
        let slowdowns: Vec<f64> = self.reports().map(Report::slowdown).collect();
        let map = Arc::new(current.improved_with_slowdowns(demand, &slowdowns, bounds));
        let skew = (
            current.skew_with_slowdowns(demand, &slowdowns),
            map.skew_with_slowdowns(demand, &slowdowns),
        );
        if skew.0 - skew.1 < choose(self.tuning.least_gain) {
            return;
        }
        let version = self.next_version();
        let copies = map.copies(&current);
        let (holder, holds, held) = (None, Vec::new(), None);
        let plan = Plan { version, map, skew, copies, begun: now, held, holder, holds };
        actions.push(Action::Planned(plan.clone()));
        self.plan = Some(plan);
        self.advance(now, actions);
    }

    /// A version above all known ones that no other leader gives.
    pub(super) fn next_version(&self) -> u64 {
        (((self.highest >> TAG_BITS) + 1) << TAG_BITS) | self.tag
    }

    /// The map in use, if it is the same on all ranks and they all told what
    /// they hold of it.
    pub(super) fn current_map(&self) -> Option<Assignment> {
        let mut versions = self.reports().map(|report| report.map);
        let version = versions.next()?;
        if versions.any(|other| other != version) {
            return None;
        }
        let held: Option<Vec<&Vec<Vec<u16>>>> =
            self.ranks.values().map(|rank| rank.status.experts.as_ref()).collect();
        let held = held?;
        let set = |set: usize| -> Option<Vec<Vec<u16>>> {
            held.iter().map(|sets| sets.get(set).cloned()).collect()
        };
        let sets: Option<Vec<_>> = (0..self.model.sets).map(set).collect();
        Some(Assignment { sets: sets? })
    }
}
