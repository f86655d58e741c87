//! Detection of prompt parts that crash backend servers.
//!
//! Load pattern: requests of different callers, no two alike, share one part of
//! their prompts, and each server that begins to answer them crashes. The request
//! register ([`crate::crash`]) sees each of them once.
//!
//! When a server crashes, the requests that ran there without having produced an
//! event are candidates, and the parts of their prompts are suspected. A suspected
//! part is cleared by the first event of any request that contains it. Until then,
//! only one request at a time may run with it, a *trial*. A part that remains the
//! best explanation of several crashes is blocked, and tried again after a time
//! that grows with each crash.
//!
//! Entries exchange crashes, cleared parts and trials through gossip.

mod evidence;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use self::evidence::{Crash, Evidence};
use crate::balancer::HEARTBEAT;
use crate::notice::Start;
use crate::ticket::Prompt;

/// Time after which a crash is forgotten. Longer than a part is blocked.
const CRASH_LIFETIME: Duration = Duration::from_secs(2 * 3600);

/// Time within which a crash that couldn't be confirmed at once may be confirmed
/// by a new start of the server.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(15);

/// Time since another entry's last report after which its trials are ignored.
const TRIAL_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which a crash is part of each report. Later, reports contain it every
/// [`FULL_REPORT_INTERVAL`], for entries that start.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Interval of the reports that contain all crashes.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of crashes that are tracked.
const MAX_CRASHES: usize = 64;

/// Maximum number of candidates per crash.
const MAX_REQUESTS: usize = 64;

/// Maximum number of parts whose last first event is tracked.
const MAX_SOUND: usize = 16_384;

/// What an entry knows of a request's prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// No part is suspected.
    Clear,
    /// A part is suspected: the request may run as a trial.
    Suspected,
    /// A part is blocked for this time.
    Blocked(Duration),
}

/// A request with suspected parts that runs at a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// The server.
    pub server: Name,
    /// The suspected parts.
    pub parts: BTreeSet<u64>,
}

/// A crash as reported to other entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Incident {
    /// The crashed server.
    pub start: Start,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Candidates: fingerprint and suspected parts.
    pub requests: Vec<(u64, Vec<u64>)>,
}

impl Incident {
    /// The suspected parts of each candidate for the log, in hexadecimal.
    pub fn label(&self) -> String {
        let requests = self.requests.iter().map(|(_, parts)| label(parts));
        requests.collect::<Vec<_>>().join(";")
    }
}

/// Ids of parts for the log, in hexadecimal.
///
/// ```
/// assert_eq!(balance::suspect::label(&[10, 255]), "a,ff");
/// ```
pub fn label(parts: &[u64]) -> String {
    let ids = parts.iter().map(|part| format!("{part:x}"));
    ids.collect::<Vec<_>>().join(",")
}

/// What an entry reports to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whether all known crashes are reported.
    pub complete: bool,
    /// Crashes with their candidates.
    pub crashes: Vec<Incident>,
    /// Parts of those requests that this entry has seen answered, each with the time
    /// since its last first event, in milliseconds.
    pub sound: Vec<(u64, u32)>,
    /// Trials that this entry runs.
    pub trials: Vec<Trial>,
}

/// What a report contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Everything.
    All,
    /// What is new, and at intervals everything.
    Due,
}

/// Crashes, sound parts and trials.
///
/// ```
/// use std::time::Duration;
/// use balance::Prompt;
/// use balance::notice::Start;
/// use balance::suspect::{Register, Standing};
/// let mut register = Register::default();
/// let at = Duration::from_secs;
/// let start = |server: &str| Start { server: server.into(), started_ms: 1 };
/// let prompt = |fingerprint, parts: &[u64]| Prompt {
///     tokens: 100, fingerprint, shared_parts: parts.into(),
/// };
/// register.record_crash(at(10), start("a"), &prompt(71, &[5, 8]));
/// assert_eq!(register.standing(at(11), &prompt(72, &[8])), Standing::Suspected);
/// register.record_sound(at(12), &[5]);
/// register.record_crash(at(20), start("b"), &prompt(73, &[5, 8]));
/// assert!(matches!(register.standing(at(21), &prompt(74, &[8])), Standing::Blocked(_)));
/// assert_eq!(register.standing(at(21), &prompt(75, &[5])), Standing::Clear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Register {
    crashes: BTreeMap<Start, Crash>,
    /// Crashes that are not confirmed yet.
    unconfirmed: BTreeMap<Start, Crash>,
    /// Candidates of the crashes; see [`Register::index`].
    evidence: Evidence,
    /// Time of the last first event of each part at this entry.
    sound: BTreeMap<u64, Duration>,
    /// The same at other entries, for parts of requests at a crash.
    other_sound: BTreeMap<u64, Duration>,
    /// Attempts of this entry that wait for their first event: shared prompt parts by
    /// fingerprint of the request and server.
    waiting: BTreeMap<(u64, Name), BTreeSet<u64>>,
    /// Trials of other entries.
    other_trials: BTreeMap<Name, (Vec<Trial>, Duration)>,
}

impl Register {
    /// Records that a server crashed while it ran a request that had produced no
    /// event.
    pub fn record_crash(&mut self, now: Duration, start: Start, prompt: &Prompt) {
        let now = shift(now);
        if !prompt.shared_parts.is_empty() {
            add_request(&mut self.crashes, now, start, prompt.fingerprint, to_set(prompt));
            self.index();
        }
    }

    /// Records that a connection to a server broke while it ran a request that had
    /// produced no event, but that it is not known whether the server crashed.
    pub fn record_break(&mut self, now: Duration, start: Start, prompt: &Prompt) {
        let now = shift(now);
        if !prompt.shared_parts.is_empty() {
            add_request(&mut self.unconfirmed, now, start, prompt.fingerprint, to_set(prompt));
        }
    }

    /// Starts of servers whose crash is not confirmed yet.
    pub fn unconfirmed(&self) -> Vec<Start> {
        self.unconfirmed.keys().cloned().collect()
    }

    /// Confirms that a server crashed.
    pub fn confirm(&mut self, now: Duration, start: &Start) {
        let now = shift(now);
        let Some(found) = self.unconfirmed.remove(start) else { return };
        for (request, parts) in found.requests {
            let crash = add_request(&mut self.crashes, now, start.clone(), request, parts);
            crash.at = crash.at.min(found.at);
        }
        self.index();
    }

    /// Records the first event of a request with these parts. Returns those that
    /// were suspected.
    pub fn record_sound(&mut self, now: Duration, parts: &[u64]) -> Vec<u64> {
        let now = shift(now);
        let suspected = parts.iter().copied().filter(|part| self.evidence.is_suspected(*part));
        let cleared: Vec<u64> = suspected.collect();
        for part in parts {
            mark_sound(&mut self.sound, now, *part);
        }
        if !cleared.is_empty() {
            self.index();
        }
        cleared
    }

    /// Whether a request is the only one that can have crashed a server, as far as
    /// this entry knows.
    pub fn is_sole(&self, start: Option<&Start>, prompt: &Prompt) -> bool {
        let crash = start.and_then(|start| self.crashes.get(start));
        crash.is_some_and(|crash| {
            crash.requests.len() == 1 && crash.requests.contains_key(&prompt.fingerprint)
        })
    }

    /// The standing of a request.
    pub fn standing(&self, now: Duration, prompt: &Prompt) -> Standing {
        let now = shift(now);
        if self.crashes.is_empty() {
            return Standing::Clear;
        }
        let parts = to_set(prompt);
        match self.evidence.blocked_until(prompt.fingerprint, &parts) {
            Some(until) if now < until => Standing::Blocked(until - now),
            _ if parts.iter().any(|part| self.evidence.is_suspected(*part)) => Standing::Suspected,
            _ => Standing::Clear,
        }
    }

    /// Collects the candidates anew, after a change of the crashes or of the parts
    /// that were answered.
    fn index(&mut self) {
        let (own, other) = (&self.sound, &self.other_sound);
        let sound_at = |part: u64| own.get(&part).max(other.get(&part)).copied();
        self.evidence = Evidence::new(self.crashes.values(), sound_at);
    }

    /// Records that an attempt waits for its first event.
    pub fn begin_wait(&mut self, prompt: &Prompt, server: &Name) {
        if !prompt.shared_parts.is_empty() {
            self.waiting.insert((prompt.fingerprint, server.clone()), to_set(prompt));
        }
    }

    /// Records that an attempt no longer waits.
    pub fn end_wait(&mut self, prompt: &Prompt, server: &str) {
        if !prompt.shared_parts.is_empty() {
            self.waiting.remove(&(prompt.fingerprint, server.into()));
        }
    }

    /// Whether a trial of a suspected part of a prompt runs.
    pub fn is_tried(&self, now: Duration, prompt: &Prompt) -> bool {
        let now = shift(now);
        prompt.shared_parts.iter().any(|part| {
            self.other_trials(now).any(|trial| trial.parts.contains(part))
                || (self.evidence.is_suspected(*part)
                    && self.waiting.values().any(|parts| parts.contains(part)))
        })
    }

    /// Whether a trial runs at a server.
    pub fn has_trial(&self, now: Duration, server: &Name) -> bool {
        let now = shift(now);
        let is_suspected = |part: &u64| self.evidence.is_suspected(*part);
        let mut here = self.waiting.iter().filter(|((_, at), _)| at == server);
        here.any(|(_, parts)| parts.iter().any(is_suspected))
            || self.other_trials(now).any(|trial| trial.server == *server)
    }

    /// The waiting attempts with suspected parts. They include attempts that began
    /// before their parts were suspected.
    fn own_trials(&self) -> impl Iterator<Item = Trial> {
        let waiting = self.waiting.iter().filter(|_| !self.crashes.is_empty());
        let trials = waiting.map(|((_, server), parts)| {
            let parts = parts.iter().copied();
            let parts = parts.filter(|part| self.evidence.is_suspected(*part)).collect();
            Trial { server: server.clone(), parts }
        });
        trials.filter(|trial| !trial.parts.is_empty())
    }

    fn other_trials(&self, now: Duration) -> impl Iterator<Item = &Trial> {
        let is_fresh = move |(_, at): &&(Vec<Trial>, Duration)| now < *at + TRIAL_LIFETIME;
        self.other_trials.values().filter(is_fresh).flat_map(|(trials, _)| trials)
    }

    /// The report for the other entries.
    pub fn report(&self, now: Duration, scope: Scope) -> Report {
        let now = shift(now);
        let interval = |at: Duration| at.as_millis() / FULL_REPORT_INTERVAL.as_millis();
        let begins_interval = interval(now) != interval(now.saturating_sub(HEARTBEAT));
        let full = scope == Scope::All || begins_interval;
        let is_due = |learned_at: Duration| full || now < learned_at + REPORT_TIME;
        let crashes = self.crashes.iter().filter(|(_, crash)| is_due(crash.learned_at));
        let crashes = crashes.map(|(start, crash)| Incident {
            start: start.clone(),
            age_ms: age_ms(now, crash.at),
            requests: crash
                .requests
                .iter()
                .map(|(request, parts)| (*request, parts.iter().copied().collect()))
                .collect(),
        });
        Report {
            complete: full,
            crashes: crashes.collect(),
            sound: self.sound_candidates(now, is_due),
            trials: self.own_trials().collect(),
        }
    }

    /// The candidates of crashes that this entry has seen a first event of, each with
    /// the time since then, in milliseconds.
    fn sound_candidates(
        &self,
        now: Duration,
        is_due: impl Fn(Duration) -> bool,
    ) -> Vec<(u64, u32)> {
        let mut found = BTreeMap::new();
        for crash in self.crashes.values() {
            for part in crash.requests.values().flatten() {
                let Some(at) = self.sound.get(part) else { continue };
                if is_due(*at) || is_due(crash.learned_at) {
                    found.insert(*part, age_ms(now, *at));
                }
            }
        }
        found.into_iter().collect()
    }

    /// Whether a crash is known.
    pub fn contains(&self, start: &Start) -> bool {
        self.crashes.contains_key(start)
    }

    /// Applies the report of another entry.
    pub fn apply_report(&mut self, now: Duration, from: &Name, report: Report) {
        let now = shift(now);
        let changes = !report.crashes.is_empty() || !report.sound.is_empty();
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for reported in report.crashes {
            let at = time(reported.age_ms);
            if now >= at + CRASH_LIFETIME {
                continue;
            }
            for (request, parts) in reported.requests {
                let (start, parts) = (reported.start.clone(), parts.into_iter().collect());
                let crash = add_request(&mut self.crashes, now, start, request, parts);
                crash.at = crash.at.min(at);
            }
        }
        for (part, age_ms) in report.sound {
            mark_sound(&mut self.other_sound, time(age_ms), part);
        }
        self.other_trials.insert(from.clone(), (report.trials, now));
        if changes {
            self.index();
        }
    }

    /// Drops expired state.
    pub fn sweep(&mut self, now: Duration) {
        let now = shift(now);
        self.unconfirmed.retain(|_, crash| now < crash.at + CONFIRM_TIMEOUT);
        let count = self.crashes.len();
        self.crashes.retain(|_, crash| now < crash.at + CRASH_LIFETIME);
        if self.crashes.len() < count {
            self.index();
        }
        self.other_trials.retain(|_, (_, at)| now < *at + TRIAL_LIFETIME);
    }
}

/// Records the time of a part's first event. Beyond [`MAX_SOUND`], the older half is
/// dropped.
fn mark_sound(sound: &mut BTreeMap<u64, Duration>, at: Duration, part: u64) {
    if sound.len() >= MAX_SOUND && !sound.contains_key(&part) {
        let mut times: Vec<Duration> = sound.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        sound.retain(|_, at| *at > median);
    }
    let last = sound.entry(part).or_default();
    *last = at.max(*last);
}

/// Adds a candidate to a crash. The oldest crash is dropped beyond [`MAX_CRASHES`].
fn add_request(
    crashes: &mut BTreeMap<Start, Crash>,
    now: Duration,
    start: Start,
    request: u64,
    parts: BTreeSet<u64>,
) -> &mut Crash {
    if crashes.len() >= MAX_CRASHES && !crashes.contains_key(&start) {
        let oldest = crashes.iter().min_by_key(|(_, crash)| crash.at);
        let oldest = oldest.map(|(start, _)| start.clone());
        oldest.and_then(|start| crashes.remove(&start));
    }
    let new = || Crash { at: now, learned_at: now, requests: BTreeMap::new() };
    let crash = crashes.entry(start).or_insert_with(new);
    if crash.requests.len() < MAX_REQUESTS && !crash.requests.contains_key(&request) {
        crash.requests.insert(request, parts);
        crash.learned_at = now;
    }
    crash
}

/// Time in the register. Crashes may have happened before the process started, which
/// its own clock can't express.
fn shift(now: Duration) -> Duration {
    now + CRASH_LIFETIME
}

fn to_set(prompt: &Prompt) -> BTreeSet<u64> {
    prompt.shared_parts.iter().copied().collect()
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
