//! Plans the next map, if its gain justifies the copies.

use std::sync::Arc;
use std::time::Duration;

use super::{Action, Leader, Plan, TAG_BITS};
use crate::placement::even::{Assignment, Bounds};
use crate::switch::Report;

impl Leader {
    pub(super) fn plan_change(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.demand.decay(now);
        if self.evaluated
            || now < self.last_change_end + self.tuning.min_change_interval
            || self.demand.mean_tokens() < self.tuning.min_tokens
        {
            return;
        }
        let Some(current) = self.current_map() else { return };
        self.evaluated = true;
        let demand = self.demand.tokens();
        let long_passes = self.pass_duration >= self.model.pause / 2;
        let choose =
            |(for_short, for_long): (f64, f64)| if long_passes { for_long } else { for_short };
        let bounds = Bounds {
            gain: choose(self.tuning.min_step_gain),
            copies: self.copy_limit(),
            ..self.model.bounds
        };
        let slowdowns: Vec<f64> = self.reports().map(Report::slowdown).collect();
        let map = Arc::new(current.improved_with_slowdowns(demand, &slowdowns, bounds));
        let skew = (
            current.skew_with_slowdowns(demand, &slowdowns),
            map.skew_with_slowdowns(demand, &slowdowns),
        );
        if skew.0 - skew.1 < choose(self.tuning.min_skew_gain) {
            return;
        }
        let version = self.next_version();
        let copies = map.max_copies(&current);
        let (holder, held_steps, held_at) = (None, Vec::new(), None);
        let plan = Plan { version, map, skew, copies, started: now, held_at, holder, held_steps };
        actions.push(Action::Planned(plan.clone()));
        self.plan = Some(plan);
        self.advance(now, actions);
    }

    /// Assigns a version above all known ones that no other leader assigns. It counts as
    /// known at once: a plan and a fence must never share a version, even if no rank has
    /// reported either of them.
    pub(super) fn next_version(&mut self) -> u64 {
        self.highest_version = (((self.highest_version >> TAG_BITS) + 1) << TAG_BITS) | self.tag;
        self.highest_version
    }

    /// The map in use, if it is the same on all ranks and the experts of all ranks
    /// are known.
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
