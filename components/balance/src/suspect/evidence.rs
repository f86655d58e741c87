//! Which parts and requests explain the known crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Crashes, apart in time, after which a part that no server has ever answered is
/// blocked, if each of them can have no other cause among the requests.
const CERTAIN_CRASHES: usize = 2;

/// Servers that such a part may crash before it is blocked, if it can be the only
/// cause of one of these crashes.
const SERVER_LIMIT: usize = 3;

/// Crashes, apart in time, after which any part that no server has ever answered is
/// blocked.
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

/// Time for which a part is blocked after the second crash. Short, since two crashes
/// can be chance.
const BLOCK_MIN: Duration = Duration::from_secs(30);

/// Factor by which that time grows with each further crash.
const BLOCK_FACTOR: u32 = 4;

/// Maximum time for which a part is blocked.
const BLOCK_MAX: Duration = Duration::from_secs(3600);

/// A crash of a server, with the requests that waited for their first event there.
#[derive(Clone, Debug, Default)]
pub struct Crash {
    /// Time of the crash.
    pub at: Duration,
    /// Time at which this entry learned of the latest request.
    pub learned_at: Duration,
    /// Shared prompt parts by fingerprint of the request.
    pub requests: BTreeMap<u64, BTreeSet<u64>>,
}

/// The parts that may have caused a crash.
#[derive(Clone, Debug)]
struct Case {
    at: Duration,
    /// Parts by fingerprint of the request.
    candidates: BTreeMap<u64, BTreeSet<u64>>,
}

impl Case {
    /// A part that has ever been answered is a candidate only if there is no other,
    /// and if it hasn't been answered since.
    fn new(crash: &Crash, sound_at: impl Fn(u64) -> Option<Duration>) -> Case {
        let select = |is_candidate: &dyn Fn(u64) -> bool| {
            let selected = crash.requests.iter().map(|(request, parts)| {
                (*request, parts.iter().copied().filter(|part| is_candidate(*part)).collect())
            });
            selected.filter(|(_, parts): &(u64, BTreeSet<u64>)| !parts.is_empty()).collect()
        };
        let mut candidates: BTreeMap<_, _> = select(&|part| sound_at(part).is_none());
        if candidates.is_empty() {
            candidates = select(&|part| sound_at(part).is_none_or(|at| at < crash.at));
        }
        Case { at: crash.at, candidates }
    }

    /// Whether a part is the only candidate.
    fn is_alone(&self, part: u64) -> bool {
        self.candidates.values().all(|parts| parts.len() == 1 && parts.contains(&part))
    }

    /// Whether each request that may have caused the crash contains a part.
    fn implies(&self, part: u64) -> bool {
        self.candidates.values().all(|parts| parts.contains(&part))
    }
}

/// The candidates of all known crashes.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    cases: Vec<Case>,
    /// Candidates that were once answered.
    once_sound: BTreeSet<u64>,
}

impl Evidence {
    /// Collects the candidates. `sound_at` returns the time at which a server last
    /// began to answer a request with a part.
    pub fn new<'a>(
        crashes: impl Iterator<Item = &'a Crash>,
        sound_at: impl Fn(u64) -> Option<Duration>,
    ) -> Evidence {
        let cases: Vec<Case> = crashes.map(|crash| Case::new(crash, &sound_at)).collect();
        let parts = cases.iter().flat_map(|case| case.candidates.values().flatten());
        let once_sound = parts.copied().filter(|part| sound_at(*part).is_some()).collect();
        Evidence { cases, once_sound }
    }

    /// Whether a part may have caused a crash.
    pub fn is_suspected(&self, part: u64) -> bool {
        self.cases_with(part).next().is_some()
    }

    /// Time until which a request with this fingerprint and these parts is blocked.
    pub fn blocked_until(&self, request: u64, parts: &BTreeSet<u64>) -> Option<Duration> {
        let by_part = parts.iter().filter_map(|part| self.part_block(*part, parts)).max();
        by_part.max(self.request_block(request))
    }

    /// Time until which a part blocks requests with `all` these parts.
    fn part_block(&self, part: u64, all: &BTreeSet<u64>) -> Option<Duration> {
        let (count, last) = self.count(part)?;
        let servers = self.cases_with(part).count().min(self.requests(part).len());
        let is_sufficient = if self.once_sound.contains(&part) {
            count >= ONCE_SOUND_CRASH_LIMIT
        } else if self.cases_with(part).all(|case| case.implies(part)) {
            count >= CERTAIN_CRASHES || servers >= SERVER_LIMIT
        } else {
            let alone = || self.cases_with(part).any(|case| case.is_alone(part));
            count >= CRASH_LIMIT || (count >= CERTAIN_CRASHES && servers >= SERVER_LIMIT && alone())
        };
        // After few crashes, each may have been caused by another part.
        let rivals_count = if servers >= SERVER_LIMIT { count } else { 1 };
        let blocks = is_sufficient && self.rivals(part, rivals_count).is_subset(all);
        blocks.then(|| last + block_time(count))
    }

    /// Time until which a request is blocked, whatever its parts.
    fn request_block(&self, request: u64) -> Option<Duration> {
        let with_request = self.cases.iter().filter(|case| case.candidates.contains_key(&request));
        let (count, last) = count_causes(with_request.map(|case| case.at))?;
        (count >= REQUEST_CRASH_LIMIT).then(|| last + block_time(count))
    }

    /// The crashes that a part may have caused.
    fn cases_with(&self, part: u64) -> impl Iterator<Item = &Case> {
        let contains =
            move |case: &&Case| case.candidates.values().any(|parts| parts.contains(&part));
        self.cases.iter().filter(contains)
    }

    /// The requests with a part at these crashes, each with its candidate parts.
    fn requests_with(&self, part: u64) -> impl Iterator<Item = (&u64, &BTreeSet<u64>)> {
        let requests = self.cases.iter().flat_map(|case| &case.candidates);
        requests.filter(move |(_, parts)| parts.contains(&part))
    }

    /// Fingerprints of the requests with a part at these crashes.
    fn requests(&self, part: u64) -> BTreeSet<u64> {
        self.requests_with(part).map(|(request, _)| *request).collect()
    }

    /// Number of crashes that a part may have caused, and the time of the last one.
    /// Crashes by a single request count once: its body may be the cause.
    fn count(&self, part: u64) -> Option<(usize, Duration)> {
        let (count, last) = count_causes(self.cases_with(part).map(|case| case.at))?;
        Some((count.min(self.requests(part).len()), last))
    }

    /// The other parts of the requests with a part that may have caused at least
    /// `count` crashes themselves. As long as there are any, only requests with all of
    /// them are blocked: the others show which part it is.
    fn rivals(&self, part: u64, count: usize) -> BTreeSet<u64> {
        let others: BTreeSet<u64> =
            self.requests_with(part).flat_map(|(_, parts)| parts).copied().collect();
        let is_rival =
            |other: &u64| *other != part && self.count(*other).is_some_and(|(n, _)| n >= count);
        others.into_iter().filter(is_rival).collect()
    }
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
    let further = count.saturating_sub(CERTAIN_CRASHES).min(8) as u32;
    (BLOCK_MIN * BLOCK_FACTOR.pow(further)).min(BLOCK_MAX)
}
