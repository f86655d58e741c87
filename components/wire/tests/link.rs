//! Links over loopback: pushed messages arrive at each peer in order.
#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use tables::Name;
use wire::{Chunk, Frame, Link, Message, RequestId, Sender};

/// Maximum wait for frames; passing runs take a fraction of it.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of frames that exceeds what nng buffers for one peer.
const FRAME_COUNT: u64 = 500;

fn address() -> Name {
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    format!("tcp://127.0.0.1:{port}").into()
}

fn open(link: &Name) -> (Link, Receiver<Frame>) {
    let (frames, received) = channel();
    let sender = Sender { name: "n".into(), incarnation: 1, link: link.clone() };
    let deliver = move |frame| drop(frames.send(frame));
    (Link::open(sender, deliver).unwrap(), received)
}

/// Flushes the link until `count` messages have been received.
fn collect(link: &mut Link, received: &Receiver<Frame>, count: usize) -> Vec<Message> {
    let start = Instant::now();
    let mut messages = Vec::new();
    while messages.len() < count && start.elapsed() < RECEIVE_TIMEOUT {
        link.flush(7);
        if let Ok(frame) = received.recv_timeout(Duration::from_millis(5)) {
            assert_eq!(frame.revision, 7);
            messages.extend(frame.messages);
        }
    }
    messages
}

#[test]
fn flush_serves_each_pending_peer() {
    let (one, other) = (address(), address());
    let (_one, from_one) = open(&one);
    let (_other, from_other) = open(&other);
    let (mut link, _) = open(&address());
    for number in 0..20 {
        link.push(&one, Message::Pull(number)).unwrap();
        link.push(&other, Message::Pull(number + 100)).unwrap();
    }
    let expected = |from: u64| (from..from + 20).map(Message::Pull).collect::<Vec<_>>();
    assert_eq!(collect(&mut link, &from_one, 20), expected(0));
    assert_eq!(collect(&mut link, &from_other, 20), expected(100));
    // A peer that was idle is served again.
    link.push(&one, Message::Pull(50)).unwrap();
    assert_eq!(collect(&mut link, &from_one, 1), [Message::Pull(50)]);
    assert_eq!(link.backlog(), 0);
}

#[test]
fn flush_keeps_frames_for_peer_that_starts_late() {
    let late_peer = address();
    let (mut link, _) = open(&address());
    // Exceeds the buffer of nng, so that frames stay in the outbox.
    for number in 0..FRAME_COUNT {
        link.push(&late_peer, Message::Pull(number)).unwrap();
        link.flush(7);
    }
    assert!(link.backlog() > 0);
    let (_late_link, received) = open(&late_peer);
    let expected: Vec<Message> = (0..FRAME_COUNT).map(Message::Pull).collect();
    assert_eq!(collect(&mut link, &received, FRAME_COUNT as usize), expected);
}

#[test]
fn forget_drops_unsent_frames() {
    let unreachable = address();
    let (mut link, _) = open(&address());
    for number in 0..FRAME_COUNT {
        link.push(&unreachable, Message::Pull(number)).unwrap();
        link.flush(7);
    }
    assert!(link.backlog() > 0);
    link.forget(&unreachable);
    assert_eq!(link.backlog(), 0);
}

/// Large frames for an unreachable peer must not exhaust memory.
#[test]
fn flush_bounds_outbox_bytes() {
    let unreachable = address();
    let (mut link, _) = open(&address());
    for index in 0..FRAME_COUNT as u32 {
        let data = vec![b'x'; 1 << 20].into();
        let chunk = Chunk { id: RequestId::from_u128(1), attempt: 1, index, events: 0, data };
        link.push(&unreachable, Message::Chunk(chunk)).unwrap();
        link.flush(7);
    }
    assert!((1..=8).contains(&link.backlog()), "{}", link.backlog());
    assert!(link.counters().dropped.load(Ordering::Relaxed) > FRAME_COUNT / 2);
}

/// A single frame larger than the byte limit of the outbox is still sent.
#[test]
fn flush_sends_one_frame_above_limit() {
    let late_peer = address();
    let (mut link, _) = open(&address());
    for number in 0..FRAME_COUNT {
        link.push(&late_peer, Message::Pull(number)).unwrap();
        link.flush(7);
    }
    let data = vec![b'x'; 9 << 20].into();
    let chunk = Chunk { id: RequestId::from_u128(1), attempt: 1, index: 0, events: 0, data };
    link.push(&late_peer, Message::Chunk(chunk.clone())).unwrap();
    link.flush(7);
    assert_eq!(link.backlog(), 1);
    let (_late_link, received) = open(&late_peer);
    let buffered = (FRAME_COUNT - link.counters().dropped.load(Ordering::Relaxed)) as usize;
    let messages = collect(&mut link, &received, buffered + 1);
    assert_eq!(messages.last(), Some(&Message::Chunk(chunk)));
}
