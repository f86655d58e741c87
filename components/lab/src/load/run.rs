//! Sends a plan's requests and checks the answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, ClientRequest, Connector};
use futures_util::StreamExt;
use serde_json::json;

use super::outcome::Outcome;
use super::plan::{Arrival, Plan, Work};
use super::reader::Reader;
use super::tally::{Answer, Count, Tally};
use crate::engine;
use crate::service;

/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Request header: time left for the answer, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Most bytes of an answer that isn't streamed.
const BODY_LIMIT: usize = 4 << 20;
/// Time for a connection to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Where the requests go.
#[derive(Clone, Debug)]
pub struct Target {
    /// URL of the entry, without a slash at the end.
    pub url: String,
    /// Bearer key of the client account.
    pub key: Option<String>,
    /// The model asked for.
    pub model: String,
    /// Path of bookings.
    pub booking_path: String,
    /// Time after which a request counts as lost.
    pub timeout: Duration,
}

impl Target {
    /// A target with the customary path, model and timeout.
    ///
    /// ```
    /// let target = lab::load::Target::new("http://127.0.0.1:80");
    /// assert_eq!(target.booking_path, "/bookings");
    /// ```
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            key: None,
            model: "stand-in".to_owned(),
            booking_path: "/bookings".to_owned(),
            timeout: Duration::from_secs(30),
        }
    }
}

/// How far a load is.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended, by outcome.
    pub ended: Count,
}

/// One request's circumstances.
struct Call {
    client: Client,
    target: Rc<Target>,
    started: Instant,
}

/// Parts of an answer, by time since the start of the load.
#[derive(Default)]
struct Parts {
    first: Option<Duration>,
    last: Duration,
    gaps: Vec<Duration>,
}

/// Sends all arrivals of `plan` when they are due, whatever became of earlier
/// ones, and waits for all answers. Runs on an actix runtime.
///
/// `progress` is called after each arrival.
///
/// ```
/// use std::time::Duration;
/// use lab::load::{Plan, Target, run};
///
/// let engine = lab::engine::serve(Default::default()).unwrap();
/// let length = Duration::from_millis(200);
/// let plan = Plan { rate: 20.0, length, booking_share: 0.0, tokens: (1, 3), ..Plan::default() };
/// let target = Target::new(engine.to_url());
/// let tally = actix_rt::System::new().block_on(run(&plan, target, |_| ()));
/// assert_eq!(tally.count().whole, plan.arrivals().count() as u64);
/// ```
pub async fn run(plan: &Plan, target: Target, mut progress: impl FnMut(Progress)) -> Tally {
    let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
    let client = Client::builder().connector(connector).disable_timeout().finish();
    let target = Rc::new(target);
    let tally = Rc::new(RefCell::new(Tally::default()));
    let started = Instant::now();
    let mut calls = Vec::new();
    for arrival in plan.arrivals() {
        tokio::time::sleep_until((started + arrival.at).into()).await;
        let call = Call { client: client.clone(), target: target.clone(), started };
        let record = tally.clone();
        calls.push(actix_rt::spawn(async move {
            let answer = call.make(&arrival).await;
            record.borrow_mut().record(&answer);
        }));
        let ended = tally.borrow().count();
        progress(Progress { sent: calls.len() as u64, ended });
    }
    for call in calls {
        // A call that panicked has no answer and shows as missing.
        let _ = call.await;
    }
    tally.take()
}

impl Call {
    async fn make(&self, arrival: &Arrival) -> Answer {
        let mut parts = Parts::default();
        let work = async {
            match &arrival.work {
                Work::Chat { prompt, tokens } => self.chat(prompt, *tokens, &mut parts).await,
                Work::Booking { key, body } => self.book(key, body).await,
            }
        };
        let outcome = tokio::time::timeout(self.target.timeout, work).await;
        Answer {
            kind: arrival.work.kind(),
            intended: arrival.at,
            first: parts.first,
            gaps: parts.gaps,
            ended: self.started.elapsed(),
            outcome: outcome.unwrap_or(Outcome::Lost),
        }
    }

    fn post(&self, path: &str) -> ClientRequest {
        let request = self.client.post(format!("{}{path}", self.target.url));
        let timeout = self.target.timeout.as_millis().to_string();
        let request = request.insert_header((TIMEOUT_HEADER, timeout));
        match &self.target.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    async fn book(&self, key: &str, body: &str) -> Outcome {
        let path = &self.target.booking_path;
        let request = self
            .post(path)
            .insert_header((service::KEY_HEADER, key))
            .insert_header((service::RUN_ID_HEADER, key))
            .content_type("application/json");
        let Ok(mut response) = request.send_body(body.to_owned()).await else {
            return Outcome::Lost;
        };
        let Ok(bytes) = response.body().limit(BODY_LIMIT).await else { return Outcome::Lost };
        let expected = service::expected(path, body.as_bytes());
        Outcome::judge(response.status().as_u16(), &bytes, expected.as_bytes())
    }

    async fn chat(&self, prompt: &str, tokens: u32, parts: &mut Parts) -> Outcome {
        let body = json!({
            "model": self.target.model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": true,
        });
        let Ok(mut response) = self.post(CHAT_PATH).send_json(&body).await else {
            return Outcome::Lost;
        };
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.body().limit(BODY_LIMIT).await;
            return body.map_or(Outcome::Lost, |body| Outcome::judge(status, &body, b""));
        }
        let mut reader = Reader::default();
        while let Some(bytes) = response.next().await {
            let Ok(bytes) = bytes else { break };
            match reader.push(&bytes) {
                Ok(0) => (),
                Ok(_) => parts.note(self.started.elapsed()),
                Err(_) => return Outcome::Wrong,
            }
        }
        judge(&reader, &engine::expected(prompt, tokens))
    }
}

impl Parts {
    fn note(&mut self, now: Duration) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gaps.push(now.saturating_sub(self.last));
        }
        self.last = now;
    }
}

/// Judges a stream that ended.
fn judge(reader: &Reader, expected: &str) -> Outcome {
    if let Some(refused) = reader.refused {
        return refused.outcome();
    }
    if !expected.starts_with(&reader.text) {
        return Outcome::Wrong;
    }
    match (reader.done, reader.text.len() == expected.len()) {
        (true, true) => Outcome::Whole,
        (true, false) => Outcome::Wrong,
        (false, _) => Outcome::Lost,
    }
}
