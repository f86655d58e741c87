//! Accepts callers' requests: matches account and route, and starts the first
//! attempt.

use std::time::Duration;

use wire::{Cancel, Class, Dispatch, Execution, Message, Reason, RequestId};
use xxhash_rust::xxh3::Xxh3Default;

use super::{Output, Part, Router};
use crate::prefix::Prefix;
use crate::problem::{Code, Problem};
use crate::request::{Request, Submission};
use crate::trace::Note;

/// Most requests in progress at an entry.
const OPEN_REQUEST_LIMIT: usize = 8192;
/// Estimated bytes of a body per prompt token.
const BYTES_PER_TOKEN: usize = 4;
/// Upper bound of the estimated prompt tokens.
const PROMPT_TOKEN_LIMIT: usize = 1 << 20;

impl Router {
    pub(super) fn submit(
        &mut self,
        now: Duration,
        submission: Submission,
        outputs: &mut Vec<Output>,
    ) {
        self.counters.asked += 1;
        let id = submission.id;
        match self.accept(now, submission) {
            Ok(request) => {
                self.requests.insert(id, request);
                self.budget.earn(now);
                self.dispatch(now, id, outputs);
            }
            Err(code) => {
                self.counters.problems += 1;
                let problem = Part::Problem(Problem::before_dispatch(code));
                outputs.push(Output::Answer(id, problem));
            }
        }
    }

    fn accept(&mut self, now: Duration, submission: Submission) -> Result<Request, Code> {
        if self.leaving {
            return Err(Code::Leaving);
        }
        if self.requests.len() >= OPEN_REQUEST_LIMIT {
            return Err(Code::Overloaded);
        }
        let bearer = submission.bearer.as_deref().ok_or(Code::Unauthorized)?;
        let (account, account_row) = self.index.account(bearer).ok_or(Code::Unauthorized)?.clone();
        let (name, route) = self
            .index
            .route(&submission.path, submission.model.as_deref())
            .ok_or(Code::NoRoute)?
            .clone();
        let matched = Note::Matched {
            account: account.clone(),
            route: name.clone(),
            pools: route.pools.clone(),
        };
        self.trace.record(now, submission.id, matched);
        let timeout = submission.timeout.unwrap_or(route.timeout).min(route.timeout);
        let prompt_tokens =
            (submission.body.len() / BYTES_PER_TOKEN).min(PROMPT_TOKEN_LIMIT) as u32;
        let blocks =
            if submission.model.is_some() { Prefix::blocks(&submission.body) } else { Vec::new() };
        Ok(Request {
            dispatch: Dispatch {
                id: submission.id,
                attempt: 0,
                incarnation: 0,
                pool: route.pools.first().cloned().unwrap_or_default(),
                account,
                weight: account_row.weight,
                class: submission.class,
                remaining: timeout,
                idempotent: route.idempotent || is_safe(&submission.method),
                fingerprint: fingerprint(&submission),
                key: submission.key,
                exclusive: false,
                method: submission.method,
                path: submission.path,
                headers: submission.headers,
                body: submission.body,
                resume: 0,
            },
            route: name,
            pools: route.pools,
            prompt_tokens,
            blocks,
            deadline: now + timeout,
            attempt: None,
            excluded: Vec::new(),
            execution: Execution::NotRun,
            reason: Reason::NoServer,
            retry_after: None,
            crashes: 0,
            retry_at: None,
            attempts: 0,
            head_sent: false,
            stream: false,
            events: 0,
            body: Vec::new(),
        })
    }

    /// Ends a request whose caller disconnected. The agent completes requests that
    /// must not run twice and records their answers.
    pub(super) fn disconnect(&mut self, now: Duration, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.counters.disconnected += 1;
        self.trace.record(now, id, Note::Disconnected);
        self.cancel_attempt(now, &request, outputs);
    }

    /// Cancels the attempt in flight, if any, at its agent.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Duration,
        request: &Request,
        outputs: &mut Vec<Output>,
    ) {
        let Some(attempt) = &request.attempt else { return };
        let tokens = request.prompt_tokens;
        self.members.tracker.ended(now, &attempt.server, tokens);
        let cancel = Cancel { id: request.dispatch.id, attempt: request.dispatch.attempt };
        outputs.push(Output::Send(attempt.link.clone(), Message::Cancel(cancel)));
    }
}

/// Whether a method is safe as defined by RFC 9110.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Hash of method, path and body, to detect reuse of an idempotency key.
fn fingerprint(submission: &Submission) -> u64 {
    let mut hash = Xxh3Default::new();
    for part in [submission.method.as_bytes(), submission.path.as_bytes(), &submission.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Parses the priority header; requests are interactive unless it says `batch`.
///
/// ```
/// assert_eq!(routing::class(Some("batch")), wire::Class::Batch);
/// assert_eq!(routing::class(None), wire::Class::Interactive);
/// ```
pub fn class(header: Option<&str>) -> Class {
    if header == Some("batch") { Class::Batch } else { Class::Interactive }
}
