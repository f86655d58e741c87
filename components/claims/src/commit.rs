//! Writes of the head: batches of changes, spilling of records to segments and
//! trimming of expired segments.

use std::time::Duration;

use crate::log::{Records, State};
use crate::partition::{Claim, Context, Operation, Partition, Pending, Phase, Snapshot, Spill};
use crate::{Head, Output, Record, Segment};

impl Partition {
    /// Starts the next call to the platform, if one is due.
    pub(crate) fn start_next_call(
        &mut self,
        context: &mut Context,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.pending.is_some() {
            return;
        }
        if let Some(at) = self.retry_at {
            let needed = self.refresh_needed || self.has_changes() || !self.waiting.is_empty();
            if now >= at && needed {
                self.start_load(context, out);
            }
            return;
        }
        let unread = self.snapshot.is_none() && !self.waiting.is_empty();
        if unread || (self.stale && (self.has_changes() || !self.waiting.is_empty())) {
            return self.start_load(context, out);
        }
        if let Some(name) = self.missing_segment().cloned() {
            let call = context.next_call();
            self.pending = Some(Pending { call, operation: Operation::Segment(name.clone()) });
            return out.push(Output::LoadSegment { call, partition: self.id, name });
        }
        if !self.waiting.is_empty() {
            return self.start_load(context, out);
        }
        if self.has_changes() && now >= self.next_store_at {
            // Under contention, a write based on an older head would conflict again.
            let is_outdated = now > self.read_at + context.settings.pace / 2;
            if self.conflicts > 0 && is_outdated {
                return self.start_load(context, out);
            }
            self.start_store(context, now, out);
        }
    }

    fn start_load(&mut self, context: &mut Context, out: &mut Vec<Output>) {
        let call = context.next_call();
        self.pending = Some(Pending { call, operation: Operation::Load });
        out.push(Output::Load { call, partition: self.id });
    }

    /// Whether there are changes to write to the head.
    fn has_changes(&self) -> bool {
        let has_spill = self.spill.as_ref().is_some_and(|spill| spill.stored);
        has_spill || self.claims.values().any(|claim| claim.phase != Phase::Granted)
    }

    fn start_store(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        let Some(Snapshot { version, head }) = self.snapshot.clone() else { return };
        let mut next = head;
        self.trim(context, version, &mut next);
        self.attach_spill(&mut next, out);
        let written = self.apply_claims(context, version, &mut next);
        let value = next.encode();
        if value.len() - next.list_size() > context.settings.spill_size {
            self.start_spill(context, out);
        }
        if value.len() > context.settings.head_limit {
            return;
        }
        for (key, phase) in written {
            self.claims.entry(key).and_modify(|claim| claim.phase = phase);
        }
        self.next_store_at = now + context.settings.pace;
        let call = context.next_call();
        self.pending = Some(Pending { call, operation: Operation::Store(next) });
        out.push(Output::Store { call, partition: self.id, expect: version, value });
    }

    /// Applies the next batch of this writer's changes to the head, oldest first.
    /// Returns the phases of the claims once the write is in flight.
    fn apply_claims(
        &self,
        context: &Context,
        version: Option<u64>,
        next: &mut Head,
    ) -> Vec<(u128, Phase)> {
        let mut due: Vec<(u64, u128)> =
            self.claims.iter().map(|(key, claim)| (claim.sequence, *key)).collect();
        due.sort_unstable();
        let mut written = Vec::new();
        for (_, key) in due {
            if written.len() >= context.settings.batch_limit {
                break;
            }
            let Some(claim) = self.claims.get(&key) else { continue };
            let Some((state, phase)) = transition(claim, version) else { continue };
            next.records.insert(key, to_record(context, claim, state));
            written.push((key, phase));
        }
        written
    }

    /// Removes the oldest segments whose records are all past retention plus clock skew.
    fn trim(&mut self, context: &Context, version: Option<u64>, next: &mut Head) {
        let protected = context.settings.retention + context.settings.skew;
        let is_expired = |segment: &&Segment| segment.newest + protected < context.wall;
        let count = next.segments.iter().take_while(is_expired).count();
        for segment in next.segments.drain(..count) {
            self.garbage.insert(segment.name, version);
        }
    }

    /// Replaces records in the head with the segment written for them. Each record
    /// must still be in the head or have been replaced there; otherwise the segment is
    /// discarded, since it would bring back outdated records.
    fn attach_spill(&mut self, next: &mut Head, out: &mut Vec<Output>) {
        let Some(spill) = self.spill.as_ref().filter(|spill| spill.stored) else { return };
        if spill.records.map.keys().any(|key| !next.records.contains_key(key)) {
            out.push(Output::DeleteSegment { partition: self.id, name: spill.name.clone() });
            self.spill = None;
            return;
        }
        next.records.retain(|key, record| spill.records.map.get(key) != Some(record));
        next.segments.push(Segment { name: spill.name.clone(), newest: spill.records.newest() });
    }

    fn start_spill(&mut self, context: &mut Context, out: &mut Vec<Output>) {
        let Some(snapshot) = &self.snapshot else { return };
        let in_progress = self.spill.as_ref().is_some_and(|s| s.stored || s.call.is_some());
        if in_progress || snapshot.head.records.is_empty() {
            return;
        }
        let call = context.next_call();
        let writer = &context.writer;
        let name = arcstr::format!("{:04}-{}-{}-{call}", self.id, writer.name, writer.incarnation);
        let records = Records { map: snapshot.head.records.clone() };
        let value = records.encode();
        let partition = self.id;
        out.push(Output::StoreSegment { call, partition, name: name.clone(), value });
        self.spill = Some(Spill { name, records, call: Some(call), stored: false });
    }

    /// Whether `call` is the write of the spilled segment.
    pub(crate) fn is_spill_write(&self, call: u64) -> bool {
        self.spill.as_ref().is_some_and(|spill| spill.call == Some(call))
    }

    pub(crate) fn spill_stored(&mut self) {
        if let Some(spill) = &mut self.spill {
            spill.call = None;
            spill.stored = true;
        }
    }

    /// Discards a segment whose write was not confirmed; no head refers to it.
    pub(crate) fn spill_failed(&mut self, out: &mut Vec<Output>) {
        if let Some(spill) = self.spill.take() {
            out.push(Output::DeleteSegment { partition: self.id, name: spill.name });
        }
    }

    /// Deletes removed segments once a confirmed head no longer refers to them.
    pub(crate) fn delete_unreferenced_segments(&mut self, out: &mut Vec<Output>) {
        let Some(Snapshot { version, head }) = &self.snapshot else { return };
        let superseded = self.garbage.extract_if(.., |_, expect| *version > *expect);
        for (name, _) in superseded {
            if !head.segments.iter().any(|segment| segment.name == name) {
                out.push(Output::DeleteSegment { partition: self.id, name });
            }
        }
    }
}

/// Returns the record state that the next write sets for a claim, and the claim's
/// phase while that write is in flight. `None` if there is nothing to write.
fn transition(claim: &Claim, version: Option<u64>) -> Option<(State, Phase)> {
    match &claim.phase {
        Phase::Queued | Phase::Sent { .. } if claim.ticket.is_some() => {
            Some((State::Claimed, Phase::Sent { expect: version }))
        }
        Phase::Done(Some(answer)) => Some((State::Finished(answer.clone()), claim.phase.clone())),
        Phase::Done(None) => Some((State::Ran, claim.phase.clone())),
        Phase::Abandoned | Phase::Releasing { .. } => {
            Some((State::Released, Phase::Releasing { expect: version }))
        }
        Phase::Granted | Phase::Queued | Phase::Sent { .. } => None,
    }
}

fn to_record(context: &Context, claim: &Claim, state: State) -> Record {
    Record {
        fingerprint: claim.fingerprint,
        writer: context.writer.clone(),
        sequence: claim.sequence,
        time: claim.time,
        state,
    }
}
