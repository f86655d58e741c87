//! Answers of a backend server that ends its connection before they are complete.
#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use admission::gate::Event;
use agent::backend;
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
        backend::run(backend::client(), base.into(), kind, dispatch(), record).await;
    });
    server.join().unwrap();
    events.take().pop().unwrap()
}

#[rstest]
#[case::plain(PLAIN, PoolKind::Service)]
#[case::chunked(CHUNKED, PoolKind::Service)]
#[case::until_close(UNTIL_CLOSE, PoolKind::Service)]
#[case::stream(STREAM, PoolKind::Model)]
fn run_reports_whole_answer(#[case] answer: &str, #[case] kind: PoolKind) {
    assert_eq!(last_event(answer.into(), kind), Event::Done);
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
