//! Slopes of frames and links: bytes and processor time by size.
//!
//! `cargo run --release -p wire --example slopes`, one JSON line a row.

#[path = "common/mod.rs"]
mod common;

use std::hint::black_box;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use common::{process_time, resident, row, thread_time, time_each};
use tables::{Account, Body, Delta, Host, Key, Kind, Name, Row};
use wire::{Chunk, Frame, Link, Message, Report, RequestId, Sender, decode, encode};

/// Messages that are coded for one figure.
const CODED: usize = 400_000;
/// Flushes that are timed for one figure.
const FLUSHES: u32 = 100_000;
/// Time for which frames are sent at a steady pace.
const PACED: Duration = Duration::from_secs(2);
/// Time between two frames then.
const PACE: Duration = Duration::from_micros(500);
/// Frames sent as fast as they are taken.
const BURST: u64 = 40_000;
/// Most frames that wait while as many as possible are sent.
const BACKLOG: usize = 1000;

fn main() {
    for chunks in [1, 8, 64] {
        coding("frame_of_chunks", chunks, vec![chunk(); chunks]);
    }
    control();
    for chunks in [1, 8, 64] {
        paced(chunks);
    }
    for chunks in [1, 8, 64] {
        burst(chunks);
    }
    for peers in [75, 225, 675] {
        idle_peers(peers);
    }
}

fn sender(link: Name) -> Sender {
    Sender { name: "accra-1-host-123".into(), incarnation: 1_800_000_000_000, link }
}

fn frame(messages: Vec<Message>) -> Frame {
    Frame { sender: sender("tcp://10.12.34.56:7000".into()), revision: 24_000_000, messages }
}

/// One token of a stream, as a server-sent event of some 180 bytes.
fn chunk() -> Message {
    let id = RequestId::from_u128(0x1234_5678 << 90);
    Message::Chunk(Chunk { id, attempt: 1, index: 200, events: 1, data: vec![b'x'; 180].into() })
}

fn coding(name: &str, parts: usize, messages: Vec<Message>) {
    let frame = frame(messages);
    let bytes = encode(&frame).unwrap_or_default();
    let rounds = (CODED / parts).max(50);
    let encode_us = time_each(rounds, || {
        for _ in 0..rounds {
            let _ = black_box(encode(black_box(&frame)));
        }
    });
    let decode_us = time_each(rounds, || {
        for _ in 0..rounds {
            let _ = black_box(decode(black_box(&bytes)));
        }
    });
    let values = [
        ("parts", parts as f64),
        ("bytes", bytes.len() as f64),
        ("bytes_each", bytes.len() as f64 / parts as f64),
        ("encode_us", encode_us),
        ("decode_us", decode_us),
        ("both_us_each", (encode_us + decode_us) / parts as f64),
    ];
    row(name, &values);
}

fn control() {
    coding("heartbeat", 1, vec![Message::Heartbeat]);
    let first_token = Duration::from_millis(120);
    let report = Report { running: 63, queued: 3, limit: 64, first_token, ..Report::default() };
    coding("report", 1, vec![Message::Report(report)]);
    coding("pull", 1, vec![Message::Pull(24_000_000)]);
    coding("grant", 1, vec![Message::Group(grant())]);
    for rows in [1, 10, 100, 2700] {
        let rows = (0..rows).map(account).collect::<Vec<_>>();
        let count = rows.len();
        let delta = Delta { since: 24_000_000, revision: 24_000_001, rows };
        coding("delta", count, vec![Message::Delta(delta)]);
    }
    for hosts in [100, 1000, 12_640] {
        let list = (0..hosts).map(host).collect();
        coding("hosts", hosts, vec![Message::Hosts(9, list)]);
    }
}

fn grant() -> group::Message {
    let session = group::Session { agent: 1_800_000_000_000, engine: 1_800_000_000_000 };
    let block = group::Block { from: 10_000_000, to: 10_000_032, map: 400 };
    let fence = group::Fence { number: 12, round: 1 };
    group::Message { from: 3, fence, body: group::Body::Grant { session, block } }
}

fn account(number: usize) -> (Key, Row) {
    let account = Account { key_sha256: format!("{number:064x}").into(), weight: 1 };
    let key = Key { kind: Kind::Account, name: format!("account-{number:06}").into() };
    (key, Row { version: 24_000_000, body: Some(Body::Account(account)) })
}

fn host(number: usize) -> Host {
    Host {
        name: format!("accra-1-host-{number}").into(),
        role: tables::host::Role::Server,
        zone: "accra-1".into(),
        link: format!("tcp://10.0.{}.{}:7000", number / 250, number % 250).into(),
        pool: Some("model-3".into()),
        state: tables::host::State::Live,
    }
}

/// An address on loopback that nobody uses now.
fn address() -> Name {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    format!("tcp://127.0.0.1:{}", port.map_or(0, |address| address.port())).into()
}

/// A process that counts the frames it gets.
fn receiver() -> Option<(Link, Name, Arc<AtomicU64>)> {
    let link = address();
    let received = Arc::new(AtomicU64::new(0));
    let count = received.clone();
    let deliver = move |frame| {
        black_box(frame);
        count.fetch_add(1, Relaxed);
    };
    let opened = Link::open(sender(link.clone()), deliver).ok()?;
    Some((opened, link, received))
}

/// Processor time of a frame, at both its ends together, at a steady pace.
fn paced(chunks: usize) {
    let Some((_end, peer, received)) = receiver() else { return };
    let Ok(mut link) = Link::open(sender(address()), |_| ()) else { return };
    settle(&mut link, &peer, &received);
    let (before, cpu, start) = (received.load(Relaxed), process_time(), Instant::now());
    let mut due = start;
    while start.elapsed() < PACED {
        for _ in 0..chunks {
            let _ = link.push(&peer, chunk());
        }
        link.flush(1);
        due += PACE;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    std::thread::sleep(Duration::from_millis(100));
    let frames = (received.load(Relaxed) - before) as f64;
    let cpu_us = (process_time() - cpu).as_secs_f64() * 1e6 / frames;
    let rate = frames / PACED.as_secs_f64();
    let each = cpu_us / chunks as f64;
    let values = [
        ("chunks", chunks as f64),
        ("frames_a_second", rate),
        ("cpu_us_a_frame", cpu_us),
        ("cpu_us_a_chunk", each),
    ];
    row("link_paced", &values);
}

/// Most frames in a second over one link.
fn burst(chunks: usize) {
    let Some((_end, peer, received)) = receiver() else { return };
    let Ok(mut link) = Link::open(sender(address()), |_| ()) else { return };
    settle(&mut link, &peer, &received);
    let (before, cpu, start) = (received.load(Relaxed), process_time(), Instant::now());
    let total = BURST / chunks as u64;
    for _ in 0..total {
        for _ in 0..chunks {
            let _ = link.push(&peer, chunk());
        }
        link.flush(1);
        while link.backlog() > BACKLOG {
            std::thread::yield_now();
            link.flush(1);
        }
    }
    while link.backlog() > 0 {
        link.flush(1);
    }
    while received.load(Relaxed) - before < total && start.elapsed() < Duration::from_secs(30) {
        std::thread::yield_now();
    }
    let took = start.elapsed().as_secs_f64();
    let frames = (received.load(Relaxed) - before) as f64;
    let cpu_us = (process_time() - cpu).as_secs_f64() * 1e6 / frames;
    let values = [
        ("chunks", chunks as f64),
        ("frames", frames),
        ("frames_a_second", frames / took),
        ("chunks_a_second", frames * chunks as f64 / took),
        ("cpu_us_a_frame", cpu_us),
    ];
    row("link_burst", &values);
}

/// Waits until the link stands.
fn settle(link: &mut Link, peer: &Name, received: &AtomicU64) {
    let start = Instant::now();
    while received.load(Relaxed) == 0 && start.elapsed() < Duration::from_secs(10) {
        let _ = link.push(peer, Message::Heartbeat);
        link.flush(1);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// What links cost over which nothing goes: memory, and time of a flush.
fn idle_peers(count: usize) {
    let ends: Vec<_> = (0..count).filter_map(|_| receiver()).collect();
    let Ok(mut link) = Link::open(sender(address()), |_| ()) else { return };
    let before = resident();
    for (_, peer, _) in &ends {
        let _ = link.push(peer, Message::Heartbeat);
    }
    let start = Instant::now();
    while ends.iter().any(|(_, _, received)| received.load(Relaxed) == 0)
        && start.elapsed() < Duration::from_secs(20)
    {
        link.flush(1);
        std::thread::sleep(Duration::from_millis(5));
    }
    let grown = resident().saturating_sub(before);
    // One peer of all gets a message, as in a step of an entry.
    let start = thread_time();
    for _ in 0..FLUSHES / 10 {
        let _ = link.push(&ends[0].1, Message::Heartbeat);
        link.flush(1);
    }
    let flush_us = (thread_time() - start).as_secs_f64() * 1e7 / f64::from(FLUSHES);
    let start = thread_time();
    for _ in 0..FLUSHES {
        link.flush(1);
    }
    let empty_us = (thread_time() - start).as_secs_f64() * 1e6 / f64::from(FLUSHES);
    let values = [
        ("peers", count as f64),
        ("kb_a_peer_both_ends", grown as f64 / count as f64),
        ("flush_one_us", flush_us),
        ("flush_none_us", empty_us),
    ];
    row("link_idle", &values);
}
