//! Simulated callers: their requests and the responses received.

use std::time::Duration;

use routing::Part;
use routing::problem::Problem;
use tables::{Name, PoolKind};
use wire::RequestId;

/// A caller with one request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The request id.
    pub id: RequestId,
    /// The entry that received the request.
    pub entry: Name,
    /// The idempotency key.
    pub key: Option<Name>,
    /// The kind of pool that serves the request.
    pub kind: PoolKind,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The request body.
    pub body: Vec<u8>,
    /// Time of sending.
    pub sent: Duration,
    /// The received HTTP status.
    pub status: Option<u16>,
    /// The received body bytes.
    pub data: Vec<u8>,
    /// The outcome, once the request has ended.
    pub end: Option<End>,
    /// Whether the received body equals the expected one.
    pub matches_expected: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The entry marked the response as complete.
    Complete,
    /// The entry answered with a problem.
    Problem(Problem),
    /// The connection was lost: the entry died or the caller disconnected.
    Aborted,
}

impl Caller {
    /// Applies a part of the response.
    pub fn apply(&mut self, part: Part) {
        match part {
            Part::Head { status, .. } => self.status = Some(status),
            Part::Data(data) => self.data.extend_from_slice(&data),
            Part::End => {
                self.matches_expected = self.data == super::server::expected(self.kind, &self.body);
                self.end = Some(End::Complete);
            }
            Part::Problem(problem) => self.end = Some(End::Problem(problem)),
        }
    }

    /// One-line summary of the outcome, as scenario scripts print it.
    pub fn summary(&self) -> String {
        match &self.end {
            None => format!("open, {} bytes", self.data.len()),
            Some(End::Aborted) => "cut".to_owned(),
            Some(End::Complete) if self.matches_expected => "whole".to_owned(),
            Some(End::Complete) => "WRONG".to_owned(),
            Some(End::Problem(problem)) => show_problem(problem),
        }
    }
}

fn show_problem(problem: &Problem) -> String {
    let code = serde_json::to_value(problem.code).unwrap_or_default();
    let ran = serde_json::to_value(problem.execution).unwrap_or_default();
    let code = match code {
        serde_json::Value::Object(map) => {
            map.into_iter().map(|(_, value)| value.to_string()).collect()
        }
        other => other.to_string(),
    };
    let back = if problem.retry_after.is_some() { ", come back" } else { "" };
    format!("{} {}{}", code.trim_matches('"'), ran.as_str().unwrap_or_default(), back)
}
