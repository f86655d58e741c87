//! Ranks that report themselves slow, as the leaders of their groups tell.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::content::Group;

/// Slowness, as a multiple of that of the others, from which on a rank gets no
/// requests while there are others: all ranks wait for it in each pass.
const SPARED: f64 = 1.5;

/// Age from which on what a leader told no longer counts. Leaders repeat it
/// several times as often.
const LIFETIME: Duration = Duration::from_millis(1500);

/// The slow ranks of a group, from its leader. All others work as usual.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slowness {
    /// Name of the group.
    pub group: Name,
    /// Its epoch.
    pub epoch: u64,
    /// Ranks with their times as multiples of the usual one.
    pub ranks: Vec<(u32, f64)>,
}

/// What the leaders of all groups told last.
///
/// ```
/// use std::time::Duration;
/// use balance::content::Group;
/// use balance::slow::{Register, Slowness};
/// let mut slow = Register::default();
/// slow.hear(Duration::ZERO, Slowness { group: "g".into(), epoch: 1, ranks: vec![(3, 12.0)] });
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
    /// A leader tells. Returns whether other ranks are slow than before.
    pub fn hear(&mut self, now: Duration, slowness: Slowness) -> bool {
        let known = self.groups.get(&slowness.group);
        let news = known.is_none_or(|(known, _)| known.ranks != slowness.ranks);
        self.groups.insert(slowness.group.clone(), (slowness, now));
        news
    }

    /// Time of a rank as a multiple of the usual one; a server that is none
    /// works as usual.
    pub fn of(&self, now: Duration, rank: Option<&Group>) -> f64 {
        let slow = || {
            let rank = rank?;
            let (told, heard) = self.groups.get(&rank.name)?;
            let holds = told.epoch == rank.epoch && now < *heard + LIFETIME;
            let found = told.ranks.iter().find(|(slow, _)| holds && *slow == rank.rank)?;
            Some(found.1)
        };
        slow().unwrap_or(1.0).max(1.0)
    }

    /// Drops what is too old to count.
    pub fn sweep(&mut self, now: Duration) {
        self.groups.retain(|_, (_, heard)| now < *heard + LIFETIME);
    }
}

/// Whether a rank is too slow beside the fastest one of the pool.
pub fn is_spared(slowness: f64, fastest: f64) -> bool {
    slowness >= fastest * SPARED
}
