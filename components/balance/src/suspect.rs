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
//! that doubles with each crash.
//!
//! Entries exchange crashes, cleared parts and trials through gossip.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::balancer::HEARTBEAT;
use crate::notice::Start;
use crate::ticket::Prompt;

/// Crashes after which a part that no server has ever answered is blocked, if each
/// of them can have no other cause among the requests.
const CERTAIN_CRASHES: usize = 2;

/// Crashes after which any other part that no server has ever answered is blocked.
const CRASH_LIMIT: usize = 3;

/// Crashes after which a part is blocked although it was once answered. More, since
/// such a part may have been at several servers that crashed for other reasons. From
/// the platform's rules, which count requests from the fifth crash on.
const ONCE_SOUND_CRASH_LIMIT: usize = 5;

/// Crashes after which a request is blocked, whatever its parts.
const REQUEST_CRASH_LIMIT: usize = 2;

/// Time within which several crashes count as one: servers that fail together
/// have a common cause.
const SAME_CAUSE: Duration = Duration::from_millis(500);

/// Time for which a part is blocked after the crash that blocks it.
const BLOCK_MIN: Duration = Duration::from_secs(120);

/// Maximum time for which a part is blocked.
const BLOCK_MAX: Duration = Duration::from_secs(3600);

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

/// The requests that may have crashed a server.
#[derive(Clone, Debug, Default)]
struct Crash {
    at: Duration,
    /// Time at which this entry learned of it.
    learned_at: Duration,
    /// Suspected parts by fingerprint of the request.
    requests: BTreeMap<u64, BTreeSet<u64>>,
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
pub struct CrashReport {
    /// The crashed server.
    pub start: Start,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Candidates: fingerprint and suspected parts.
    pub requests: Vec<(u64, Vec<u64>)>,
}

impl CrashReport {
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
    /// Crashes with their candidates.
    pub crashes: Vec<CrashReport>,
    /// Formerly suspected parts, each with the time since its last first event at
    /// this entry, in milliseconds.
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
    /// Time of the last first event of each part at this entry.
    sound: BTreeMap<u64, Duration>,
    /// The same at other entries, for parts that were suspected.
    other_sound: BTreeMap<u64, Duration>,
    /// Trials of this entry, by fingerprint of the request.
    trials: BTreeMap<u64, Trial>,
    /// Trials of other entries.
    other_trials: BTreeMap<Name, (Vec<Trial>, Duration)>,
}

impl Register {
    /// Records that a server crashed while it ran a request that had produced no
    /// event.
    pub fn record_crash(&mut self, now: Duration, start: Start, prompt: &Prompt) {
        let suspected = self.candidates(prompt);
        if !suspected.is_empty() {
            add_request(&mut self.crashes, now, start, prompt.fingerprint, suspected);
        }
    }

    /// Records that a connection to a server broke while it ran a request that had
    /// produced no event, but that it is not known whether the server crashed.
    pub fn record_break(&mut self, now: Duration, start: Start, prompt: &Prompt) {
        let suspected = self.candidates(prompt);
        if !suspected.is_empty() {
            add_request(&mut self.unconfirmed, now, start, prompt.fingerprint, suspected);
        }
    }

    /// Starts of servers whose crash is not confirmed yet.
    pub fn unconfirmed(&self) -> Vec<Start> {
        self.unconfirmed.keys().cloned().collect()
    }

    /// Confirms that a server crashed.
    pub fn confirm(&mut self, now: Duration, start: &Start) {
        let Some(found) = self.unconfirmed.remove(start) else { return };
        for (request, parts) in found.requests {
            let crash = add_request(&mut self.crashes, now, start.clone(), request, parts);
            crash.at = crash.at.min(found.at);
        }
    }

    /// The parts of a request that may have caused a crash: those that no server
    /// has ever answered, or all of them if there are none.
    fn candidates(&self, prompt: &Prompt) -> BTreeSet<u64> {
        let parts = prompt.shared_parts.iter().copied();
        let unproven: BTreeSet<u64> =
            parts.clone().filter(|part| self.sound_at(*part).is_none()).collect();
        if unproven.is_empty() { parts.collect() } else { unproven }
    }

    /// Records the first event of a request with these parts. Returns those that
    /// were suspected.
    pub fn record_sound(&mut self, now: Duration, parts: &[u64]) -> Vec<u64> {
        let suspected = parts.iter().copied().filter(|part| self.is_suspected(*part));
        let cleared: Vec<u64> = suspected.collect();
        for part in parts {
            mark_sound(&mut self.sound, now, *part);
        }
        cleared
    }

    /// Time of the last first event of a part.
    fn sound_at(&self, part: u64) -> Option<Duration> {
        self.sound.get(&part).max(self.other_sound.get(&part)).copied()
    }

    /// Whether a crash that a part may have caused came after its last first event.
    fn is_open(&self, crash: &Crash, part: u64) -> bool {
        self.sound_at(part).is_none_or(|sound_at| sound_at < crash.at)
    }

    fn is_suspected(&self, part: u64) -> bool {
        !self.evidence(part).is_empty()
    }

    /// The crashes that a part may have caused, each with the request that contained
    /// it.
    fn evidence(&self, part: u64) -> BTreeSet<(&Start, u64)> {
        let mut evidence = BTreeSet::new();
        for (start, crash) in &self.crashes {
            if !self.is_open(crash, part) {
                continue;
            }
            let with_part = crash.requests.iter().filter(|(_, parts)| parts.contains(&part));
            evidence.extend(with_part.map(|(request, _)| (start, *request)));
        }
        evidence
    }

    /// Whether all requests that can have caused a crash contain a part.
    fn is_certain(&self, crash: &Crash, part: u64) -> bool {
        let open = |parts: &&BTreeSet<u64>| parts.iter().any(|part| self.is_open(crash, *part));
        crash.requests.values().filter(open).all(|parts| parts.contains(&part))
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
        if self.crashes.is_empty() {
            return Standing::Clear;
        }
        let all: BTreeSet<u64> = prompt.shared_parts.iter().copied().collect();
        let blocked_by_part = all.iter().filter_map(|part| self.part_block(*part, &all)).max();
        match blocked_by_part.max(self.request_block(prompt.fingerprint)) {
            Some(until) if now < until => Standing::Blocked(until - now),
            _ if all.iter().any(|part| self.is_suspected(*part)) => Standing::Suspected,
            _ => Standing::Clear,
        }
    }

    /// Time until which a part blocks requests with `all` these parts. Crashes by a
    /// single request count once: its body may be the cause.
    fn part_block(&self, part: u64, all: &BTreeSet<u64>) -> Option<Duration> {
        let evidence = self.evidence(part);
        let (count, last) = self.count(&evidence)?;
        let is_certain = evidence.iter().all(|(start, _)| {
            self.crashes.get(*start).is_some_and(|crash| self.is_certain(crash, part))
        });
        let limit = match self.sound_at(part) {
            Some(_) => ONCE_SOUND_CRASH_LIMIT,
            None if is_certain => CERTAIN_CRASHES,
            None => CRASH_LIMIT,
        };
        // After few crashes, each may have been caused by another part.
        let rivals_count = if count >= CRASH_LIMIT { count } else { 1 };
        let blocks = count >= limit && self.rivals(part, &evidence, rivals_count).is_subset(all);
        blocks.then(|| last + block_time(count))
    }

    /// Number of crashes that evidence counts for, and the time of the last one.
    fn count(&self, evidence: &BTreeSet<(&Start, u64)>) -> Option<(usize, Duration)> {
        let requests: BTreeSet<u64> = evidence.iter().map(|(_, request)| *request).collect();
        let starts: BTreeSet<&Start> = evidence.iter().map(|(start, _)| *start).collect();
        let crashes = starts.iter().filter_map(|start| self.crashes.get(*start));
        let (count, last) = count_causes(crashes.map(|crash| crash.at))?;
        Some((count.min(requests.len()), last))
    }

    /// The other parts of the requests in the evidence of a part that may have caused
    /// at least `count` crashes themselves. As long as there are any, only requests with
    /// all of them are blocked: the others show which part it is.
    fn rivals(&self, part: u64, evidence: &BTreeSet<(&Start, u64)>, count: usize) -> BTreeSet<u64> {
        let requests = evidence.iter().filter_map(|(start, request)| {
            self.crashes.get(*start).and_then(|crash| crash.requests.get(request))
        });
        let others: BTreeSet<u64> =
            requests.flatten().copied().filter(|other| *other != part).collect();
        let is_rival = |other: &u64| {
            self.count(&self.evidence(*other)).is_some_and(|(others, _)| others >= count)
        };
        others.into_iter().filter(is_rival).collect()
    }

    /// Time until which a request is blocked, whatever its parts.
    fn request_block(&self, request: u64) -> Option<Duration> {
        let is_candidate = |crash: &&Crash| {
            let parts = crash.requests.get(&request);
            parts.is_some_and(|parts| parts.iter().any(|part| self.is_open(crash, *part)))
        };
        let times = self.crashes.values().filter(is_candidate).map(|crash| crash.at);
        let (count, last) = count_causes(times)?;
        (count >= REQUEST_CRASH_LIMIT).then(|| last + block_time(count))
    }

    /// Records that a request runs as a trial at a server.
    pub fn begin_trial(&mut self, prompt: &Prompt, server: &Name) {
        let parts = prompt.shared_parts.iter().copied();
        let parts = parts.filter(|part| self.is_suspected(*part)).collect();
        self.trials.insert(prompt.fingerprint, Trial { server: server.clone(), parts });
    }

    /// Records the end of an attempt of a request, which may have been a trial.
    pub fn end_trial(&mut self, request: u64) {
        self.trials.remove(&request);
    }

    /// Whether a request with one of these parts runs as a trial.
    pub fn is_tried(&self, now: Duration, prompt: &Prompt) -> bool {
        let parts = &prompt.shared_parts;
        let shares_part = |trial: &Trial| parts.iter().any(|part| trial.parts.contains(part));
        self.running_trials(now).any(shares_part)
    }

    /// Whether a trial runs at a server.
    pub fn has_trial(&self, now: Duration, server: &Name) -> bool {
        self.running_trials(now).any(|trial| trial.server == *server)
    }

    fn running_trials(&self, now: Duration) -> impl Iterator<Item = &Trial> {
        let is_fresh = move |(_, at): &&(Vec<Trial>, Duration)| now < *at + TRIAL_LIFETIME;
        let others = self.other_trials.values().filter(is_fresh).flat_map(|(trials, _)| trials);
        self.trials.values().chain(others)
    }

    /// The report for the other entries.
    pub fn report(&self, now: Duration, scope: Scope) -> Report {
        let interval = |at: Duration| at.as_millis() / FULL_REPORT_INTERVAL.as_millis();
        let begins_interval = interval(now) != interval(now.saturating_sub(HEARTBEAT));
        let full = scope == Scope::All || begins_interval;
        let is_due = |learned_at: Duration| full || now < learned_at + REPORT_TIME;
        let crashes = self.crashes.iter().filter(|(_, crash)| is_due(crash.learned_at));
        let crashes = crashes.map(|(start, crash)| CrashReport {
            start: start.clone(),
            age_ms: age_ms(now, crash.at),
            requests: crash
                .requests
                .iter()
                .map(|(request, parts)| (*request, parts.iter().copied().collect()))
                .collect(),
        });
        Report {
            crashes: crashes.collect(),
            sound: self.sound_candidates(now, is_due),
            trials: self.trials.values().cloned().collect(),
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
    }

    /// Drops expired state.
    pub fn sweep(&mut self, now: Duration) {
        self.unconfirmed.retain(|_, crash| now < crash.at + CONFIRM_TIMEOUT);
        self.crashes.retain(|_, crash| now < crash.at + CRASH_LIFETIME);
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

/// Number of crashes without those that follow another one closely, and the time
/// of the last one; `None` without any.
fn count_causes(times: impl Iterator<Item = Duration>) -> Option<(usize, Duration)> {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let last = *times.last()?;
    let mut count = 0;
    let mut first = None;
    for at in times {
        if first.is_none_or(|first| at >= first + SAME_CAUSE) {
            count += 1;
            first = Some(at);
        }
    }
    Some((count, last))
}

/// Time for which a part is blocked after its last crash, the `count`th one.
fn block_time(count: usize) -> Duration {
    let doublings = count.saturating_sub(CERTAIN_CRASHES).min(16) as u32;
    (BLOCK_MIN * 2u32.pow(doublings)).min(BLOCK_MAX)
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
