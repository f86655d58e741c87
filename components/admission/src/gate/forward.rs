//! Forwarding of the backend server's answers to the entries.

use std::time::Duration;

use bytes::Bytes;
use wire::{Execution, Head, Message, Outcome, Reason};

use super::{Event, Gate, Output, has_claim};
use crate::attempt::{Attempt, Stage};

/// Largest body of an answer, in bytes. It is kept until the entry has all of it.
const ANSWER_LIMIT: usize = 16 << 20;
/// Largest size of all kept bodies, in bytes. The smallest host has 128 MiB for an agent.
const ANSWERS_LIMIT: usize = 48 << 20;

impl Gate {
    pub(super) fn handle_event(
        &mut self,
        now: Duration,
        ticket: u64,
        event: Event,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempt(ticket) else { return };
        if attempt.stage != Stage::Running {
            return;
        }
        let link = attempt.link.clone();
        match event {
            Event::Head { status, headers } => {
                let (id, number) = (attempt.dispatch.id, attempt.dispatch.attempt);
                let head = Head { id, attempt: number, status, headers };
                attempt.head = Some(head.clone());
                outputs.push(Output::Send(link, Message::Head(head)));
            }
            Event::Data { events, data } => self.handle_data(now, ticket, events, data, outputs),
            Event::Done => self.handle_done(now, ticket, outputs),
            Event::Failed { handed: false } => {
                if has_claim(&attempt.dispatch) {
                    outputs.push(Output::Abandon(ticket));
                }
                self.release_slot(now, ticket, false);
                self.refuse(now, ticket, Reason::Unreachable, Execution::NotRun, None, outputs);
                outputs.push(Output::Check);
            }
            Event::Failed { handed: true } => self.interrupt(now, ticket, outputs),
        }
    }

    fn handle_data(
        &mut self,
        now: Duration,
        ticket: u64,
        events: u32,
        data: Bytes,
        outputs: &mut Vec<Output>,
    ) {
        let (size, running) = (data.len(), self.active.len() as u32);
        let exceeds_total = self.answer_bytes + size > ANSWERS_LIMIT;
        let Some(attempt) = self.attempt(ticket) else { return };
        if exceeds_total || attempt.size + size > ANSWER_LIMIT {
            self.counters.oversized += 1;
            outputs.push(Output::Stop(ticket));
            self.interrupt(now, ticket, outputs);
            return;
        }
        let is_first_chunk = attempt.first_chunk_at.is_none();
        let latency = now.saturating_sub(attempt.started_at);
        attempt.first_chunk_at.get_or_insert(now);
        let chunk = attempt.add_chunk(events, data);
        outputs.push(Output::Send(attempt.link.clone(), Message::Chunk(chunk)));
        self.answer_bytes += size;
        if is_first_chunk {
            self.limit.record_outcome(now, running, latency, true);
        }
    }

    /// Ends an attempt after a check whether the backend server crashed.
    fn interrupt(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(attempt) = self.attempt(ticket) else { return };
        attempt.stage = Stage::Checking;
        attempt.ended_at = now;
        self.counters.broken += 1;
        outputs.push(Output::Check);
    }

    pub(super) fn handle_done(&mut self, now: Duration, ticket: u64, outputs: &mut Vec<Output>) {
        self.release_slot(now, ticket, true);
        self.counters.complete += 1;
        let report = Message::Report(self.report(now));
        let Some(attempt) = self.attempt(ticket) else { return };
        attempt.stage = Stage::Done;
        attempt.ended_at = now;
        let end = attempt.end_message(Outcome::Complete);
        attempt.final_message = Some(end.clone());
        outputs.push(Output::Send(attempt.link.clone(), end));
        outputs.push(Output::Send(attempt.link.clone(), report));
        if has_claim(&attempt.dispatch) {
            outputs.push(finish(attempt));
        }
        let fingerprint = attempt.dispatch.fingerprint;
        if self.suspects.contains_key(&fingerprint) {
            outputs.push(Output::Clear(fingerprint));
        }
    }
}

fn finish(attempt: &Attempt) -> Output {
    let head = attempt.head.as_ref();
    let body: Vec<u8> =
        attempt.chunks.iter().flat_map(|chunk| chunk.data.iter().copied()).collect();
    Output::Finish {
        ticket: attempt.ticket,
        status: head.map_or(200, |head| head.status),
        headers: head.map(|head| head.headers.clone()).unwrap_or_default(),
        body: body.into(),
    }
}
