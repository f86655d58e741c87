//! Requests that crash the backend servers that run them.
//!
//! Each broken attempt counts against the request's fingerprint, at this entry
//! and, through gossip, at the others. From a number of crashes on the request
//! is refused until the evidence is old.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

/// Crashes from which on a request is refused. From the platform's rules: the
/// third crash is the last that is excused.
pub const CRASH_LIMIT: u32 = 3;

/// Age at which evidence is dropped.
const LIFETIME: Duration = Duration::from_secs(60);

/// Most fingerprints that are kept.
const KEPT: usize = 4096;

/// Fingerprints told in one heartbeat.
const TOLD: usize = 64;

/// Evidence against requests.
#[derive(Clone, Debug, Default)]
pub struct Register {
    own: BTreeMap<u64, (u32, Duration)>,
    others: BTreeMap<u64, BTreeMap<Name, (u32, Duration)>>,
}

impl Register {
    /// Counts a crash seen here.
    pub fn add(&mut self, now: Duration, fingerprint: u64) {
        self.expire(now);
        if self.own.len() < KEPT {
            let evidence = self.own.entry(fingerprint).or_insert((0, now));
            *evidence = (evidence.0 + 1, now);
        }
    }

    /// Forgets what was seen here, since the request ended well.
    pub fn clear(&mut self, fingerprint: u64) {
        self.own.remove(&fingerprint);
        self.others.remove(&fingerprint);
    }

    /// Notes what another entry saw.
    pub fn hear(&mut self, now: Duration, from: &Name, crashes: &[(u64, u32)]) {
        for &(fingerprint, count) in crashes.iter().take(TOLD) {
            if self.others.len() < KEPT {
                let by_entry = self.others.entry(fingerprint).or_default();
                by_entry.insert(from.clone(), (count, now));
            }
        }
    }

    /// Whether the request may not run any more.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut register = balance::crash::Register::default();
    /// for _ in 0..3 {
    ///     register.add(Duration::ZERO, 7);
    /// }
    /// assert!(register.is_barred(Duration::ZERO, 7));
    /// ```
    pub fn is_barred(&self, now: Duration, fingerprint: u64) -> bool {
        let fresh = |(count, at): &(u32, Duration)| if now < *at + LIFETIME { *count } else { 0 };
        let own = self.own.get(&fingerprint).map_or(0, fresh);
        let others = self.others.get(&fingerprint);
        let others: u32 = others.map_or(0, |by_entry| by_entry.values().map(fresh).sum());
        own + others >= CRASH_LIMIT
    }

    /// The newest evidence of this entry, for the others.
    pub fn told(&self) -> Vec<(u64, u32)> {
        let mut newest: Vec<_> = self.own.iter().collect();
        newest.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        newest.iter().take(TOLD).map(|(fingerprint, (count, _))| (**fingerprint, *count)).collect()
    }

    fn expire(&mut self, now: Duration) {
        self.own.retain(|_, (_, at)| now < *at + LIFETIME);
        self.others.retain(|_, by_entry| {
            by_entry.retain(|_, (_, at)| now < *at + LIFETIME);
            !by_entry.is_empty()
        });
    }
}
