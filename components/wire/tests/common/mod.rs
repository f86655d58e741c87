//! Sample frames for the tests of this crate.
#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use tables::host::{Role, State};
use tables::{Body, Delta, Host, Key, Kind, Row, Zone};
use wire::{
    Cancel, Chunk, Class, Dispatch, End, Execution, Frame, Head, Message, Outcome, Reason, Refusal,
    Report, RequestId, Resend, Sender,
};

/// Creates a frame with the given messages.
pub fn frame(messages: Vec<Message>) -> Frame {
    let sender = Sender { name: "e1".into(), incarnation: 1, link: "tcp://127.0.0.1:7".into() };
    Frame { sender, revision: 3, messages }
}

/// Creates a request identifier from a number.
pub fn uuid(number: u128) -> RequestId {
    RequestId::from_u128(number)
}

/// Creates one frame per message type, except `Entry`, `Switch` and `Group`.
pub fn frames() -> Vec<Frame> {
    let (id, attempt) = (uuid(0x1234), 2);
    let headers = vec![("content-type".into(), "text/plain".into())];
    let retry_after = Some(Duration::from_millis(250));
    let (reason, execution) = (Reason::Busy, Execution::NotRun);
    let messages = [
        Message::Dispatch(dispatch()),
        Message::Cancel(Cancel { id, attempt }),
        Message::Resend(Resend { id, attempt, from: 3 }),
        Message::Ack(Cancel { id, attempt }),
        Message::Refusal(Refusal { id, attempt, reason, execution, retry_after }),
        Message::Head(Head { id, attempt, status: 200, headers }),
        Message::Chunk(Chunk { id, attempt, index: 9, events: 1, data: "data: x\n\n".into() }),
        Message::End(End { id, attempt, count: 10, outcome: Outcome::Complete }),
        Message::Report(Report { running: 3, limit: 64, ..Report::default() }),
        Message::Pull(12),
        Message::Delta(Delta { since: 3, revision: 4, rows: vec![zone("z1", 4, true)] }),
        Message::PullHosts,
        Message::Hosts(5, vec![host()]),
        Message::Heartbeat,
    ];
    messages.into_iter().map(|message| frame(vec![message])).collect()
}

/// Creates the row of an availability zone.
pub fn zone(name: &str, version: u64, out: bool) -> (Key, Row) {
    let key = Key { kind: Kind::Zone, name: name.into() };
    (key, Row { version, body: Some(Body::Zone(Zone { out })) })
}

fn host() -> Host {
    Host {
        name: "s1".into(),
        role: Role::Server,
        zone: "z1".into(),
        link: "tcp://127.0.0.1:8".into(),
        pool: Some("chat".into()),
        state: State::Live,
    }
}

fn dispatch() -> Dispatch {
    Dispatch {
        id: uuid(0x1234),
        attempt: 2,
        incarnation: 7,
        pool: "chat".into(),
        account: "a1".into(),
        weight: 1,
        class: Class::Interactive,
        remaining: Duration::from_secs(3),
        idempotent: false,
        key: Some("k1".into()),
        fingerprint: 99,
        exclusive: false,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: vec![("accept".into(), "text/event-stream".into())],
        body: Bytes::from_static(b"{\"model\":\"fitter\"}"),
        resume: 4,
    }
}
