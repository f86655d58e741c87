//! Answers of a backend server that are cut, or whose status codes are those of no final
//! response.
#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use admission::gate::Event;
use agent::{Client, backend};
use rstest::rstest;
use tables::PoolKind;
use wire::{Class, Dispatch, RequestId};

const PLAIN: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbench";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbench\r\n0\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n7\r\ndata: a\r\n2\r\n\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\nbench";

fn dispatch() -> Dispatch {
    Dispatch {
        id: RequestId::default(),
        attempt: 1,
        incarnation: 1,
        pool: "web".into(),
        account: "benches".into(),
        weight: 1,
        class: Class::Interactive,
        remaining: Duration::from_secs(5),
        idempotent: false,
        key: None,
        fingerprint: 1,
        exclusive: false,
        method: "POST".into(),
        path: "/book".into(),
        headers: Vec::new(),
        body: "bench".into(),
        resume: 0,
    }
}

/// The last event of a call whose answer consists of these bytes and the end of the
/// connection.
fn last_event(answer: Vec<u8>, kind: PoolKind) -> Event {
    events(answer, kind).pop().unwrap()
}

/// The events of a call whose answer consists of these bytes and the end of the connection.
fn events(answer: Vec<u8>, kind: PoolKind) -> Vec<Event> {
    events_of(dispatch(), answer, kind)
}

fn events_of(dispatch: Dispatch, answer: Vec<u8>, kind: PoolKind) -> Vec<Event> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(&answer).unwrap();
    });
    let events = Rc::new(RefCell::new(Vec::new()));
    let received = events.clone();
    actix_rt::System::new().block_on(async move {
        let record = move |event| received.borrow_mut().push(event);
        let client = Client::new(base.parse().unwrap());
        backend::run(client, kind, dispatch, record).await;
    });
    server.join().unwrap();
    events.take()
}

/// Status and body of an answer that is complete.
fn whole(events: &[Event]) -> Option<(u16, String)> {
    let (Some(Event::Head { status, .. }), Some(Event::Done)) = (events.first(), events.last())
    else {
        return None;
    };
    let data = events.iter().filter_map(|event| match event {
        Event::Data { data, .. } => Some(String::from_utf8_lossy(data)),
        _ => None,
    });
    Some((*status, data.collect()))
}

#[rstest]
#[case::plain(PLAIN, PoolKind::Service)]
#[case::chunked(CHUNKED, PoolKind::Service)]
#[case::until_close(UNTIL_CLOSE, PoolKind::Service)]
#[case::stream(STREAM, PoolKind::Model)]
fn run_reports_whole_answer(#[case] answer: &str, #[case] kind: PoolKind) {
    let body = if kind == PoolKind::Model { "data: a\n\ndata: [DONE]\n\n" } else { "bench" };
    assert_eq!(whole(&events(answer.into(), kind)), Some((200, body.to_owned())));
}

/// An answer to `HEAD` has a length and no body, and counted as cut.
#[test]
fn run_reports_answer_without_body() {
    let head = PLAIN.trim_end_matches("bench");
    let dispatch = Dispatch { method: "HEAD".into(), ..dispatch() };
    let events = events_of(dispatch, head.into(), PoolKind::Service);
    assert_eq!(whole(&events), Some((200, String::new())));
}

/// A status code that is that of no final response was passed on as the answer.
#[rstest]
fn run_reports_invalid_status(
    #[values("000", "099", "101", "600", "999", "20", "2x0", "0200", "1000")] code: &str,
    #[values(PLAIN, CHUNKED, STREAM, UNTIL_CLOSE)] answer: &str,
) {
    let answer = answer.replacen("200", code, 1);
    for kind in [PoolKind::Service, PoolKind::Model] {
        let events = events(answer.clone().into(), kind);
        assert_eq!(events, [Event::Failed { handed: true }], "{answer}");
    }
}

/// An interim response that nobody asked for was passed on in place of the final one.
#[rstest]
fn run_skips_interim_responses(#[values("100", "102", "103", "199")] code: &str) {
    let answer = format!("HTTP/1.1 {code} x\r\nlink: y\r\n\r\n");
    for kind in [PoolKind::Service, PoolKind::Model] {
        let last = last_event(answer.clone().into(), kind);
        assert_eq!(last, Event::Failed { handed: true }, "no final response");
        let events = events((answer.clone() + PLAIN).into(), kind);
        assert_eq!(whole(&events), Some((200, "bench".to_owned())));
    }
}

/// An answer that is cut anywhere, in its head or its body, must not look complete. The
/// request may have run.
#[rstest]
#[case::plain(PLAIN, PoolKind::Service)]
#[case::chunked(CHUNKED, PoolKind::Service)]
#[case::stream(STREAM, PoolKind::Model)]
fn run_reports_cut_answer(#[case] answer: &str, #[case] kind: PoolKind) {
    // A stream is whole with its last event.
    let last = "data: [DONE]\n\n";
    let whole = answer.find(last).map_or(answer.len(), |start| start + last.len());
    for size in 0..whole {
        let cut = &answer[..size];
        let last = last_event(cut.into(), kind);
        assert_eq!(last, Event::Failed { handed: true }, "after {size} bytes: {cut:?}");
    }
}

/// Without a length only the head can be seen to be cut.
#[test]
fn run_reports_cut_head() {
    let head = UNTIL_CLOSE.find("bench").unwrap();
    for size in 0..head {
        let last = last_event(UNTIL_CLOSE[..size].into(), PoolKind::Service);
        assert_eq!(last, Event::Failed { handed: true }, "after {size} bytes");
    }
}
