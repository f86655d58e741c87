//! Handles failed attempts: retries the request or ends it with a problem.

use std::time::Duration;

use wire::{Execution, Reason, Refusal, RequestId, Sender};

use super::{Output, Part, Router, is_final};
use crate::problem::{Code, Problem};
use crate::request::Request;
use crate::trace::Note;

/// Most attempts of one request.
const ATTEMPT_LIMIT: u32 = 4;
/// Most attempts of a partial stream.
const STREAM_ATTEMPT_LIMIT: u32 = 16;
/// Delay before a partial stream without an eligible server is retried.
const STREAM_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Most attempts of one request that crash their backend server before the first
/// chunk.
const CRASH_LIMIT: u32 = 2;

impl Router {
    pub(super) fn handle_refusal(
        &mut self,
        now: Duration,
        sender: &Sender,
        refusal: Refusal,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&refusal.id) else {
            self.counters.stale += 1;
            return;
        };
        let Some(attempt) = &request.attempt else { return };
        let is_current =
            request.dispatch.attempt == refusal.attempt && attempt.server == sender.name;
        if !is_current {
            self.counters.stale += 1;
            return;
        }
        // An agent without a record of the attempt answers for its current
        // incarnation only; an earlier one may have run it.
        let other_incarnation = attempt.incarnation != sender.incarnation;
        let execution = match refusal.execution {
            Execution::NotRun if refusal.reason == Reason::Cancelled && other_incarnation => {
                Execution::MayHaveRun
            }
            execution => execution,
        };
        self.fail_attempt(now, refusal.id, refusal.reason, execution, refusal.retry_after, outputs);
    }

    /// Ends the current attempt, then retries the request or ends it.
    pub(super) fn fail_attempt(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: Reason,
        execution: Execution,
        retry_after: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        let number = request.dispatch.attempt;
        request.excluded.push(attempt.server.clone());
        request.reason = reason;
        request.retry_after = earlier(request.retry_after, retry_after);
        request.execution = merge_execution(request.execution, execution);
        request.body = Vec::new();
        // A request that was already streaming is unlikely to have caused the
        // crash. Agents track suspect requests and bound how often it is tried.
        if reason == Reason::Crashed && attempt.next_index == 0 {
            request.crashes += 1;
        }
        self.members.tracker.ended(now, &attempt.server, request.prompt_tokens);
        self.trace.record(now, id, Note::Failed { attempt: number, reason, execution });
        if self.may_retry(now, id, reason, execution) {
            self.counters.retries += 1;
            self.dispatch(now, id, outputs);
            return;
        }
        if is_final(reason) || !self.schedule_retry(now, id) {
            self.fail_request(now, id, reason, outputs);
        }
    }

    /// Schedules a retry of a partial stream until a server can resume it: its
    /// caller can't resend the request without losing the events received. Returns
    /// whether a retry is scheduled; other requests must end at once.
    pub(super) fn schedule_retry(&mut self, now: Duration, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let can_resume = request.has_partial_stream() && request.attempts < STREAM_ATTEMPT_LIMIT;
        if !can_resume || request.crashes >= CRASH_LIMIT || request.deadline <= now {
            return false;
        }
        request.excluded.clear();
        request.retry_at = Some(now + STREAM_RETRY_DELAY);
        true
    }

    fn may_retry(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: Reason,
        execution: Execution,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if is_final(reason) || !request.may_retry() || request.deadline <= now {
            return false;
        }
        if request.attempts >= ATTEMPT_LIMIT || request.crashes >= CRASH_LIMIT {
            return false;
        }
        if execution == Execution::NotRun {
            return self.budget.spend(now);
        }
        // A non-idempotent request that its agent reports as started is not
        // retried. One lost with its agent is retried elsewhere, where the claim
        // log shows whether it had started.
        let seen_by_agent = matches!(reason, Reason::Broken | Reason::Crashed | Reason::TooLarge);
        if !request.dispatch.idempotent && seen_by_agent {
            return false;
        }
        if request.events > 0 {
            self.counters.resumed += 1;
        }
        true
    }

    /// Ends a request and reports the problem to its caller.
    pub(super) fn fail_request(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.counters.problems += 1;
        let execution = request.execution;
        self.trace.record(now, id, Note::GivenUp { reason, execution });
        let problem = Problem::refused(reason, execution, request.retry_after);
        outputs.push(Output::Answer(id, Part::Problem(problem)));
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        self.end_request(now, id, Code::Deadline, Reason::DeadlineExceeded, outputs);
    }

    /// Ends all requests, as the process stops.
    pub(super) fn end_all(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.end_request(now, id, Code::Leaving, Reason::Leaving, outputs);
        }
    }

    /// Ends a request, also one with an attempt in progress.
    fn end_request(
        &mut self,
        now: Duration,
        id: RequestId,
        code: Code,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.cancel_attempt(now, &request, outputs);
        self.counters.problems += 1;
        let execution =
            if request.attempt.is_some() { Execution::MayHaveRun } else { request.execution };
        self.trace.record(now, id, Note::GivenUp { reason, execution });
        let problem = Problem { code, execution, retry_after: expired_retry_after(&request) };
        outputs.push(Output::Answer(id, Part::Problem(problem)));
    }

    /// Fails the attempts sent to other incarnations of a restarted agent.
    pub(super) fn fail_restarted(
        &mut self,
        now: Duration,
        sender: &Sender,
        outputs: &mut Vec<Output>,
    ) {
        let lost = |request: &Request| {
            request.attempt.as_ref().is_some_and(|attempt| {
                attempt.server == sender.name && attempt.incarnation != sender.incarnation
            })
        };
        self.fail_unreachable(now, lost, outputs);
    }

    /// Fails the attempts of the requests that match `lost`.
    pub(super) fn fail_unreachable(
        &mut self,
        now: Duration,
        lost: impl Fn(&Request) -> bool,
        outputs: &mut Vec<Output>,
    ) {
        let matching = self.requests.iter().filter(|(_, request)| lost(request));
        let ids: Vec<RequestId> = matching.map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(request) = self.requests.get(&id) {
                self.send_cancel(request, outputs);
            }
            self.fail_attempt(now, id, Reason::Unreachable, Execution::MayHaveRun, None, outputs);
        }
    }

    /// Cancels the attempt at its agent, which may be slow rather than lost and could
    /// start it later.
    pub(super) fn send_cancel(&self, request: &Request, outputs: &mut Vec<Output>) {
        if let Some(attempt) = &request.attempt {
            let cancel = wire::Message::Cancel(request.attempt_id());
            outputs.push(Output::Send(attempt.link.clone(), cancel));
        }
    }
}

/// Retry delay for the caller of an expired request when no agent gave one.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_secs(1);

fn expired_retry_after(request: &Request) -> Option<Duration> {
    Some(request.retry_after.unwrap_or(EXPIRED_RETRY_AFTER))
}

fn earlier(a: Option<Duration>, b: Option<Duration>) -> Option<Duration> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Merges the execution states of two attempts; a later attempt that did not run
/// doesn't change that an earlier one may have.
fn merge_execution(a: Execution, b: Execution) -> Execution {
    match (a, b) {
        (Execution::Ran, _) | (_, Execution::Ran) => Execution::Ran,
        (Execution::MayHaveRun, _) | (_, Execution::MayHaveRun) => Execution::MayHaveRun,
        _ => Execution::NotRun,
    }
}
