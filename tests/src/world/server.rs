//! A small fake of a backend server: it counts what it runs.

use std::collections::BTreeMap;
use std::time::Duration;

use admission::gate::Event;
use tables::PoolKind;
use wire::Dispatch;

/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(20);
/// Time of a plain service's work, unless the body says otherwise.
const WORK: Duration = Duration::from_millis(50);
/// Time from a crash until the server is up again.
const RESTART: Duration = Duration::from_millis(500);
/// Requests that a cold engine carries. It is slower the more it has to carry,
/// and falls over beyond.
pub const CARRY_COLD: usize = 3;
/// Requests that a warm server carries.
pub const CARRY_WARM: usize = 8;
/// Answers after which a cold engine is warm.
const WARM_AFTER: u32 = 6;
/// Marks a request that crashes each server that runs it.
pub const POISON: &str = "poison";

/// A request that the server runs.
#[derive(Clone, Debug)]
struct Work {
    dispatch: Dispatch,
    next: Duration,
    sent: u32,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it is.
    pub kind: PoolKind,
    /// A number that changes when it starts anew.
    pub incarnation: u64,
    /// Crashes so far.
    pub crashes: u32,
    /// Times that it had more to carry than it can.
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

/// The event of one token.
fn token(body: &[u8], index: u32) -> String {
    format!("data: {}:{index}\n\n", String::from_utf8_lossy(body))
}

/// The whole answer to a request.
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
    /// A server that has just started.
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

    /// Whether it can be reached.
    pub fn is_up(&self, now: Duration) -> bool {
        now >= self.up_at
    }

    /// The number of requests that it runs.
    pub fn running(&self) -> usize {
        self.work.len()
    }

    /// Whether it runs a request.
    pub fn runs(&self, id: &wire::RequestId) -> bool {
        self.work.values().any(|work| work.dispatch.id == *id)
    }

    fn is_cold(&self) -> bool {
        self.kind == PoolKind::Model && self.answered < WARM_AFTER
    }

    fn carry(&self) -> usize {
        if self.is_cold() { CARRY_COLD } else { CARRY_WARM }
    }

    /// Makes a warm engine cold, without telling anybody.
    pub fn chill(&mut self) {
        self.answered = 0;
    }

    /// Takes a request. Returns the events that follow at once.
    pub fn run(&mut self, now: Duration, ticket: u64, dispatch: Dispatch) -> Vec<(u64, Event)> {
        if !self.is_up(now) {
            return vec![(ticket, Event::Failed { handed: false })];
        }
        let first = match self.kind {
            PoolKind::Model if self.is_cold() => TOKEN * (1 + self.work.len() as u32),
            PoolKind::Model => TOKEN,
            PoolKind::Service => number(&dispatch.body, "work").map_or(WORK, Duration::from_millis),
        };
        let poison = String::from_utf8_lossy(&dispatch.body).contains(POISON);
        self.work.insert(ticket, Work { dispatch, next: now + first, sent: 0 });
        if self.work.len() > self.carry() {
            self.overloads += 1;
            return self.crash(now);
        }
        if poison { self.crash(now) } else { Vec::new() }
    }

    /// Falls over: all that runs is broken off.
    pub fn crash(&mut self, now: Duration) -> Vec<(u64, Event)> {
        self.crashes += 1;
        self.incarnation += 1;
        self.up_at = now + RESTART;
        self.answered = 0;
        let broken = std::mem::take(&mut self.work).into_keys();
        broken.map(|ticket| (ticket, Event::Failed { handed: true })).collect()
    }

    /// Loses all its connections.
    pub fn disconnect(&mut self) {
        if self.kind == PoolKind::Model {
            self.work.clear();
        }
    }

    /// Stops a request.
    pub fn stop(&mut self, ticket: u64) {
        self.work.remove(&ticket);
    }

    /// The events by now.
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
                work.next += TOKEN;
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
