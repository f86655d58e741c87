//! Callers: what they asked and what they got.

use std::time::Duration;

use routing::Part;
use routing::problem::Problem;
use tables::{Name, PoolKind};
use wire::RequestId;

/// A caller of one request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The request.
    pub id: RequestId,
    /// The entry that was asked.
    pub entry: Name,
    /// The idempotency key.
    pub key: Option<Name>,
    /// What serves the request.
    pub kind: PoolKind,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The body that was sent.
    pub body: Vec<u8>,
    /// When it was sent.
    pub sent: Duration,
    /// The status that came.
    pub status: Option<u16>,
    /// The bytes that came.
    pub data: Vec<u8>,
    /// How it ended.
    pub end: Option<End>,
    /// Whether the bytes that came are just the expected ones.
    pub whole: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With a whole answer, says the entry.
    Whole,
    /// With a problem.
    Problem(Problem),
    /// The entry died.
    Cut,
}

impl Caller {
    /// Takes in a part of the answer.
    pub fn take(&mut self, part: Part) {
        match part {
            Part::Head { status, .. } => self.status = Some(status),
            Part::Data(data) => self.data.extend_from_slice(&data),
            Part::End => {
                self.whole = self.data == super::server::expected(self.kind, &self.body);
                self.end = Some(End::Whole);
            }
            Part::Problem(problem) => self.end = Some(End::Problem(problem)),
        }
    }

    /// What the caller knows, in a line.
    pub fn show(&self) -> String {
        match &self.end {
            None => format!("open, {} bytes", self.data.len()),
            Some(End::Cut) => "cut".to_owned(),
            Some(End::Whole) if self.whole => "whole".to_owned(),
            Some(End::Whole) => "WRONG".to_owned(),
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
