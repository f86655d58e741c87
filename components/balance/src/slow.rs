//! Slow ranks, as reported by the leaders of their groups.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::content::Group;

/// Slowness relative to the fastest rank from which on a rank gets no requests
/// while others are available: all ranks of a group wait for it in each pass.
const TOO_SLOW_RATIO: f64 = 1.5;

/// Time after which a leader's report expires. Leaders repeat their reports
/// several times within it.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Report of a group's leader on its slow ranks. Ranks not listed run at normal
/// speed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slowness {
    /// Name of the group.
    pub group: Name,
    /// Epoch of the group.
    pub epoch: u64,
    /// Slow ranks, each with its slowness: its time per pass as a multiple of the
    /// normal time.
    pub ranks: Vec<(u32, f64)>,
}

/// The latest report on each group.
///
/// ```
/// use std::time::Duration;
/// use balance::content::Group;
/// use balance::slow::{Register, Slowness};
/// let mut slow = Register::default();
/// slow.apply(Duration::ZERO, Slowness { group: "g".into(), epoch: 1, ranks: vec![(3, 12.0)] });
/// let rank = |rank| Group { name: "g".into(), epoch: 1, rank, size: 4, open: true };
/// assert_eq!(slow.of(Duration::ZERO, Some(&rank(3))), 12.0);
/// assert_eq!(slow.of(Duration::ZERO, Some(&rank(2))), 1.0);
/// assert_eq!(slow.of(Duration::from_secs(9), Some(&rank(3))), 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Register {
    groups: BTreeMap<Name, (Slowness, Duration)>,
}

impl Register {
    /// Applies a leader's report. Returns whether the slow ranks changed.
    pub fn apply(&mut self, now: Duration, slowness: Slowness) -> bool {
        let known = self.groups.get(&slowness.group);
        let changed = known.is_none_or(|(known, _)| known.ranks != slowness.ranks);
        self.groups.insert(slowness.group.clone(), (slowness, now));
        changed
    }

    /// Slowness of a rank as a multiple of the normal time; 1 without a valid
    /// report and for a server that isn't a rank.
    pub fn of(&self, now: Duration, rank: Option<&Group>) -> f64 {
        let slow = || {
            let rank = rank?;
            let (report, received_at) = self.groups.get(&rank.name)?;
            let is_valid = report.epoch == rank.epoch && now < *received_at + REPORT_LIFETIME;
            let found = report.ranks.iter().find(|(slow, _)| is_valid && *slow == rank.rank)?;
            Some(found.1)
        };
        slow().unwrap_or(1.0).max(1.0)
    }

    /// Drops expired reports.
    pub fn sweep(&mut self, now: Duration) {
        self.groups.retain(|_, (_, received_at)| now < *received_at + REPORT_LIFETIME);
    }
}

/// Whether a rank is too slow compared to the fastest one of the pool.
pub fn is_too_slow(slowness: f64, fastest: f64) -> bool {
    slowness >= fastest * TOO_SLOW_RATIO
}
