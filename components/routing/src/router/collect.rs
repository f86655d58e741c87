//! Assembles answers from heads, chunks in order, and ends.

use std::time::Duration;

use bytes::Bytes;
use wire::{Cancel, Chunk, End, Execution, Head, Message, Outcome, Reason, RequestId, Sender};

use super::{Output, Part, Router};
use crate::request::Request;
use crate::trace::Note;

/// Largest non-streamed answer that is buffered, in bytes.
const BODY_LIMIT: usize = 8 << 20;
/// Largest memory of all buffered answers, in bytes.
const BODIES_LIMIT: usize = 64 << 20;
/// Content type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";

impl Router {
    pub(super) fn handle_head(
        &mut self,
        now: Duration,
        sender: &Sender,
        head: Head,
        outputs: &mut Vec<Output>,
    ) {
        let id = head.id;
        let Some(request) = self.current(now, sender, id, head.attempt, outputs) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        if attempt.head.is_some() {
            return;
        }
        if request.head_sent && !is_stream(&head) {
            // A non-streamed answer can't resume a stream.
            self.acknowledge(id, outputs);
            self.fail_attempt(now, id, Reason::Broken, Execution::MayHaveRun, None, outputs);
            return;
        }
        request.stream |= is_stream(&head);
        attempt.head = Some(head.clone());
        if request.stream && !request.head_sent {
            request.head_sent = true;
            let part = Part::Head { status: head.status, headers: head.headers };
            outputs.push(Output::Answer(id, part));
        }
        self.forward_ready(now, id, outputs);
    }

    pub(super) fn handle_chunk(
        &mut self,
        now: Duration,
        sender: &Sender,
        chunk: Chunk,
        outputs: &mut Vec<Output>,
    ) {
        let id = chunk.id;
        let Some(request) = self.current(now, sender, id, chunk.attempt, outputs) else { return };
        if let Some(attempt) = &mut request.attempt {
            attempt.accept(chunk);
        }
        self.forward_ready(now, id, outputs);
    }

    pub(super) fn handle_end(
        &mut self,
        now: Duration,
        sender: &Sender,
        end: End,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.current(now, sender, end.id, end.attempt, outputs) else { return };
        if let Some(attempt) = &mut request.attempt {
            attempt.end = Some(end);
        }
        self.forward_ready(now, end.id, outputs);
    }

    /// The request whose current attempt a message belongs to. A message of any
    /// other attempt is dropped and acknowledged, so that its agent discards it.
    fn current(
        &mut self,
        now: Duration,
        sender: &Sender,
        id: RequestId,
        number: u32,
        outputs: &mut Vec<Output>,
    ) -> Option<&mut Request> {
        let is_current = |request: &&mut Request| {
            let attempt = request.attempt.as_ref();
            request.dispatch.attempt == number
                && attempt.is_some_and(|attempt| attempt.server == sender.name)
        };
        let found = self.requests.get_mut(&id).filter(is_current);
        match found {
            Some(request) => {
                if let Some(attempt) = &mut request.attempt {
                    attempt.last_received = now;
                    attempt.probes = 0;
                }
                Some(request)
            }
            None => {
                self.counters.stale += 1;
                let ack = Message::Ack(Cancel { id, attempt: number });
                outputs.push(Output::Send(sender.link.clone(), ack));
                None
            }
        }
    }

    /// Forwards the chunks that are in order and ends a complete answer.
    fn forward_ready(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        let ready = attempt.take_ready();
        let outcome = attempt.outcome();
        let capacity = request.body.capacity();
        for chunk in ready {
            request.events += chunk.events;
            if request.stream {
                outputs.push(Output::Answer(id, Part::Data(chunk.data)));
            } else {
                request.body.extend_from_slice(&chunk.data);
            }
        }
        let size = request.body.len();
        let has_grown = request.body.capacity() > capacity;
        if size > BODY_LIMIT || (has_grown && self.buffered_bytes() > BODIES_LIMIT) {
            self.fail_too_large(now, id, outputs);
            return;
        }
        match outcome {
            Some(Outcome::Complete) => self.complete(now, id, outputs),
            Some(Outcome::Broken) => {
                self.acknowledge(id, outputs);
                self.fail_attempt(now, id, Reason::Broken, Execution::MayHaveRun, None, outputs);
            }
            None => {}
        }
    }

    /// Memory of all buffered answers, in bytes.
    fn buffered_bytes(&self) -> usize {
        self.requests.values().map(|request| request.body.capacity()).sum()
    }

    fn complete(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        self.acknowledge(id, outputs);
        let Some(mut request) = self.requests.remove(&id) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        self.members.tracker.ended(now, &attempt.server, request.prompt_tokens);
        self.counters.answered += 1;
        let (status, headers) = match attempt.head {
            Some(head) => (head.status, head.headers),
            None => (200, Vec::new()),
        };
        self.trace.record(now, id, Note::Answered { status });
        if !request.stream {
            outputs.push(Output::Answer(id, Part::Head { status, headers }));
            outputs.push(Output::Answer(id, Part::Data(Bytes::from(request.body))));
        }
        outputs.push(Output::Answer(id, Part::End));
    }

    /// Acknowledges the current attempt, so that its agent can discard it.
    fn acknowledge(&self, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(attempt) = &request.attempt else { return };
        let ack = Message::Ack(request.attempt_id());
        outputs.push(Output::Send(attempt.link.clone(), ack));
    }

    fn fail_too_large(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        if let Some(request) = self.requests.get(&id) {
            self.send_cancel(request, outputs);
        }
        self.fail_attempt(now, id, Reason::TooLarge, Execution::Ran, None, outputs);
    }
}

fn is_stream(head: &Head) -> bool {
    head.headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with(EVENT_STREAM)
    })
}
