//! How long the parts of a change take, learned from the changes before.

use std::time::Duration;

use super::Leader;

impl Leader {
    /// Passes between the last report and the pass of a switch: enough for all
    /// ranks to be armed before the pass is due, so that nobody waits. Where
    /// passes are longer than callers accept, all streams are late already, and
    /// one pass less under the old map is worth a wait. Never more than the first
    /// guess, by which later leaders know how far ahead a hold may be.
    pub(super) fn lead(&self, ranks: usize, pass: Duration) -> u64 {
        let most = self.arming_at_first(ranks);
        let wanted = self.arming.map_or(most, |arming| arming.min(most));
        let spare = if pass > self.model.pause { 1 } else { 2 };
        (wanted.as_secs_f64() / pass.as_secs_f64()) as u64 + spare
    }

    pub(super) fn arming_at_first(&self, ranks: usize) -> Duration {
        self.tuning.arming + self.tuning.arming_per_rank * ranks as u32
    }

    /// All ranks are armed: learns how long that took.
    pub(super) fn note_arming(&mut self, now: Duration) {
        let Some(held) = self.plan.as_mut().and_then(|plan| plan.held.take()) else { return };
        self.arming = Some(smoothed(self.arming, now - held));
    }

    /// A change is over: learns how long it took besides copying.
    pub(super) fn note_overhead(&mut self, now: Duration) {
        let Some(plan) = &self.plan else { return };
        let copying = self.model.copy * plan.copies as u32;
        let overhead = (now - plan.begun).saturating_sub(copying);
        self.overhead = Some(smoothed(self.overhead, overhead));
    }

    /// Experts that a rank may copy in one change: as many as take no longer
    /// than the rest of the change. More of them delay the first relief, fewer
    /// spend most of the time on the rest.
    pub(super) fn copies(&self) -> usize {
        let overhead = self.overhead.unwrap_or_else(|| self.arming_at_first(self.ranks.len()));
        let copies = overhead.as_secs_f64() / self.model.copy.as_secs_f64();
        (copies as usize).max(1)
    }
}

/// A mean of durations in which the newest one counts most.
fn smoothed(known: Option<Duration>, newest: Duration) -> Duration {
    known.map_or(newest, |known| (known + newest) / 2)
}
