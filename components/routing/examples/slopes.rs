//! Measures how the router's processor time and memory scale with its inputs.
//!
//! `cargo run --release -p routing --example slopes` prints one JSON line per row.

#[path = "../../wire/examples/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{heap, row, time_each};
use routing::{Input, Options, Output, Router, Submission};
use sha2::{Digest, Sha256};
use tables::host::{Role, State};
use tables::{Account, Body, Delta, Host, Key, Kind, Name, Pool, PoolKind, Route, Row};
use wire::{
    Chunk, Class, Dispatch, End, Frame, Gossip, Head, Message, Outcome, Report, RequestId, Sender,
};

#[global_allocator]
static HEAP: common::Counting = common::Counting;

/// Requests per measurement.
const REQUESTS: usize = 2000;
/// Ticks per measurement.
const TICKS: usize = 2000;
/// Tick interval of the entry daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Size of a request body, in bytes.
const BODY_SIZE: usize = 4096;
/// Simulated time for which control traffic is counted.
const CONTROL_DURATION: Duration = Duration::from_secs(120);
/// Interval between two changes, at 67,000 a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1290);
/// Shortest interval between two watch requests of an entry.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

fn main() {
    for chunks in [10, 100, 300] {
        requests(225, chunks);
    }
    for members in [75, 225, 675] {
        requests(members, 100);
    }
    for open in [100, 1000, 4000] {
        ticks(225, 1, open);
    }
    for members in [75, 225, 675] {
        ticks(members, 1, 1000);
    }
    for pools in [1, 2, 5] {
        ticks(225, pools, 1000);
    }
    for count in [100, 1000, 2700] {
        table(count);
    }
    for count in [1000, 4000, 12_640] {
        hosts(count);
    }
    for members in [75, 225, 675] {
        control(members);
    }
}

fn router() -> Router {
    Router::new(Options {
        name: "accra-1-entry-1".into(),
        zone: "accra-1".into(),
        link: "tcp://10.1.0.1:7000".into(),
        peers: Vec::new(),
        seed: 1,
    })
}

fn pool_name(number: usize) -> Name {
    format!("pool-{number}").into()
}

fn keyed_row(kind: Kind, name: Name, body: Body) -> (Key, Row) {
    (Key { kind, name }, Row { version: 1, body: Some(body) })
}

fn account(number: usize) -> (Key, Row) {
    let key_sha256 = format!("{:x}", Sha256::digest(format!("key-{number}"))).into();
    let name = format!("account-{number:06}").into();
    keyed_row(Kind::Account, name, Body::Account(Account { key_sha256, weight: 1 }))
}

fn rows(accounts: usize, pools: usize) -> Vec<(Key, Row)> {
    let mut rows: Vec<_> = (0..accounts).map(account).collect();
    for number in 0..pools {
        let pool = Pool { kind: PoolKind::Model, fenced: true, limit: 64, partitions: 16 };
        rows.push(keyed_row(Kind::Pool, pool_name(number), Body::Pool(pool)));
        let route = Route {
            path: format!("/v{number}/chat").into(),
            model: Some(format!("model-{number}").into()),
            pools: vec![pool_name(number)],
            idempotent: true,
            timeout: Duration::from_secs(60),
        };
        rows.push(keyed_row(Kind::Route, format!("route-{number}").into(), Body::Route(route)));
    }
    rows
}

fn host(number: usize, pool: usize) -> Host {
    Host {
        name: format!("accra-1-host-{number}").into(),
        role: Role::Server,
        zone: "accra-1".into(),
        link: format!("tcp://10.0.{}.{}:7000", number / 250, number % 250).into(),
        pool: Some(pool_name(pool)),
        state: State::Live,
    }
}

fn sender(host: &Host) -> Sender {
    Sender { name: host.name.clone(), incarnation: 1, link: host.link.clone() }
}

fn frame(host: &Host, messages: Vec<Message>) -> Frame {
    Frame { sender: sender(host), revision: 1, messages }
}

/// A router that is ready to serve, and its backend servers.
fn ready_router(members: usize, pools: usize) -> (Router, Vec<Host>) {
    let mut router = router();
    let now = Duration::from_secs(1);
    let listing = Input::Listing { revision: 1, rows: rows(2700, pools), malformed: Vec::new() };
    router.step(now, listing);
    let hosts: Vec<Host> = (0..members * pools).map(|i| host(i, i % pools)).collect();
    router.step(now, Input::Hosts(1, hosts.clone()));
    for host in &hosts {
        router.step(now, Input::Frame(frame(host, vec![report()])));
    }
    (router, hosts)
}

fn report() -> Message {
    Message::Report(Report { limit: 64, running: 20, ..Report::default() })
}

fn submission(number: usize) -> Submission {
    let mut body = vec![(number % 200) as u8; BODY_SIZE / 2];
    body.resize(BODY_SIZE, number as u8);
    Submission {
        id: RequestId::from_u128((number as u128) << 64 | number as u128),
        bearer: Some(format!("key-{}", number % 2700)),
        method: "POST".into(),
        path: "/v0/chat".into(),
        model: Some("model-0".into()),
        headers: vec![("content-type".into(), "application/json".into())],
        key: None,
        class: Class::Interactive,
        timeout: None,
        body: body.into(),
    }
}

fn dispatched(outputs: Vec<Output>) -> Option<(Name, Dispatch)> {
    outputs.into_iter().find_map(|output| match output {
        Output::Send(link, Message::Dispatch(dispatch)) => Some((link, dispatch)),
        _ => None,
    })
}

fn head(id: RequestId) -> Message {
    let headers = vec![("content-type".into(), "text/event-stream".into())];
    Message::Head(Head { id, attempt: 1, status: 200, headers })
}

fn chunk(id: RequestId, index: u32) -> Message {
    let data = vec![b'x'; 180].into();
    Message::Chunk(Chunk { id, attempt: 1, index, events: 1, data })
}

/// Measures complete requests: submission, dispatch, head, chunks and end.
fn requests(members: usize, chunks: u32) {
    let (mut router, hosts) = ready_router(members, 1);
    let now = Duration::from_secs(1);
    let by_link = |link: &Name| hosts.iter().find(|host| host.link == *link);
    let mut sent = Vec::new();
    let submissions: Vec<Submission> = (0..REQUESTS).map(submission).collect();
    let submit_us = time_each(REQUESTS, || {
        for submission in submissions {
            sent.extend(dispatched(router.step(now, Input::Submit(submission))));
        }
    });
    let sent: Vec<(&Host, RequestId)> =
        sent.iter().filter_map(|(link, sent)| Some((by_link(link)?, sent.id))).collect();
    let heads: Vec<Frame> = sent.iter().map(|(host, id)| frame(host, vec![head(*id)])).collect();
    let head_us = time_each(REQUESTS, || {
        for frame in heads {
            router.step(now, Input::Frame(frame));
        }
    });
    let mut chunk_us = 0.0;
    for index in 0..chunks {
        let frames: Vec<Frame> =
            sent.iter().map(|(host, id)| frame(host, vec![chunk(*id, index)])).collect();
        chunk_us += time_each(REQUESTS, || {
            for frame in frames {
                router.step(now, Input::Frame(frame));
            }
        });
    }
    let end = |id| Message::End(End { id, attempt: 1, count: chunks, outcome: Outcome::Complete });
    let ends: Vec<Frame> =
        sent.iter().map(|(host, id)| frame(host, vec![end(*id), report()])).collect();
    let end_us = time_each(REQUESTS, || {
        for frame in ends {
            router.step(now, Input::Frame(frame));
        }
    });
    let values = [
        ("members", members as f64),
        ("chunks", f64::from(chunks)),
        ("answered", router.counters().answered as f64),
        ("ask_us", submit_us),
        ("head_us", head_us),
        ("chunk_us", chunk_us / f64::from(chunks)),
        ("end_us", end_us),
        ("request_us", submit_us + head_us + chunk_us + end_us),
    ];
    row("request", &values);
}

/// Measures ticks, and the memory of members and open requests.
fn ticks(members: usize, pools: usize, open: usize) {
    let empty = heap();
    let mut router = router();
    let now = Duration::from_secs(1);
    let listing = Input::Listing { revision: 1, rows: rows(10, pools), malformed: Vec::new() };
    router.step(now, listing);
    let hosts: Vec<Host> = (0..members * pools).map(|i| host(i, i % pools)).collect();
    let before_members = heap();
    router.step(now, Input::Hosts(1, hosts.clone()));
    for host in &hosts {
        router.step(now, Input::Frame(frame(host, vec![report()])));
    }
    let member_bytes = (heap() - before_members) / hosts.len() as f64;
    let before = heap();
    for number in 0..open {
        let mut submission = submission(number);
        submission.bearer = Some(format!("key-{}", number % 10));
        if let Some((link, dispatch)) = dispatched(router.step(now, Input::Submit(submission))) {
            let host = hosts.iter().find(|host| host.link == link);
            let frame = host.map(|host| frame(host, vec![head(dispatch.id)]));
            router.step(now, frame.map_or(Input::Tick, Input::Frame));
        }
    }
    let open_bytes = (heap() - before) / open as f64;
    // Simulated time stands still, so that no request expires.
    let tick_us = time_each(TICKS, || {
        for _ in 0..TICKS {
            router.step(now, Input::Tick);
        }
    });
    let values = [
        ("members", hosts.len() as f64),
        ("pools", pools as f64),
        ("open", router.open() as f64),
        ("tick_us", tick_us),
        ("core_percent", tick_us / TICK_INTERVAL.as_micros() as f64 * 100.0),
        ("bytes_a_member", member_bytes),
        ("bytes_an_open_request", open_bytes),
        ("heap_kb", (heap() - empty) / 1024.0),
    ];
    row("tick", &values);
}

/// Measures the memory of the table's rows and the time to apply one change.
fn table(count: usize) {
    let before = heap();
    let mut router = router();
    let now = Duration::from_secs(1);
    let listing = Input::Listing { revision: 1, rows: rows(count, 5), malformed: Vec::new() };
    router.step(now, listing);
    let bytes = (heap() - before) / count as f64;
    let changes: Vec<Delta> = (2..202)
        .map(|version| {
            let (key, row) = account(version as usize % count);
            let rows = vec![(key, Row { version, ..row })];
            Delta { since: version - 1, revision: version, rows }
        })
        .collect();
    let change_us = time_each(changes.len(), || {
        for change in changes {
            router.step(now, Input::Delta(change));
        }
    });
    row("table", &[("rows", count as f64), ("bytes_a_row", bytes), ("change_us", change_us)]);
}

/// Measures the memory of the host list and the time to apply a new one.
fn hosts(count: usize) {
    let before = heap();
    let mut router = router();
    let now = Duration::from_secs(1);
    let list: Vec<Host> = (0..count).map(|i| host(i, i % 5)).collect();
    router.step(now, Input::Hosts(1, list.clone()));
    drop(list);
    let bytes = (heap() - before) / count as f64;
    let lists: Vec<Vec<Host>> =
        (0..20).map(|_| (0..count).map(|i| host(i, i % 5)).collect()).collect();
    let update_us = time_each(lists.len(), || {
        for (revision, list) in (2..).zip(lists) {
            router.step(now, Input::Hosts(revision, list));
        }
    });
    row("hosts", &[("hosts", count as f64), ("bytes_a_host", bytes), ("update_us", update_us)]);
}

/// Measures control traffic between one entry and its agents at the planned rate
/// of changes. The agents have no other peer, so all of them pull each change
/// from this entry; in a fleet the pulls spread over the entries.
fn control(members: usize) {
    let (mut router, hosts) = ready_router(members, 1);
    let mut agents: Vec<Gossip> = hosts.iter().map(|_| Gossip::default()).collect();
    for agent in &mut agents {
        agent.merge(Delta { since: 0, revision: 1, rows: rows(2700, 1) });
    }
    let entry = Sender {
        name: "accra-1-entry-1".into(),
        incarnation: 1_800_000_000_000,
        link: "tcp://10.1.0.1:7000".into(),
    };
    let mut traffic = Traffic::default();
    let mut now = Duration::from_secs(1);
    let (mut version, mut pending_changes, mut last_watch) = (1, Vec::new(), now);
    let until = now + CONTROL_DURATION;
    while now < until {
        now += TICK_INTERVAL;
        if now.as_millis() / CHANGE_INTERVAL.as_millis()
            != (now - TICK_INTERVAL).as_millis() / CHANGE_INTERVAL.as_millis()
        {
            version += 1;
            let (key, row) = account(version as usize % 2700);
            pending_changes.push((key, Row { version, ..row }));
        }
        let mut outputs = router.step(now, Input::Tick);
        if now >= last_watch + WATCH_INTERVAL && !pending_changes.is_empty() {
            let rows = std::mem::take(&mut pending_changes);
            let delta = Delta { since: router.revision(), revision: version, rows };
            outputs.extend(router.step(now, Input::Delta(delta)));
            last_watch = now;
        }
        while let Some(output) = outputs.pop() {
            let Output::Send(link, message) = output else { continue };
            let Some(index) = hosts.iter().position(|host| host.link == link) else { continue };
            let revision = router.revision();
            let frame = Frame { sender: entry.clone(), revision, messages: vec![message] };
            traffic.count_sent(&frame);
            let answers = answer(now, &mut agents[index], frame);
            if answers.is_empty() {
                continue;
            }
            let revision = agents[index].table().revision();
            let sender = Sender { incarnation: 1_800_000_000_000, ..sender(&hosts[index]) };
            let frame = Frame { sender, revision, messages: answers };
            traffic.count_received(&frame);
            outputs.extend(router.step(now, Input::Frame(frame)));
        }
    }
    let seconds = CONTROL_DURATION.as_secs_f64();
    let values = [
        ("members", members as f64),
        ("frames_out_a_second", traffic.frames_out as f64 / seconds),
        ("frames_in_a_second", traffic.frames_in as f64 / seconds),
        ("bytes_out_a_second", traffic.bytes_out as f64 / seconds),
        ("bytes_in_a_second", traffic.bytes_in as f64 / seconds),
        ("heartbeats_a_second", traffic.heartbeats as f64 / seconds),
        ("pulls_a_second", traffic.pulls as f64 / seconds),
        ("delta_bytes_a_second", traffic.delta_bytes as f64 / seconds),
    ];
    row("control", &values);
}

/// The answers of an agent's state machine to a frame.
fn answer(now: Duration, agent: &mut Gossip, frame: Frame) -> Vec<Message> {
    let mut answers = Vec::new();
    answers.extend(agent.observe(now, &frame.sender.link, frame.revision));
    for message in frame.messages {
        match message {
            Message::Heartbeat => answers.push(report()),
            Message::Delta(delta) => drop(agent.merge(delta)),
            _ => {}
        }
    }
    answers
}

#[derive(Default)]
struct Traffic {
    frames_out: usize,
    frames_in: usize,
    bytes_out: usize,
    bytes_in: usize,
    heartbeats: usize,
    pulls: usize,
    delta_bytes: usize,
}

impl Traffic {
    fn count_sent(&mut self, frame: &Frame) {
        let size = size(frame);
        self.frames_out += 1;
        self.bytes_out += size;
        match frame.messages[0] {
            Message::Heartbeat => self.heartbeats += 1,
            Message::Delta(_) => self.delta_bytes += size,
            _ => {}
        }
    }

    fn count_received(&mut self, frame: &Frame) {
        self.frames_in += 1;
        self.bytes_in += size(frame);
        let is_pull = |message: &&Message| matches!(message, Message::Pull(_));
        self.pulls += frame.messages.iter().filter(is_pull).count();
    }
}

fn size(frame: &Frame) -> usize {
    wire::encode(frame).map_or(0, |bytes| bytes.len())
}
