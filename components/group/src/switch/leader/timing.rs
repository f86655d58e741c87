//! Durations of the phases of a change, measured in previous changes.

use std::time::Duration;

use super::Leader;

impl Leader {
    /// Number of passes between the last report and the pass of a switch: enough
    /// to arm all ranks before the pass is due, so that no rank waits. If passes
    /// last longer than callers accept, all streams are late already, and one
    /// pass less under the old map is worth a wait. Never more than the initial
    /// estimate, from which later leaders derive how far ahead a hold may be.
    pub(super) fn passes_ahead(&self, ranks: usize, pass: Duration) -> u64 {
        let initial = self.initial_arming_time(ranks);
        let wanted = self.arming_time.map_or(initial, |arming| arming.min(initial));
        let spare = if pass > self.model.pause { 1 } else { 2 };
        (wanted.as_secs_f64() / pass.as_secs_f64()) as u64 + spare
    }

    pub(super) fn initial_arming_time(&self, ranks: usize) -> Duration {
        self.tuning.base_arming_time + self.tuning.arming_time_per_rank * ranks as u32
    }

    /// Updates the arming time once all ranks are armed.
    pub(super) fn record_arming_time(&mut self, now: Duration) {
        let Some(held_at) = self.plan.as_mut().and_then(|plan| plan.held_at.take()) else { return };
        self.arming_time = Some(averaged(self.arming_time, now - held_at));
    }

    /// Updates the duration of a change without copying, once a change is done.
    pub(super) fn record_overhead(&mut self, now: Duration) {
        let Some(plan) = &self.plan else { return };
        let copying = self.model.copy * plan.copies as u32;
        let overhead = (now - plan.started).saturating_sub(copying);
        self.overhead = Some(averaged(self.overhead, overhead));
    }

    /// Number of experts that a rank may copy in one change: as many as take no
    /// longer than the rest of the change. More would delay the first improvement;
    /// with fewer, initial of the time would go into the rest.
    pub(super) fn copy_limit(&self) -> usize {
        let overhead = self.overhead.unwrap_or_else(|| self.initial_arming_time(self.ranks.len()));
        let copies = overhead.as_secs_f64() / self.model.copy.as_secs_f64();
        (copies as usize).max(1)
    }
}

/// Exponential moving average of durations in which the newest one has weight
/// one half.
fn averaged(previous: Option<Duration>, newest: Duration) -> Duration {
    previous.map_or(newest, |previous| (previous + newest) / 2)
}
