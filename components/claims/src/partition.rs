//! State of one partition and the handling of completed calls to the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

use crate::log::Records;
use crate::{Answer, Denial, Head, Object, Output, Record, Settings, Writer};

/// Maximum number of times the wait after a conflict is doubled.
const CONFLICT_DOUBLING_LIMIT: u32 = 4;

/// State shared by all partitions of a ledger.
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

/// Progress of a claim of this writer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Not part of any write yet.
    Queued,
    /// Part of a write that expects this head version; the result is unknown.
    Sent { expect: Option<u64> },
    /// Confirmed by the platform and granted.
    Granted,
    /// Executed; the result is not yet in the record.
    Done(Option<Answer>),
    /// Confirmed but never dispatched; the release is not written yet.
    Abandoned,
    /// The release is part of a write that expects this head version; the result
    /// is unknown.
    Releasing { expect: Option<u64> },
}

/// A claim of this writer that is not yet settled.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) sequence: u64,
    pub(crate) fingerprint: u64,
    pub(crate) time: Duration,
    /// The ticket that waits for or runs the claim; `None` once denied or abandoned.
    pub(crate) ticket: Option<u64>,
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
}

/// A request waiting for the log to be read.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: u64,
    pub(crate) key: u128,
    pub(crate) fingerprint: u64,
    pub(crate) deadline: Duration,
}

/// The last head read or written; `version` is `None` if no head exists.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) version: Option<u64>,
    pub(crate) head: Head,
}

#[derive(Clone, Debug)]
pub(crate) enum Operation {
    Load,
    Segment(Name),
    Store(Head),
}

/// The call in flight that reads or writes the head or reads a segment; at most
/// one per partition.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) call: u64,
    pub(crate) operation: Operation,
}

/// Records being moved from the head to a segment.
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
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) segments: BTreeMap<Name, Records>,
    pub(crate) claims: BTreeMap<u128, Claim>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) pending: Option<Pending>,
    pub(crate) spill: Option<Spill>,
    /// Segments removed from the head, each with the head version that the
    /// removing write expects.
    pub(crate) garbage: BTreeMap<Name, Option<u64>>,
    /// The snapshot may be outdated and must be read again.
    pub(crate) stale: bool,
    pub(crate) failures: u32,
    /// Conflicts with other writers since the last successful write.
    pub(crate) conflicts: u32,
    /// Time at which the head was last read or written.
    pub(crate) read_at: Duration,
    /// Time of the next read while the platform is considered unavailable;
    /// cleared when a read succeeds.
    pub(crate) retry_at: Option<Duration>,
    /// A request was denied since the last read attempt, so the head has to be
    /// read again.
    pub(crate) refresh_needed: bool,
    pub(crate) next_store_at: Duration,
    pub(crate) last_used: Duration,
}

impl Partition {
    pub(crate) fn new(id: u32) -> Partition {
        Partition { id, ..Partition::default() }
    }

    /// Removes the pending call and returns its operation if `call` completes it.
    pub(crate) fn take_pending(&mut self, call: u64) -> Option<Operation> {
        let pending = self.pending.take_if(|pending| pending.call == call)?;
        Some(pending.operation)
    }

    pub(crate) fn loaded(
        &mut self,
        context: &mut Context,
        now: Duration,
        object: Option<Object>,
        out: &mut Vec<Output>,
    ) {
        let version = object.as_ref().map(|object| object.version);
        let last = self.snapshot.as_ref().map(|snapshot| snapshot.version);
        // A read older than the snapshot is outdated and counts as failed.
        if last.is_some_and(|last| version < last) {
            return self.mark_unavailable(context, now, None, out);
        }
        if last != Some(version) {
            let decoded = object.map_or(Ok(Head::default()), |object| Head::decode(&object.value));
            let Ok(head) = decoded else { return self.mark_unavailable(context, now, None, out) };
            self.replace_head(version, head);
        }
        self.read_at = now;
        self.stale = false;
        self.retry_at = None;
        self.refresh_needed = false;
        self.resolve(context, now, out);
    }

    pub(crate) fn segment_loaded(
        &mut self,
        context: &mut Context,
        now: Duration,
        name: Name,
        value: Option<String>,
        out: &mut Vec<Output>,
    ) {
        // Segments are deleted only after the head no longer refers to them, so a
        // missing segment means that the snapshot is outdated.
        let Some(Ok(records)) = value.map(|value| Records::decode(&value)) else {
            self.stale = true;
            return self.mark_unavailable(context, now, None, out);
        };
        self.segments.insert(name, records);
        self.resolve(context, now, out);
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
        self.resolve(context, now, out);
    }

    /// Another writer changed the head first. Retries at once after the first
    /// conflict, later with exponential backoff and a jitter derived from the writer.
    pub(crate) fn conflict(&mut self, context: &Context, now: Duration, call: u64) {
        self.failures = 0;
        self.stale = true;
        let factor = 1 << self.conflicts.min(CONFLICT_DOUBLING_LIMIT);
        let wait = context.settings.pace * factor;
        let seed = context.writer.incarnation ^ call;
        let random = xxhash_rust::xxh3::xxh3_64_with_seed(context.writer.name.as_bytes(), seed);
        let jitter = wait * (random % 1000) as u32 / 1000;
        let is_first = self.conflicts == 0;
        self.next_store_at = if is_first { now } else { now + wait / 2 + jitter };
        self.conflicts = self.conflicts.saturating_add(1);
    }

    fn replace_head(&mut self, version: Option<u64>, head: Head) {
        let is_referenced = |name: &Name| head.segments.iter().any(|s| s.name == *name);
        // Segments written by this writer need not be read back.
        if let Some(spill) = self.spill.take_if(|spill| is_referenced(&spill.name)) {
            self.segments.insert(spill.name, spill.records);
        }
        self.segments.retain(|name, _| is_referenced(name));
        self.snapshot = Some(Snapshot { version, head });
    }

    /// Handles a failed call. After the first failed write the head is read back at
    /// once to find its effect; any other failure marks the platform unavailable.
    pub(crate) fn call_failed(
        &mut self,
        context: &Context,
        now: Duration,
        operation: Operation,
        out: &mut Vec<Output>,
    ) {
        if matches!(operation, Operation::Store(_)) {
            self.stale = true;
            if self.failures == 0 {
                self.failures = 1;
                return;
            }
        }
        self.mark_unavailable(context, now, None, out);
    }

    /// Marks the platform unavailable and denies all unresolved requests. The next
    /// read follows after `retry_after`, or else with exponential backoff.
    pub(crate) fn mark_unavailable(
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
        self.refresh_needed = false;
        self.deny_where(context, now, |_| true, out);
    }

    /// Denies unresolved requests whose deadline has passed.
    pub(crate) fn expire(&mut self, context: &Context, now: Duration, out: &mut Vec<Output>) {
        self.deny_where(context, now, |deadline| deadline <= now, out);
    }

    fn deny_where(
        &mut self,
        context: &Context,
        now: Duration,
        is_expired: impl Fn(Duration) -> bool,
        out: &mut Vec<Output>,
    ) {
        let unavailable = self.unavailable(context, now);
        let expired = self.waiting.extract_if(.., |waiting| is_expired(waiting.deadline));
        let expired: Vec<Waiting> = expired.collect();
        for waiting in expired {
            let denial = self.cached_denial(&waiting).unwrap_or(unavailable.clone());
            self.refresh_needed = true;
            out.push(Output::Deny { ticket: waiting.ticket, denial });
        }
        let mut removed = Vec::new();
        for (key, claim) in &mut self.claims {
            let unresolved = matches!(claim.phase, Phase::Queued | Phase::Sent { .. });
            if !unresolved || !is_expired(claim.deadline) {
                continue;
            }
            let Some(ticket) = claim.ticket.take() else { continue };
            out.push(Output::Deny { ticket, denial: unavailable.clone() });
            if claim.phase == Phase::Queued {
                removed.push(*key);
            }
        }
        for key in removed {
            self.claims.remove(&key);
        }
    }

    pub(crate) fn unavailable(&self, context: &Context, now: Duration) -> Denial {
        let backoff = context.settings.backoff;
        let wait = self.retry_at.map_or(backoff, |at| at.saturating_sub(now).max(backoff));
        Denial::Unavailable { retry_after: wait }
    }

    /// Returns the latest record of a key in the loaded part of the log.
    pub(crate) fn record(&self, key: u128) -> Option<&Record> {
        let head = &self.snapshot.as_ref()?.head;
        if let Some(record) = head.records.get(&key) {
            return Some(record);
        }
        let newest_first = head.segments.iter().rev();
        newest_first.filter_map(|s| self.segments.get(&s.name)).find_map(|r| r.map.get(&key))
    }

    /// Returns the first segment of the head that is not loaded.
    pub(crate) fn missing_segment(&self) -> Option<&Name> {
        let head = &self.snapshot.as_ref()?.head;
        head.segments.iter().map(|s| &s.name).find(|name| !self.segments.contains_key(*name))
    }

    /// Whether the head and all its segments are loaded.
    pub(crate) fn is_complete(&self) -> bool {
        self.snapshot.is_some() && self.missing_segment().is_none()
    }

    /// Number of records in memory.
    pub(crate) fn record_count(&self) -> usize {
        let head = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.records.len());
        head + self.segments.values().map(|records| records.map.len()).sum::<usize>()
    }

    /// Number of unsettled claims and waiting requests of this writer.
    pub(crate) fn open_count(&self) -> usize {
        self.claims.len() + self.waiting.len()
    }

    /// Whether the partition can be evicted without losing state.
    pub(crate) fn is_idle(&self) -> bool {
        let has_calls = self.pending.is_some() || self.spill.is_some();
        self.claims.is_empty() && self.waiting.is_empty() && !has_calls && self.garbage.is_empty()
    }
}
