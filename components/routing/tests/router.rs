//! Router cases that scenario scripts can't reach.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use routing::members::REPLY_TIMEOUT;
use routing::problem::{Code, Problem};
use routing::{Input, Options, Output, Part, Router, Submission};
use rstest::rstest;
use sha2::{Digest, Sha256};
use tables::host::{Role, State};
use tables::{Body, Delta, Host, Key, Kind, Row};
use uuid::Uuid;
use wire::{
    Cancel, Chunk, Class, Dispatch, End, Execution, Frame, Head, Message, Outcome, Reason, Refusal,
    Report, Sender,
};

const NOW: Duration = Duration::from_secs(1);
/// Incarnation of all agents.
const INCARNATION: u64 = 5;
const STREAM: &str = "text/event-stream";
/// Largest non-streamed answer that is buffered, in bytes.
const BODY_LIMIT: usize = 8 << 20;

fn host(name: &str, zone: &str) -> Host {
    let link = format!("tcp://{name}").into();
    let pool = Some("p".into());
    Host {
        name: name.into(),
        role: Role::Server,
        zone: zone.into(),
        link,
        pool,
        state: State::Live,
    }
}

fn row(kind: Kind, name: &str, version: u64, body: serde_json::Value) -> (Key, Row) {
    let body = match kind {
        Kind::Route => Body::Route(serde_json::from_value(body).unwrap()),
        Kind::Pool => Body::Pool(serde_json::from_value(body).unwrap()),
        Kind::Zone => Body::Zone(serde_json::from_value(body).unwrap()),
        _ => Body::Account(serde_json::from_value(body).unwrap()),
    };
    (Key { kind, name: name.into() }, Row { version, body: Some(body) })
}

/// A router with these agents, all in one pool.
fn router(agents: &[&str]) -> Router {
    let options = Options {
        name: "e1".into(),
        zone: "z1".into(),
        link: "tcp://e1".into(),
        peers: Vec::new(),
        seed: 1,
    };
    let mut router = Router::new(options);
    let hash = format!("{:x}", Sha256::digest(b"key"));
    let route = |idempotent: bool, path: &str| serde_json::json!({"path": path, "pools": ["p"], "idempotent": idempotent, "timeout_ms": 9000});
    let rows = vec![
        row(Kind::Route, "free", 1, route(true, "/free")),
        row(Kind::Route, "book", 2, route(false, "/book")),
        row(Kind::Pool, "p", 3, serde_json::json!({"kind": "service", "limit": 8})),
        row(Kind::Account, "a", 4, serde_json::json!({"key_sha256": hash, "weight": 1})),
    ];
    router.step(NOW, Input::Delta(Delta { since: 0, revision: 4, rows }));
    let hosts = agents.iter().map(|name| host(name, "z1")).collect();
    router.step(NOW, Input::Hosts(1, hosts));
    for name in agents {
        receive(&mut router, NOW, name, INCARNATION, Message::Report(Report::default()));
    }
    router
}

fn receive(
    router: &mut Router,
    now: Duration,
    agent: &str,
    incarnation: u64,
    message: Message,
) -> Vec<Output> {
    let link = format!("tcp://{agent}").into();
    let sender = Sender { name: agent.into(), incarnation, link };
    router.step(now, Input::Frame(Frame { sender, revision: 4, messages: vec![message] }))
}

fn submit(router: &mut Router, id: u128, path: &str) -> Vec<Output> {
    router.step(NOW, Input::Submit(request(id, path)))
}

fn request(id: u128, path: &str) -> Submission {
    Submission {
        id: Uuid::from_u128(id),
        bearer: Some("key".to_owned()),
        method: "POST".into(),
        path: path.into(),
        model: None,
        headers: Vec::new(),
        key: None,
        class: Class::Interactive,
        timeout: None,
        body: Bytes::from_static(b"x"),
    }
}

/// A table without client accounts accepts no bearer key.
#[test]
fn submit_without_client_accounts() {
    let mut router = router(&["s1"]);
    let account = Key { kind: Kind::Account, name: "a".into() };
    let rows = vec![(account, Row { version: 5, body: None })];
    router.step(NOW, Input::Delta(Delta { since: 4, revision: 5, rows }));
    for (id, bearer) in [(1, Some("key")), (2, Some("other")), (3, None)] {
        let submission = Submission { bearer: bearer.map(str::to_owned), ..request(id, "/free") };
        let outputs = router.step(NOW, Input::Submit(submission));
        assert_eq!(problem(&outputs).map(|problem| problem.code), Some(Code::Unauthorized));
        assert_eq!(sent(&outputs), None);
    }
}

/// The dispatched attempt and the name of its agent.
fn sent(outputs: &[Output]) -> Option<(String, Dispatch)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(to, Message::Dispatch(dispatch)) => {
            Some((to.trim_start_matches("tcp://").to_owned(), dispatch.clone()))
        }
        _ => None,
    })
}

fn parts(outputs: &[Output]) -> Vec<Part> {
    let part = |output: &Output| match output {
        Output::Answer(_, part) => Some(part.clone()),
        _ => None,
    };
    outputs.iter().filter_map(part).collect()
}

fn data(outputs: &[Output]) -> String {
    let parts = parts(outputs);
    let bytes = parts.iter().filter_map(|part| match part {
        Part::Data(data) => Some(String::from_utf8_lossy(data).into_owned()),
        _ => None,
    });
    bytes.collect()
}

fn problem(outputs: &[Output]) -> Option<Problem> {
    parts(outputs).into_iter().find_map(|part| match part {
        Part::Problem(problem) => Some(problem),
        _ => None,
    })
}

fn head(attempt: u32, stream: bool) -> Message {
    let headers = if stream { vec![("content-type".into(), STREAM.into())] } else { Vec::new() };
    Message::Head(Head { id: Uuid::from_u128(1), attempt, status: 200, headers })
}

fn chunk(attempt: u32, index: u32, text: &'static str) -> Message {
    let data = Bytes::from_static(text.as_bytes());
    Message::Chunk(Chunk { id: Uuid::from_u128(1), attempt, index, events: 1, data })
}

fn end(attempt: u32, count: u32, outcome: Outcome) -> Message {
    Message::End(End { id: Uuid::from_u128(1), attempt, count, outcome })
}

fn refusal(attempt: u32, reason: Reason, execution: Execution) -> Message {
    let id = Uuid::from_u128(1);
    Message::Refusal(Refusal { id, attempt, reason, execution, retry_after: None })
}

/// The outputs for messages of one agent that arrive in this order.
fn receive_all(router: &mut Router, agent: &str, messages: Vec<Message>) -> Vec<Output> {
    messages
        .into_iter()
        .flat_map(|message| receive(router, NOW, agent, INCARNATION, message))
        .collect()
}

#[rstest]
#[case::in_order(vec![head(1, true), chunk(1, 0, "a"), chunk(1, 1, "b"), end(1, 2, Outcome::Complete)])]
#[case::out_of_order(vec![head(1, true), chunk(1, 1, "b"), chunk(1, 0, "a"), end(1, 2, Outcome::Complete)])]
#[case::doubled(vec![head(1, true), chunk(1, 0, "a"), chunk(1, 0, "a"), head(1, true), chunk(1, 1, "b"), chunk(1, 0, "a"), end(1, 2, Outcome::Complete)])]
#[case::end_first(vec![end(1, 2, Outcome::Complete), chunk(1, 1, "b"), chunk(1, 0, "a"), head(1, true)])]
#[case::head_last(vec![chunk(1, 0, "a"), chunk(1, 1, "b"), end(1, 2, Outcome::Complete), head(1, true)])]
#[case::other_attempt(vec![head(1, true), chunk(2, 0, "x"), chunk(0, 0, "y"), chunk(1, 0, "a"), chunk(1, 1, "b"), end(2, 1, Outcome::Complete), end(1, 2, Outcome::Complete)])]
fn collect_complete_answer(#[case] messages: Vec<Message>, #[values(true, false)] stream: bool) {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    let messages = messages.into_iter().map(|message| match message {
        Message::Head(one) => head(one.attempt, stream),
        other => other,
    });
    let outputs = receive_all(&mut router, "m1", messages.collect());
    assert_eq!(data(&outputs), "ab");
    let parts = parts(&outputs);
    assert!(matches!(parts[0], Part::Head { status: 200, .. }));
    assert_eq!(parts.iter().filter(|part| **part == Part::End).count(), 1);
    assert_eq!(router.open(), 0);
}

#[test]
fn collect_waits_for_missing_chunk() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    let messages = vec![head(1, true), chunk(1, 1, "b"), end(1, 2, Outcome::Complete)];
    assert_eq!(data(&receive_all(&mut router, "m1", messages)), "");
    assert_eq!(router.open(), 1);
    let outputs = router.step(NOW + Duration::from_millis(300), Input::Tick);
    let is_resend = |output: &Output| match output {
        Output::Send(_, Message::Resend(resend)) => resend.from == 0 && resend.attempt == 1,
        _ => false,
    };
    assert!(outputs.iter().any(is_resend));
}

#[test]
fn collect_ignores_other_server() {
    let mut router = router(&["m1", "m2"]);
    let (server, _) = sent(&submit(&mut router, 1, "/free")).unwrap();
    let other = if server == "m1" { "m2" } else { "m1" };
    let outputs = receive_all(&mut router, other, vec![head(1, true), chunk(1, 0, "x")]);
    assert_eq!(parts(&outputs), []);
}

#[test]
fn collect_too_large() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    let data = Bytes::from(vec![0; BODY_LIMIT + 1]);
    let id = Uuid::from_u128(1);
    let large = Message::Chunk(Chunk { id, attempt: 1, index: 0, events: 0, data });
    let outputs = receive_all(&mut router, "m1", vec![head(1, false), large]);
    let problem = problem(&outputs).unwrap();
    assert_eq!(
        (problem.code, problem.execution),
        (Code::Refused(Reason::TooLarge), Execution::Ran)
    );
    let cancel = Message::Cancel(Cancel { id, attempt: 1 });
    assert!(outputs.contains(&Output::Send("tcp://m1".into(), cancel)));
}

/// An answer without end isn't that of other servers, but a booking has run.
#[rstest]
#[case::idempotent("/free", true)]
#[case::booking("/book", false)]
fn collect_too_large_from_one_server(#[case] path: &str, #[case] retried: bool) {
    let mut router = router(&["m1", "m2"]);
    let (first, _) = sent(&submit(&mut router, 1, path)).unwrap();
    let data = Bytes::from(vec![0; BODY_LIMIT + 1]);
    let id = Uuid::from_u128(1);
    let large = Message::Chunk(Chunk { id, attempt: 1, index: 0, events: 0, data });
    let outputs = receive_all(&mut router, &first, vec![head(1, false), large]);
    let next = sent(&outputs).map(|(server, _)| server);
    assert_eq!(next.is_some_and(|next| next != first), retried);
    assert_eq!(problem(&outputs).is_some(), !retried);
}

/// Answers that are each within the limit filled the memory together.
#[test]
fn collect_too_large_together() {
    const REQUESTS: u128 = 60;
    let mut router = router(&["m1"]);
    let mut refused = 0;
    for id in 1..=REQUESTS {
        submit(&mut router, id, "/free");
        let data = Bytes::from(vec![0; 4 << 20]);
        let id = Uuid::from_u128(id);
        let head = Message::Head(Head { id, attempt: 1, status: 200, headers: Vec::new() });
        let part = Message::Chunk(Chunk { id, attempt: 1, index: 0, events: 0, data });
        let outputs = receive_all(&mut router, "m1", vec![head, part]);
        let problem = problem(&outputs);
        refused += u32::from(problem.is_some());
        assert!(problem.is_none_or(|found| found.code == Code::Refused(Reason::TooLarge)));
    }
    assert_eq!(refused, 60 - 16, "16 answers of 4 MiB fill 64 MiB");
}

/// Chunks behind a gap were kept without a bound.
#[test]
fn collect_drops_early_chunks() {
    const PART: usize = 256 << 10;
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    let id = Uuid::from_u128(1);
    let part = |index| {
        let data = Bytes::from(vec![b'x'; PART]);
        Message::Chunk(Chunk { id, attempt: 1, index, events: 1, data })
    };
    receive_all(&mut router, "m1", vec![head(1, true)]);
    let early = (1..40).map(part).collect();
    assert_eq!(data(&receive_all(&mut router, "m1", early)), "");
    let next = data(&receive_all(&mut router, "m1", vec![part(0)]));
    assert_eq!(next.len(), 5 * PART, "of 40 chunks");
    // The agent sends the others again.
    let rest = data(&receive_all(&mut router, "m1", (5..40).map(part).collect()));
    assert_eq!(rest.len(), 35 * PART);
}

#[test]
fn collect_resumes_after_events_sent() {
    let mut router = router(&["m1", "m2"]);
    let (first, _) = sent(&submit(&mut router, 1, "/free")).unwrap();
    let broken = vec![head(1, true), chunk(1, 0, "a"), end(1, 1, Outcome::Broken)];
    let outputs = receive_all(&mut router, &first, broken);
    let (second, dispatch) = sent(&outputs).unwrap();
    assert_ne!(first, second);
    assert_eq!((dispatch.attempt, dispatch.resume), (2, 1));
    let stale = receive_all(&mut router, &first, vec![chunk(1, 1, "late")]);
    assert_eq!(data(&stale), "");
    let rest = vec![head(2, true), chunk(2, 0, "b"), end(2, 1, Outcome::Complete)];
    let rest = receive_all(&mut router, &second, rest);
    assert_eq!(data(&rest), "b");
    assert_eq!(parts(&rest).last(), Some(&Part::End));
}

#[test]
fn refusal_of_old_attempt_is_ignored() {
    let mut router = router(&["m1", "m2"]);
    let (first, _) = sent(&submit(&mut router, 1, "/free")).unwrap();
    let busy = refusal(1, Reason::Busy, Execution::NotRun);
    let (second, dispatch) = sent(&receive_all(&mut router, &first, vec![busy.clone()])).unwrap();
    assert_eq!(dispatch.attempt, 2);
    assert_eq!(receive_all(&mut router, &first, vec![busy.clone()]), []);
    assert_eq!(receive_all(&mut router, &second, vec![busy]), []);
    assert_eq!(router.open(), 1);
}

#[rstest]
#[case::same_incarnation(INCARNATION, Execution::NotRun)]
#[case::next_incarnation(INCARNATION + 1, Execution::MayHaveRun)]
fn refusal_unknown_to_agent(#[case] incarnation: u64, #[case] execution: Execution) {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/book");
    let unknown = refusal(1, Reason::Cancelled, Execution::NotRun);
    let outputs = receive(&mut router, NOW, "m1", incarnation, unknown);
    assert_eq!(problem(&outputs).unwrap().execution, execution);
}

#[test]
fn refusal_of_earlier_incarnation_is_ignored() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/book");
    let busy = refusal(1, Reason::Busy, Execution::NotRun);
    assert_eq!(receive(&mut router, NOW, "m1", INCARNATION - 1, busy), []);
    assert_eq!(router.open(), 1);
}

/// The clock of an agent's host was ahead when its earlier process started.
#[test]
fn receive_agent_restarted_after_its_clock_was_set_back() {
    let mut router = router(&["m1"]);
    let (server, _) = sent(&submit(&mut router, 1, "/book")).unwrap();
    let later = NOW + REPLY_TIMEOUT;
    let report = || Message::Report(Report::default());
    let outputs = receive(&mut router, later, &server, INCARNATION - 1, report());
    // The earlier process may have run the booking.
    assert_eq!(problem(&outputs).unwrap().execution, Execution::MayHaveRun);
    let outputs = router.step(later, Input::Submit(request(2, "/book")));
    assert_eq!(sent(&outputs).unwrap().1.incarnation, INCARNATION - 1);
}

#[rstest]
#[case::broken(Reason::Broken)]
#[case::crashed(Reason::Crashed)]
fn refusal_of_started_booking_is_not_retried(#[case] reason: Reason) {
    let mut router = router(&["m1", "m2"]);
    let (server, _) = sent(&submit(&mut router, 1, "/book")).unwrap();
    let outputs =
        receive_all(&mut router, &server, vec![refusal(1, reason, Execution::MayHaveRun)]);
    assert_eq!(sent(&outputs), None);
    assert_eq!(problem(&outputs).unwrap().execution, Execution::MayHaveRun);
}

#[test]
fn refusal_keeps_execution_of_earlier_attempt() {
    let mut router = router(&["m1", "m2"]);
    let (first, _) = sent(&submit(&mut router, 1, "/free")).unwrap();
    let broken = refusal(1, Reason::Broken, Execution::MayHaveRun);
    let (second, _) = sent(&receive_all(&mut router, &first, vec![broken])).unwrap();
    let busy = refusal(2, Reason::Busy, Execution::NotRun);
    let outputs = receive_all(&mut router, &second, vec![busy]);
    assert_eq!(problem(&outputs).unwrap().execution, Execution::MayHaveRun);
}

#[rstest]
#[case::poison(Reason::Poison)]
#[case::mismatch(Reason::Mismatch)]
fn refusal_is_final(#[case] reason: Reason) {
    let mut router = router(&["m1", "m2"]);
    let (server, _) = sent(&submit(&mut router, 1, "/free")).unwrap();
    let outputs = receive_all(&mut router, &server, vec![refusal(1, reason, Execution::NotRun)]);
    assert_eq!(sent(&outputs), None);
    assert_eq!(problem(&outputs).unwrap().retry_after, None);
}

#[test]
fn retry_within_budget() {
    let mut router = router(&["m1", "m2"]);
    let mut retries = 0;
    for id in 1..=200 {
        let (server, dispatch) = sent(&submit(&mut router, id, "/free")).unwrap();
        let refusal = Message::Refusal(Refusal {
            id: dispatch.id,
            attempt: 1,
            reason: Reason::Busy,
            execution: Execution::NotRun,
            retry_after: None,
        });
        retries += usize::from(sent(&receive_all(&mut router, &server, vec![refusal])).is_some());
    }
    // A fifth of the first attempts, plus the floor accumulated in a second.
    assert!((40..=60).contains(&retries), "{retries}");
}

#[test]
fn restart_of_agent_fails_its_attempts() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/book");
    let report = Message::Report(Report::default());
    let outputs = receive(&mut router, NOW, "m1", INCARNATION + 1, report);
    assert_eq!(problem(&outputs).unwrap().execution, Execution::MayHaveRun);
}

#[test]
fn choose_no_server_in_zone_out_of_service() {
    let mut router = router(&["m1"]);
    let rows = vec![row(Kind::Zone, "z1", 5, serde_json::json!({"out": true}))];
    router.step(NOW, Input::Delta(Delta { since: 4, revision: 5, rows }));
    let outputs = submit(&mut router, 1, "/free");
    assert_eq!(sent(&outputs), None);
    assert_eq!(problem(&outputs).unwrap().execution, Execution::NotRun);
}

#[test]
fn expire_sets_retry_after() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    let outputs = router.step(NOW + Duration::from_secs(9), Input::Tick);
    let problem = problem(&outputs).unwrap();
    assert_eq!((problem.code, problem.execution), (Code::Deadline, Execution::MayHaveRun));
    assert!(problem.retry_after.is_some());
}

#[test]
fn disconnect_cancels_attempt() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    let id = Uuid::from_u128(1);
    let outputs = router.step(NOW, Input::Disconnected(id));
    let cancel = Message::Cancel(Cancel { id, attempt: 1 });
    assert_eq!(outputs, [Output::Send("tcp://m1".into(), cancel)]);
    assert_eq!(router.open(), 0);
}

#[test]
fn leave_waits_for_open_requests() {
    let mut router = router(&["m1"]);
    submit(&mut router, 1, "/free");
    assert_eq!(router.step(NOW, Input::Leave), []);
    let refused = problem(&submit(&mut router, 2, "/free")).unwrap();
    assert_eq!((refused.code, refused.execution), (Code::Leaving, Execution::NotRun));
    let outputs =
        receive_all(&mut router, "m1", vec![head(1, false), end(1, 0, Outcome::Complete)]);
    assert_eq!(outputs.last(), Some(&Output::Drained));
}
