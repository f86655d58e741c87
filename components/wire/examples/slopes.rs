//! Cost of frames and links: bytes and CPU time by size.
//!
//! `cargo run --release -p wire --example slopes`, prints one JSON line per row.

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

/// Number of messages encoded and decoded per measurement.
const CODED_MESSAGES: usize = 400_000;
/// Number of flushes per measurement.
const FLUSHES: u32 = 100_000;
/// Duration of the measurement at a constant rate.
const PACED_DURATION: Duration = Duration::from_secs(2);
/// Interval between two frames at a constant rate.
const PACED_INTERVAL: Duration = Duration::from_micros(500);
/// Number of chunks sent as fast as the peer accepts them.
const BURST_CHUNKS: u64 = 40_000;
/// Maximum backlog while sending as fast as possible, in frames.
const BACKLOG_LIMIT: usize = 1000;

fn main() {
    for chunks in [1, 8, 64] {
        measure_coding("frame_of_chunks", chunks, vec![chunk(); chunks]);
    }
    measure_control_messages();
    for chunks in [1, 8, 64] {
        measure_paced(chunks);
    }
    for chunks in [1, 8, 64] {
        measure_burst(chunks);
    }
    for peers in [75, 225, 675] {
        measure_idle_peers(peers);
    }
}

fn sender(link: Name) -> Sender {
    Sender { name: "accra-1-host-123".into(), incarnation: 1_800_000_000_000, link }
}

fn frame(messages: Vec<Message>) -> Frame {
    Frame { sender: sender("tcp://10.12.34.56:7000".into()), revision: 24_000_000, messages }
}

/// One token of a stream, as a server-sent event of 180 bytes.
fn chunk() -> Message {
    let id = RequestId::from_u128(0x1234_5678 << 90);
    Message::Chunk(Chunk { id, attempt: 1, index: 200, events: 1, data: vec![b'x'; 180].into() })
}

fn measure_coding(name: &str, parts: usize, messages: Vec<Message>) {
    let frame = frame(messages);
    let bytes = encode(&frame).unwrap_or_default();
    let rounds = (CODED_MESSAGES / parts).max(50);
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

fn measure_control_messages() {
    measure_coding("heartbeat", 1, vec![Message::Heartbeat]);
    let first_token = Duration::from_millis(120);
    let report = Report { running: 63, queued: 3, limit: 64, first_token, ..Report::default() };
    measure_coding("report", 1, vec![Message::Report(report)]);
    measure_coding("pull", 1, vec![Message::Pull(24_000_000)]);
    measure_coding("grant", 1, vec![Message::Group(grant())]);
    for rows in [1, 10, 100, 2700] {
        let rows = (0..rows).map(account).collect::<Vec<_>>();
        let count = rows.len();
        let delta = Delta { since: 24_000_000, revision: 24_000_001, rows };
        measure_coding("delta", count, vec![Message::Delta(delta)]);
    }
    for hosts in [100, 1000, 12_640] {
        let list = (0..hosts).map(host).collect();
        measure_coding("hosts", hosts, vec![Message::Hosts(9, list)]);
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

/// Returns an unused loopback address.
fn address() -> Name {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    format!("tcp://127.0.0.1:{}", port.map_or(0, |address| address.port())).into()
}

/// Opens a link that counts the frames it receives.
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

/// Measures the CPU time per frame of sender and receiver together, at a constant rate.
fn measure_paced(chunks: usize) {
    let Some((_receiver, peer, received)) = receiver() else { return };
    let Ok(mut link) = Link::open(sender(address()), |_| ()) else { return };
    wait_for_connection(&mut link, &peer, &received);
    let (before, cpu, start) = (received.load(Relaxed), process_time(), Instant::now());
    let mut due = start;
    while start.elapsed() < PACED_DURATION {
        for _ in 0..chunks {
            let _ = link.push(&peer, chunk());
        }
        link.flush(1);
        due += PACED_INTERVAL;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    std::thread::sleep(Duration::from_millis(100));
    let frames = (received.load(Relaxed) - before) as f64;
    let cpu_us = (process_time() - cpu).as_secs_f64() * 1e6 / frames;
    let rate = frames / PACED_DURATION.as_secs_f64();
    let each = cpu_us / chunks as f64;
    let values = [
        ("chunks", chunks as f64),
        ("frames_a_second", rate),
        ("cpu_us_a_frame", cpu_us),
        ("cpu_us_a_chunk", each),
    ];
    row("link_paced", &values);
}

/// Measures the maximum frame rate of one link.
fn measure_burst(chunks: usize) {
    let Some((_receiver, peer, received)) = receiver() else { return };
    let Ok(mut link) = Link::open(sender(address()), |_| ()) else { return };
    wait_for_connection(&mut link, &peer, &received);
    let (before, cpu, start) = (received.load(Relaxed), process_time(), Instant::now());
    let total = BURST_CHUNKS / chunks as u64;
    for _ in 0..total {
        for _ in 0..chunks {
            let _ = link.push(&peer, chunk());
        }
        link.flush(1);
        while link.backlog() > BACKLOG_LIMIT {
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
    let elapsed_s = start.elapsed().as_secs_f64();
    let frames = (received.load(Relaxed) - before) as f64;
    let cpu_us = (process_time() - cpu).as_secs_f64() * 1e6 / frames;
    let values = [
        ("chunks", chunks as f64),
        ("frames", frames),
        ("frames_a_second", frames / elapsed_s),
        ("chunks_a_second", frames * chunks as f64 / elapsed_s),
        ("cpu_us_a_frame", cpu_us),
    ];
    row("link_burst", &values);
}

/// Waits until the link is connected.
fn wait_for_connection(link: &mut Link, peer: &Name, received: &AtomicU64) {
    let start = Instant::now();
    while received.load(Relaxed) == 0 && start.elapsed() < Duration::from_secs(10) {
        let _ = link.push(peer, Message::Heartbeat);
        link.flush(1);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Measures the memory of idle links and the CPU time of a flush with idle peers.
fn measure_idle_peers(count: usize) {
    let receivers: Vec<_> = (0..count).filter_map(|_| receiver()).collect();
    let Ok(mut link) = Link::open(sender(address()), |_| ()) else { return };
    let before = resident();
    for (_, peer, _) in &receivers {
        let _ = link.push(peer, Message::Heartbeat);
    }
    let start = Instant::now();
    while receivers.iter().any(|(_, _, received)| received.load(Relaxed) == 0)
        && start.elapsed() < Duration::from_secs(20)
    {
        link.flush(1);
        std::thread::sleep(Duration::from_millis(5));
    }
    let growth_kb = resident().saturating_sub(before);
    // Only one of the peers receives a message, as is typical for a step of an entry.
    let start = thread_time();
    for _ in 0..FLUSHES / 10 {
        let _ = link.push(&receivers[0].1, Message::Heartbeat);
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
        ("kb_a_peer_both_ends", growth_kb as f64 / count as f64),
        ("flush_one_us", flush_us),
        ("flush_none_us", empty_us),
    ];
    row("link_idle", &values);
}
