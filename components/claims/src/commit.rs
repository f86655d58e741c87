//! Writes: the next batch, segments that take over old records, trimming.

use std::time::Duration;

use crate::log::{Records, State};
use crate::partition::{Context, Flight, Known, Own, Partition, Phase, Spill, Work};
use crate::{Head, Output, Record, Segment};

impl Partition {
    /// Starts the next call to the platform, if one is due.
    pub(crate) fn pump(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        if self.flight.is_some() {
            return;
        }
        if let Some(at) = self.retry_at {
            let needed = self.wanted || self.has_work() || !self.waiting.is_empty();
            if now >= at && needed {
                self.start_load(context, out);
            }
            return;
        }
        let unread = self.known.is_none() && !self.waiting.is_empty();
        if unread || (self.stale && (self.has_work() || !self.waiting.is_empty())) {
            return self.start_load(context, out);
        }
        if let Some(name) = self.missing().cloned() {
            let call = context.next_call();
            self.flight = Some(Flight { call, work: Work::Segment(name.clone()) });
            return out.push(Output::LoadSegment { call, partition: self.id, name });
        }
        if !self.waiting.is_empty() {
            return self.start_load(context, out);
        }
        if self.has_work() && now >= self.next_store {
            // Among busy writers only a head that was just read wins the race.
            let is_old = now > self.read_at + context.settings.pace / 2;
            if self.conflicts > 0 && is_old {
                return self.start_load(context, out);
            }
            self.start_store(context, now, out);
        }
    }

    fn start_load(&mut self, context: &mut Context, out: &mut Vec<Output>) {
        let call = context.next_call();
        self.flight = Some(Flight { call, work: Work::Load });
        out.push(Output::Load { call, partition: self.id });
    }

    /// Whether a write of the head is due.
    fn has_work(&self) -> bool {
        let attach = self.spill.as_ref().is_some_and(|spill| spill.stored);
        attach || self.own.values().any(|own| own.phase != Phase::Granted)
    }

    fn start_store(&mut self, context: &mut Context, now: Duration, out: &mut Vec<Output>) {
        let Some(Known { version, head }) = self.known.clone() else { return };
        let mut next = head;
        self.trim(context, version, &mut next);
        self.attach_spill(&mut next, out);
        let taken = self.apply_own(context, version, &mut next);
        let value = next.encode();
        if value.len() - next.list_size() > context.settings.spill_size {
            self.start_spill(context, out);
        }
        if value.len() > context.settings.head_limit {
            return;
        }
        for (key, phase) in taken {
            self.own.entry(key).and_modify(|own| own.phase = phase);
        }
        self.next_store = now + context.settings.pace;
        let call = context.next_call();
        self.flight = Some(Flight { call, work: Work::Store(next) });
        out.push(Output::Store { call, partition: self.id, expect: version, value });
    }

    /// Puts the next changes of this writer into the head, oldest first, and
    /// returns the phases that hold once the write is under way.
    fn apply_own(
        &self,
        context: &Context,
        version: Option<u64>,
        next: &mut Head,
    ) -> Vec<(u128, Phase)> {
        let mut due: Vec<(u64, u128)> =
            self.own.iter().map(|(key, own)| (own.sequence, *key)).collect();
        due.sort_unstable();
        let mut taken = Vec::new();
        for (_, key) in due {
            if taken.len() >= context.settings.batch_limit {
                break;
            }
            let Some(own) = self.own.get(&key) else { continue };
            let Some((state, phase)) = change(own, version) else { continue };
            next.records.insert(key, to_record(context, own, state));
            taken.push((key, phase));
        }
        taken
    }

    /// Drops the oldest segments once nothing in them is protected any more.
    fn trim(&mut self, context: &Context, version: Option<u64>, next: &mut Head) {
        let kept = context.settings.retention + context.settings.skew;
        let old = |segment: &&Segment| segment.newest + kept < context.wall;
        let count = next.segments.iter().take_while(old).count();
        for segment in next.segments.drain(..count) {
            self.garbage.insert(segment.name, version);
        }
    }

    /// Moves records to the segment that has been written for them. As each
    /// is in the head still, or has been replaced there, nothing is brought back.
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
        let Some(known) = &self.known else { return };
        let busy = self.spill.as_ref().is_some_and(|s| s.stored || s.call.is_some());
        if busy || known.head.records.is_empty() {
            return;
        }
        let call = context.next_call();
        let writer = &context.writer;
        let name = arcstr::format!("{:04}-{}-{}-{call}", self.id, writer.name, writer.incarnation);
        let records = Records { map: known.head.records.clone() };
        let value = records.encode();
        let partition = self.id;
        out.push(Output::StoreSegment { call, partition, name: name.clone(), value });
        self.spill = Some(Spill { name, records, call: Some(call), stored: false });
    }

    /// Whether `call` is the one that writes a segment.
    pub(crate) fn is_spill(&self, call: u64) -> bool {
        self.spill.as_ref().is_some_and(|spill| spill.call == Some(call))
    }

    pub(crate) fn spill_stored(&mut self) {
        if let Some(spill) = &mut self.spill {
            spill.call = None;
            spill.stored = true;
        }
    }

    /// A segment that was not confirmed is given up; no head refers to it.
    pub(crate) fn spill_failed(&mut self, out: &mut Vec<Output>) {
        if let Some(spill) = self.spill.take() {
            out.push(Output::DeleteSegment { partition: self.id, name: spill.name });
        }
    }

    /// Deletes the segments that a confirmed head no longer refers to.
    pub(crate) fn settle_segments(&mut self, out: &mut Vec<Output>) {
        let Some(Known { version, head }) = &self.known else { return };
        let over = self.garbage.extract_if(.., |_, expect| *version > *expect);
        for (name, _) in over {
            if !head.segments.iter().any(|segment| segment.name == name) {
                out.push(Output::DeleteSegment { partition: self.id, name });
            }
        }
    }
}

/// What the next write says of a claim, and its phase from then on.
fn change(own: &Own, version: Option<u64>) -> Option<(State, Phase)> {
    match &own.phase {
        Phase::Queued | Phase::Sent { .. } if own.ticket.is_some() => {
            Some((State::Claimed, Phase::Sent { expect: version }))
        }
        Phase::Done(Some(answer)) => Some((State::Finished(answer.clone()), own.phase.clone())),
        Phase::Done(None) => Some((State::Ran, own.phase.clone())),
        Phase::Freed | Phase::Releasing { .. } => {
            Some((State::Released, Phase::Releasing { expect: version }))
        }
        Phase::Granted | Phase::Queued | Phase::Sent { .. } => None,
    }
}

fn to_record(context: &Context, own: &Own, state: State) -> Record {
    Record {
        fingerprint: own.fingerprint,
        writer: context.writer.clone(),
        sequence: own.sequence,
        time: own.time,
        state,
    }
}
