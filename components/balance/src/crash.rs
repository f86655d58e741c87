//! Detection of requests that crash backend servers.
//!
//! Each attempt that ends in a broken connection or an invalid response before it
//! has produced an event counts as a crash of the request's fingerprint. Entries
//! share their counts through gossip. A request that reaches [`CRASH_LIMIT`] is
//! refused until the counts expire.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

/// Number of crashes from which on a request is refused. From the platform's
/// rules, which excuse up to three crashes.
pub const CRASH_LIMIT: u32 = 3;

/// Time since the last crash after which a count expires.
const COUNT_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of fingerprints that are tracked.
const MAX_FINGERPRINTS: usize = 4096;

/// Maximum number of fingerprints reported in one heartbeat.
const MAX_REPORTED: usize = 64;

/// Crash counts by request fingerprint, each with the time of its last change.
#[derive(Clone, Debug, Default)]
pub struct Register {
    own: BTreeMap<u64, (u32, Duration)>,
    others: BTreeMap<u64, BTreeMap<Name, (u32, Duration)>>,
}

impl Register {
    /// Counts a crash that this entry observed.
    pub fn add(&mut self, now: Duration, fingerprint: u64) {
        self.expire(now);
        if self.own.len() < MAX_FINGERPRINTS {
            let crashes = self.own.entry(fingerprint).or_insert((0, now));
            *crashes = (crashes.0 + 1, now);
        }
    }

    /// Drops the counts of a request that succeeded.
    pub fn clear(&mut self, fingerprint: u64) {
        self.own.remove(&fingerprint);
        self.others.remove(&fingerprint);
    }

    /// Stores the counts that another entry reported.
    pub fn apply_counts(&mut self, now: Duration, from: &Name, crashes: &[(u64, u32)]) {
        for &(fingerprint, count) in crashes.iter().take(MAX_REPORTED) {
            if self.others.len() < MAX_FINGERPRINTS {
                let by_entry = self.others.entry(fingerprint).or_default();
                by_entry.insert(from.clone(), (count, now));
            }
        }
    }

    /// Whether the request has reached the crash limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut register = balance::crash::Register::default();
    /// for _ in 0..3 {
    ///     register.add(Duration::ZERO, 7);
    /// }
    /// assert!(register.is_blocked(Duration::ZERO, 7));
    /// ```
    pub fn is_blocked(&self, now: Duration, fingerprint: u64) -> bool {
        let fresh =
            |(count, at): &(u32, Duration)| if now < *at + COUNT_LIFETIME { *count } else { 0 };
        let own = self.own.get(&fingerprint).map_or(0, fresh);
        let others = self.others.get(&fingerprint);
        let others: u32 = others.map_or(0, |by_entry| by_entry.values().map(fresh).sum());
        own + others >= CRASH_LIMIT
    }

    /// The latest counts of this entry, for the heartbeat.
    pub fn report(&self) -> Vec<(u64, u32)> {
        let mut newest: Vec<_> = self.own.iter().collect();
        newest.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        newest
            .iter()
            .take(MAX_REPORTED)
            .map(|(fingerprint, (count, _))| (**fingerprint, *count))
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        self.own.retain(|_, (_, at)| now < *at + COUNT_LIFETIME);
        self.others.retain(|_, by_entry| {
            by_entry.retain(|_, (_, at)| now < *at + COUNT_LIFETIME);
            !by_entry.is_empty()
        });
    }
}
