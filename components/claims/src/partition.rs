//! One partition: its calls to the platform and what their completions mean.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

use crate::log::Records;
use crate::{Answer, Denial, Head, Object, Output, Record, Settings, Writer};

/// Most doublings of the wait after a lost race.
const CONFLICT_DOUBLINGS: u32 = 4;

/// What all partitions of a ledger share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) writer: Writer,
    pub(crate) settings: Settings,
    pub(crate) wall: Duration,
    pub(crate) calls: u64,
    pub(crate) sequence: u64,
}

impl Context {
    pub(crate) fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

/// How far a claim of this very writer has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// In no write yet.
    Queued,
    /// In a write at this version whose effect is not known.
    Sent { expect: Option<u64> },
    /// Confirmed and granted.
    Granted,
    /// Ran to its end; the record doesn't say so yet.
    Done(Option<Answer>),
    /// Confirmed, never handed over and not yet released.
    Freed,
    /// Its release is in a write at this version whose effect is not known.
    Releasing { expect: Option<u64> },
}

/// A claim of this very writer.
#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub(crate) sequence: u64,
    pub(crate) fingerprint: u64,
    pub(crate) time: Duration,
    /// Who waits for it or runs it; nobody once denied or abandoned.
    pub(crate) ticket: Option<u64>,
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
}

/// A request that waits until the log has been read.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: u64,
    pub(crate) key: u128,
    pub(crate) fingerprint: u64,
    pub(crate) deadline: Duration,
}

/// A head whose version is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    pub(crate) version: Option<u64>,
    pub(crate) head: Head,
}

#[derive(Clone, Debug)]
pub(crate) enum Work {
    Load,
    Segment(Name),
    Store(Head),
}

/// The one call in flight on the head or its segments.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) call: u64,
    pub(crate) work: Work,
}

/// Records on their way from the head to a segment.
#[derive(Clone, Debug)]
pub(crate) struct Spill {
    pub(crate) name: Name,
    pub(crate) records: Records,
    /// The call that writes the segment, while it is in flight.
    pub(crate) call: Option<u64>,
    pub(crate) stored: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Partition {
    pub(crate) id: u32,
    pub(crate) known: Option<Known>,
    pub(crate) segments: BTreeMap<Name, Records>,
    pub(crate) own: BTreeMap<u128, Own>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) flight: Option<Flight>,
    pub(crate) spill: Option<Spill>,
    /// Segments dropped from the head, by the version expected by that write.
    pub(crate) garbage: BTreeMap<Name, Option<u64>>,
    /// The known head has been replaced by another writer.
    pub(crate) stale: bool,
    pub(crate) failures: u32,
    /// Writes lost to other writers since the last own one.
    pub(crate) conflicts: u32,
    /// When the head was last read or written.
    pub(crate) read_at: Duration,
    /// While set, the platform counts as out until a read succeeds.
    pub(crate) retry_at: Option<Duration>,
    /// Somebody was denied since the platform was last asked.
    pub(crate) wanted: bool,
    pub(crate) next_store: Duration,
    pub(crate) used: Duration,
}

impl Partition {
    pub(crate) fn new(id: u32) -> Partition {
        Partition { id, ..Partition::default() }
    }

    /// Takes the flight that `call` completes, if it is the one in flight.
    pub(crate) fn land(&mut self, call: u64) -> Option<Work> {
        let flight = self.flight.take_if(|flight| flight.call == call)?;
        Some(flight.work)
    }

    pub(crate) fn loaded(
        &mut self,
        context: &mut Context,
        now: Duration,
        object: Option<Object>,
        out: &mut Vec<Output>,
    ) {
        let version = object.as_ref().map(|object| object.version);
        let last = self.known.as_ref().map(|known| known.version);
        // A read from before what is known already tells nothing.
        if last.is_some_and(|last| version < last) {
            return self.fail(context, now, None, out);
        }
        if last != Some(version) {
            let decoded = object.map_or(Ok(Head::default()), |object| Head::decode(&object.value));
            let Ok(head) = decoded else { return self.fail(context, now, None, out) };
            self.replace_head(version, head);
        }
        self.read_at = now;
        self.stale = false;
        self.retry_at = None;
        self.wanted = false;
        self.settle(context, now, out);
    }

    pub(crate) fn segment_loaded(
        &mut self,
        context: &mut Context,
        now: Duration,
        name: Name,
        value: Option<String>,
        out: &mut Vec<Output>,
    ) {
        // A segment that is gone means that the head in memory is old.
        let Some(Ok(records)) = value.map(|value| Records::decode(&value)) else {
            self.stale = true;
            return self.fail(context, now, None, out);
        };
        self.segments.insert(name, records);
        self.settle(context, now, out);
    }

    pub(crate) fn stored(
        &mut self,
        context: &mut Context,
        now: Duration,
        head: Head,
        version: u64,
        out: &mut Vec<Output>,
    ) {
        self.failures = 0;
        self.conflicts = 0;
        self.read_at = now;
        self.replace_head(Some(version), head);
        self.settle(context, now, out);
    }

    /// Another writer was faster. The first retry goes at once, later ones wait
    /// longer and longer, each writer for a time of its own.
    pub(crate) fn conflict(&mut self, context: &Context, now: Duration, call: u64) {
        self.failures = 0;
        self.stale = true;
        let factor = 1 << self.conflicts.min(CONFLICT_DOUBLINGS);
        let wait = context.settings.pace * factor;
        let seed = context.writer.incarnation ^ call;
        let random = xxhash_rust::xxh3::xxh3_64_with_seed(context.writer.name.as_bytes(), seed);
        let jitter = wait * (random % 1000) as u32 / 1000;
        let is_first = self.conflicts == 0;
        self.next_store = if is_first { now } else { now + wait / 2 + jitter };
        self.conflicts = self.conflicts.saturating_add(1);
    }

    fn replace_head(&mut self, version: Option<u64>, head: Head) {
        let is_referred = |name: &Name| head.segments.iter().any(|s| s.name == *name);
        // The content of a segment that this writer wrote needs no read.
        if let Some(spill) = self.spill.take_if(|spill| is_referred(&spill.name)) {
            self.segments.insert(spill.name, spill.records);
        }
        self.segments.retain(|name, _| is_referred(name));
        self.known = Some(Known { version, head });
    }

    /// A call came to nothing: after a first lost write the head is read back
    /// at once, otherwise the platform counts as out.
    pub(crate) fn failed(
        &mut self,
        context: &Context,
        now: Duration,
        work: Work,
        out: &mut Vec<Output>,
    ) {
        if matches!(work, Work::Store(_)) {
            self.stale = true;
            if self.failures == 0 {
                self.failures = 1;
                return;
            }
        }
        self.fail(context, now, None, out);
    }

    /// Counts the platform as out and denies all that wait for it.
    pub(crate) fn fail(
        &mut self,
        context: &Context,
        now: Duration,
        retry_after: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        let settings = &context.settings;
        let factor = 1 << self.failures.min(16);
        let backoff = (settings.backoff * factor).min(settings.backoff_limit);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + retry_after.unwrap_or(backoff));
        self.wanted = false;
        self.deny_where(context, now, |_| true, out);
    }

    /// Denies the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, context: &Context, now: Duration, out: &mut Vec<Output>) {
        self.deny_where(context, now, |deadline| deadline <= now, out);
    }

    fn deny_where(
        &mut self,
        context: &Context,
        now: Duration,
        is_over: impl Fn(Duration) -> bool,
        out: &mut Vec<Output>,
    ) {
        let unavailable = self.unavailable(context, now);
        let over = self.waiting.extract_if(.., |waiting| is_over(waiting.deadline));
        let over: Vec<Waiting> = over.collect();
        for waiting in over {
            let denial = self.cached_denial(&waiting).unwrap_or(unavailable.clone());
            self.wanted = true;
            out.push(Output::Deny { ticket: waiting.ticket, denial });
        }
        let mut gone = Vec::new();
        for (key, own) in &mut self.own {
            let unresolved = matches!(own.phase, Phase::Queued | Phase::Sent { .. });
            if !unresolved || !is_over(own.deadline) {
                continue;
            }
            let Some(ticket) = own.ticket.take() else { continue };
            out.push(Output::Deny { ticket, denial: unavailable.clone() });
            if own.phase == Phase::Queued {
                gone.push(*key);
            }
        }
        for key in gone {
            self.own.remove(&key);
        }
    }

    pub(crate) fn unavailable(&self, context: &Context, now: Duration) -> Denial {
        let backoff = context.settings.backoff;
        let wait = self.retry_at.map_or(backoff, |at| at.saturating_sub(now).max(backoff));
        Denial::Unavailable { retry_after: wait }
    }

    /// The latest record of a key, as far as the log is in memory.
    pub(crate) fn record(&self, key: u128) -> Option<&Record> {
        let head = &self.known.as_ref()?.head;
        if let Some(record) = head.records.get(&key) {
            return Some(record);
        }
        let newest_first = head.segments.iter().rev();
        newest_first.filter_map(|s| self.segments.get(&s.name)).find_map(|r| r.map.get(&key))
    }

    /// The first segment of the head that is not in memory.
    pub(crate) fn missing(&self) -> Option<&Name> {
        let head = &self.known.as_ref()?.head;
        head.segments.iter().map(|s| &s.name).find(|name| !self.segments.contains_key(*name))
    }

    /// Whether the whole log is in memory.
    pub(crate) fn is_complete(&self) -> bool {
        self.known.is_some() && self.missing().is_none()
    }

    /// Number of records in memory.
    pub(crate) fn record_count(&self) -> usize {
        let head = self.known.as_ref().map_or(0, |known| known.head.records.len());
        head + self.segments.values().map(|records| records.map.len()).sum::<usize>()
    }

    /// Number of requests that this writer has in hand.
    pub(crate) fn open_count(&self) -> usize {
        self.own.len() + self.waiting.len()
    }

    /// Whether the partition can leave memory without loss.
    pub(crate) fn is_idle(&self) -> bool {
        let calls = self.flight.is_some() || self.spill.is_some();
        self.own.is_empty() && self.waiting.is_empty() && !calls && self.garbage.is_empty()
    }
}
