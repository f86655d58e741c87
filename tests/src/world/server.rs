//! A fake backend server that tracks its running requests.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::gate::Event;
use tables::PoolKind;
use wire::Dispatch;

/// Interval between two tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Service time of a plain service, unless the body sets one.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Downtime after a crash.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Concurrent requests that a cold engine sustains. Its first token slows down
/// with each of them, and it crashes beyond this number.
pub const COLD_CAPACITY: usize = 3;
/// Concurrent requests that a warm server sustains; it crashes beyond.
pub const WARM_CAPACITY: usize = 8;
/// Number of answers after which a cold engine is warm.
const WARM_UP_ANSWERS: u32 = 6;
/// Body text of a request that crashes each server that runs it.
pub const POISON: &str = "poison";

/// A running request.
#[derive(Clone, Debug)]
struct Work {
    dispatch: Dispatch,
    next: Duration,
    sent: u32,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The kind of pool it belongs to.
    pub kind: PoolKind,
    /// Rises by one with each restart.
    pub incarnation: u64,
    /// Number of crashes.
    pub crashes: u32,
    /// Number of times its capacity was exceeded.
    pub overloads: u32,
    up_at: Duration,
    answered: u32,
    work: BTreeMap<u64, Work>,
}

/// The number that follows `name=` in a body.
fn number(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let rest = text.split(&format!("{name}=")).nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The server-sent event of one token.
fn token(body: &[u8], index: u32) -> String {
    format!("data: {}:{index}\n\n", String::from_utf8_lossy(body))
}

/// The complete response body to a request.
pub fn expected(kind: PoolKind, body: &[u8]) -> Vec<u8> {
    match kind {
        PoolKind::Service => format!("done {}", String::from_utf8_lossy(body)).into_bytes(),
        PoolKind::Model => {
            let tokens = number(body, "tokens").unwrap_or(10) as u32;
            let text: String = (0..tokens).map(|index| token(body, index)).collect();
            (text + "data: [DONE]\n\n").into_bytes()
        }
    }
}

impl Server {
    /// Creates a server that has just started.
    pub fn new(kind: PoolKind) -> Server {
        Server {
            kind,
            incarnation: 1,
            crashes: 0,
            overloads: 0,
            up_at: Duration::ZERO,
            answered: 0,
            work: BTreeMap::new(),
        }
    }

    /// Whether the server is reachable.
    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.up_at
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.work.len()
    }

    /// Whether a request is running.
    pub fn runs(&self, id: &wire::RequestId) -> bool {
        self.work.values().any(|work| work.dispatch.id == *id)
    }

    fn is_cold(&self) -> bool {
        self.kind == PoolKind::Model && self.answered < WARM_UP_ANSWERS
    }

    fn capacity(&self) -> usize {
        if self.is_cold() { COLD_CAPACITY } else { WARM_CAPACITY }
    }

    /// Makes a warm engine cold without a report to its agent.
    pub fn make_cold(&mut self) {
        self.answered = 0;
    }

    /// Starts a request. Returns the events that occur immediately.
    pub fn run(&mut self, now: Duration, ticket: u64, dispatch: Dispatch) -> Vec<(u64, Event)> {
        if !self.is_up(now) {
            return vec![(ticket, Event::Failed { handed: false })];
        }
        let first = match self.kind {
            PoolKind::Model if self.is_cold() => TOKEN_INTERVAL * (1 + self.work.len() as u32),
            PoolKind::Model => TOKEN_INTERVAL,
            PoolKind::Service => {
                number(&dispatch.body, "work").map_or(SERVICE_TIME, Duration::from_millis)
            }
        };
        let poison = String::from_utf8_lossy(&dispatch.body).contains(POISON);
        self.work.insert(ticket, Work { dispatch, next: now + first, sent: 0 });
        if self.work.len() > self.capacity() {
            self.overloads += 1;
            return self.crash(now);
        }
        if poison { self.crash(now) } else { Vec::new() }
    }

    /// Crashes: all running requests fail.
    pub fn crash(&mut self, now: Duration) -> Vec<(u64, Event)> {
        self.crashes += 1;
        self.incarnation += 1;
        self.up_at = now + RESTART_TIME;
        self.answered = 0;
        let aborted = std::mem::take(&mut self.work).into_keys();
        aborted.map(|ticket| (ticket, Event::Failed { handed: true })).collect()
    }

    /// Drops all connections: an engine cancels its requests, a plain service
    /// completes them.
    pub fn disconnect(&mut self) {
        if self.kind == PoolKind::Model {
            self.work.clear();
        }
    }

    /// Cancels a request.
    pub fn stop(&mut self, ticket: u64) {
        self.work.remove(&ticket);
    }

    /// Advances to `now` and returns the events on the way.
    pub fn advance(&mut self, now: Duration) -> Vec<(u64, Event)> {
        let mut events = Vec::new();
        let mut ended = Vec::new();
        for (ticket, work) in &mut self.work {
            while work.next <= now {
                let done = match self.kind {
                    PoolKind::Model => work.advance_chat(*ticket, &mut events),
                    PoolKind::Service => work.finish(*ticket, &mut events),
                };
                if done {
                    ended.push(*ticket);
                    break;
                }
                work.next += TOKEN_INTERVAL;
            }
        }
        for ticket in ended {
            self.work.remove(&ticket);
            self.answered += 1;
        }
        events
    }
}

impl Work {
    fn finish(&self, ticket: u64, events: &mut Vec<(u64, Event)>) -> bool {
        if String::from_utf8_lossy(&self.dispatch.body).contains("hang") {
            return false;
        }
        events.push((ticket, Event::Head { status: 200, headers: Vec::new() }));
        let body = expected(PoolKind::Service, &self.dispatch.body);
        events.push((ticket, Event::Data { events: 0, data: body.into() }));
        events.push((ticket, Event::Done));
        true
    }

    fn advance_chat(&mut self, ticket: u64, events: &mut Vec<(u64, Event)>) -> bool {
        let tokens = number(&self.dispatch.body, "tokens").unwrap_or(10) as u32;
        if self.sent == 0 {
            let kind = ("content-type".into(), "text/event-stream".into());
            events.push((ticket, Event::Head { status: 200, headers: vec![kind] }));
        }
        let index = self.dispatch.resume + self.sent;
        self.sent += 1;
        if index < tokens {
            let data = token(&self.dispatch.body, index).into();
            events.push((ticket, Event::Data { events: 1, data }));
            return false;
        }
        if index == tokens {
            events.push((ticket, Event::Data { events: 1, data: "data: [DONE]\n\n".into() }));
        }
        events.push((ticket, Event::Done));
        true
    }
}
