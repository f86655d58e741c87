//! Benchmark of the agent's decisions: CPU time and memory by the number of
//! open attempts.
//!
//! Run with `cargo run --release -p agent --example slopes`. Prints one JSON
//! line per row.

#[path = "../../wire/examples/common/mod.rs"]
mod common;

use std::time::Duration;

use admission::gate::Event;
use agent::{Effect, Input, Options, State};
use common::{heap, row, time_each};
use tables::{Account, Body, Delta, Key, Kind, Name, Pool, PoolKind, Row, Zone};
use wire::{Cancel, Class, Dispatch, Frame, Message, RequestId, Sender};

#[global_allocator]
static HEAP: common::Counting = common::Counting;

/// Minimum number of attempts timed per figure, in rounds of `open` attempts.
const TIMED_ATTEMPTS: usize = 4000;
/// Number of chunks in an answer.
const CHUNKS: usize = 300;
/// Size of a chunk, one token as a server-sent event.
const CHUNK_BYTES: usize = 180;
const BODY_BYTES: usize = 4096;
/// Number of ticks timed per figure.
const TIMED_TICKS: usize = 10_000;
/// Interval of the agent daemon's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const NOW: Duration = Duration::from_secs(1);
const WALL: Duration = Duration::from_secs(1_800_000_000);

fn main() {
    for open in [16, 63, 250] {
        measure_attempts(open);
    }
    for open in [16, 63, 250] {
        measure_memory(open);
    }
    for rows in [100, 1000, 2700] {
        measure_table(rows);
    }
}

/// An agent for a warm backend server with the concurrency limit `limit`.
fn state(limit: usize) -> State {
    let mut state = State::new(
        Duration::ZERO,
        Options {
            name: "accra-1-host-1".into(),
            zone: "accra-1".into(),
            pool: "pool".into(),
            incarnation: 1,
            limit: limit as u32,
            cold: false,
            peers: Vec::new(),
            partitions: 16,
            claims: claims::Settings::default(),
        },
    );
    let pool = Pool { kind: PoolKind::Model, fenced: true, limit: limit as u32, partitions: 16 };
    let rows = vec![
        row_of(Kind::Pool, "pool".into(), 1, Body::Pool(pool)),
        row_of(Kind::Zone, "accra-1".into(), 1, Body::Zone(Zone { out: false })),
    ];
    receive(&mut state, Message::Delta(Delta { since: 0, revision: 1, rows }));
    state.step(NOW, WALL, Input::Engine { incarnation: 1, prefill: 0 });
    state
}

fn row_of(kind: Kind, name: Name, version: u64, body: Body) -> (Key, Row) {
    (Key { kind, name }, Row { version, body: Some(body) })
}

fn receive(state: &mut State, message: Message) -> Vec<Effect> {
    let link = "tcp://10.1.0.1:7000".into();
    let sender = Sender { name: "accra-1-entry-1".into(), incarnation: 1, link };
    state.step(NOW, WALL, Input::Frame(Frame { sender, revision: 1, messages: vec![message] }))
}

fn id(number: usize) -> RequestId {
    RequestId::from_u128((number as u128) << 64 | number as u128)
}

fn dispatch(number: usize) -> Message {
    Message::Dispatch(Dispatch {
        id: id(number),
        attempt: 1,
        incarnation: 1,
        pool: "pool".into(),
        account: format!("account-{}", number % 2700).into(),
        weight: 1,
        class: Class::Interactive,
        remaining: Duration::from_secs(60),
        idempotent: true,
        key: None,
        fingerprint: number as u64,
        exclusive: false,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: vec![("content-type".into(), "application/json".into())],
        body: vec![number as u8; BODY_BYTES].into(),
        resume: 0,
    })
}

/// Dispatches the attempts and returns their tickets.
fn start(state: &mut State, dispatches: Vec<Message>) -> Vec<u64> {
    let mut tickets = Vec::new();
    for dispatch in dispatches {
        for effect in receive(state, dispatch) {
            if let Effect::Run(ticket, _) = effect {
                tickets.push(ticket);
            }
        }
    }
    tickets
}

fn event(state: &mut State, ticket: u64, event: Event) {
    state.step(NOW, WALL, Input::Event(ticket, event));
}

fn head() -> Event {
    Event::Head { status: 200, headers: vec![("content-type".into(), "text/event-stream".into())] }
}

fn data() -> Event {
    Event::Data { events: 1, data: vec![b'x'; CHUNK_BYTES].into() }
}

/// Measures the CPU time of complete attempts, from dispatch to acknowledgement.
fn measure_attempts(open: usize) {
    let mut state = state(open);
    let rounds = TIMED_ATTEMPTS.div_ceil(open);
    let count = rounds * open;
    let (mut start_us, mut chunk_us, mut end_us, mut tick_us) = (0.0, 0.0, 0.0, 0.0);
    for round in 0..rounds {
        let numbers = round * open..(round + 1) * open;
        let dispatches = numbers.clone().map(dispatch).collect();
        let mut tickets = Vec::new();
        start_us += time_each(count, || tickets = start(&mut state, dispatches));
        for ticket in &tickets {
            event(&mut state, *ticket, head());
        }
        chunk_us += time_each(count * CHUNKS, || {
            for _ in 0..CHUNKS {
                for ticket in &tickets {
                    event(&mut state, *ticket, data());
                }
            }
        });
        if round == 0 {
            tick_us = time_each(TIMED_TICKS, || {
                for _ in 0..TIMED_TICKS {
                    state.step(NOW, WALL, Input::Tick);
                }
            });
        }
        end_us += time_each(count, || {
            for ticket in &tickets {
                event(&mut state, *ticket, Event::Done);
            }
            for number in numbers {
                receive(&mut state, Message::Ack(Cancel { id: id(number), attempt: 1 }));
            }
        });
    }
    let values = [
        ("open", open as f64),
        ("complete", state.counters().complete as f64),
        ("dispatch_us", start_us),
        ("chunk_us", chunk_us),
        ("end_us", end_us),
        ("attempt_us", start_us + chunk_us * CHUNKS as f64 + end_us),
        ("tick_us", tick_us),
        ("tick_core_percent", tick_us / TICK_INTERVAL.as_micros() as f64 * 100.0),
    ];
    row("attempt", &values);
}

/// Measures the memory of open attempts before and after their answers.
fn measure_memory(open: usize) {
    let mut state = state(open);
    let before = heap();
    let tickets = start(&mut state, (0..open).map(dispatch).collect());
    let opened = heap();
    for ticket in &tickets {
        event(&mut state, *ticket, head());
        for _ in 0..CHUNKS {
            event(&mut state, *ticket, data());
        }
    }
    let answered = heap();
    let values = [
        ("open", tickets.len() as f64),
        ("bytes_an_attempt", (opened - before) / open as f64),
        ("bytes_of_its_answer", (answered - opened) / open as f64),
        ("bytes_a_chunk", (answered - opened) / (open * CHUNKS) as f64),
    ];
    row("attempt_memory", &values);
}

/// Measures the memory per table row and the time to apply a change.
fn measure_table(count: usize) {
    let mut state = state(64);
    let before = heap();
    let rows = (0..count).map(|number| account(number, 2)).collect();
    receive(&mut state, Message::Delta(Delta { since: 1, revision: 2, rows }));
    let bytes = (heap() - before) / count as f64;
    let changes: Vec<Message> = (3..1003)
        .map(|version| {
            let rows = vec![account(version as usize % count, version)];
            Message::Delta(Delta { since: version - 1, revision: version, rows })
        })
        .collect();
    let change_us = time_each(changes.len(), || {
        for change in changes {
            receive(&mut state, change);
        }
    });
    row("table", &[("rows", count as f64), ("bytes_a_row", bytes), ("change_us", change_us)]);
}

fn account(number: usize, version: u64) -> (Key, Row) {
    let account = Account { key_sha256: format!("{number:064x}").into(), weight: 1 };
    row_of(Kind::Account, format!("account-{number:06}").into(), version, Body::Account(account))
}
