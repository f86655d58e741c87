//! Invalid requests get a typed refusal, malformed frames are dropped, and
//! neither has another effect.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use awc::ClientRequest;
use lab::{engine, service};
use rstest::rstest;
use system::caller::{self, Reply};
use system::cluster::{Cluster, Plan, metric, wait_for};
use tables::Name;

/// Largest request body that an entry accepts, in bytes: the settings' default.
const BODY_LIMIT: usize = 1 << 20;
/// Size in bytes of a header larger than an entry forwards.
const HEADER: usize = 40 << 10;
/// Body text of a booking that the service never answers.
const HANG: &str = "hangs";
/// Time that a booking takes.
const BOOKING: Duration = Duration::from_millis(1500);

fn plan() -> Plan {
    let service =
        service::Settings { delay: BOOKING, hang_marker: Some(HANG.into()), ..Default::default() };
    Plan { entries: vec!["entry-1", "entry-2"], service, ..Plan::default() }
}

fn assert_problem(reply: &Reply, status: u16, ran: &str) {
    assert_eq!(reply.status, status, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    assert_eq!(reply.content_type.as_deref(), Some("application/problem+json"));
    assert_eq!(reply.execution().as_deref(), Some(ran), "{:?}", reply.json());
    assert_eq!(reply.json()["status"], status);
    assert!(reply.json()["request"].is_string());
}

/// A kind of invalid request.
#[derive(Clone, Copy, Debug)]
enum InvalidRequest {
    Json,
    NoModel,
    NoBearer,
    Bearer,
    Route,
    Model,
    Body,
    Header,
    Timeout,
    TimeoutBytes,
    Key,
}

fn request(url: &str, invalid: InvalidRequest) -> (ClientRequest, String) {
    let client = caller::client();
    let chat = format!("{url}/v1/chat/completions");
    let book = client.post(format!("{url}/book")).insert_header(("idempotency-key", "key-1"));
    let bench = || "bench 4".to_owned();
    match invalid {
        InvalidRequest::Json => (client.post(chat), "{\"model\": \"fitter\"".to_owned()),
        InvalidRequest::NoModel => (client.post(chat), "{\"messages\": []}".to_owned()),
        InvalidRequest::Model => {
            (client.post(chat), "{\"model\": \"none\", \"messages\": []}".to_owned())
        }
        InvalidRequest::NoBearer => (book.insert_header(("authorization", "Basic eDp5")), bench()),
        InvalidRequest::Bearer => {
            (book.insert_header(("authorization", "Bearer of-nobody")), bench())
        }
        InvalidRequest::Route => (client.post(format!("{url}/elsewhere")), bench()),
        InvalidRequest::Body => (book, "x".repeat(BODY_LIMIT + 1)),
        InvalidRequest::Header => (book.insert_header(("x-note", "x".repeat(HEADER))), bench()),
        InvalidRequest::Timeout => (book.insert_header(("x-request-timeout-ms", "soon")), bench()),
        InvalidRequest::TimeoutBytes => {
            let bytes = awc::http::header::HeaderValue::from_bytes(b"1\xff").unwrap();
            (book.insert_header(("x-request-timeout-ms", bytes)), bench())
        }
        InvalidRequest::Key => (book.insert_header(("idempotency-key", "k".repeat(257))), bench()),
    }
}

/// Sends all invalid requests to one cluster: none may affect the next.
#[actix_rt::test]
async fn refuse_invalid_requests() {
    let cluster = Cluster::start(plan()).await;
    let url = cluster.url("entry-1");
    let cases = [
        (InvalidRequest::Json, 400),
        (InvalidRequest::NoModel, 400),
        (InvalidRequest::NoBearer, 401),
        (InvalidRequest::Bearer, 401),
        (InvalidRequest::Route, 404),
        (InvalidRequest::Model, 404),
        (InvalidRequest::Body, 413),
        (InvalidRequest::Header, 413),
        (InvalidRequest::Timeout, 400),
        (InvalidRequest::TimeoutBytes, 400),
        (InvalidRequest::Key, 400),
    ];
    for (invalid, status) in cases {
        let (request, body) = request(&url, invalid);
        let reply = caller::read(request, body).await.expect("a reply");
        assert_problem(&reply, status, "not_run");
        assert_eq!(reply.retry_after, None, "{invalid:?} must not be retried");
    }
    assert!(cluster.services["service-1"].runs().is_empty());
    for agent in ["engine-1", "service-1"] {
        assert_eq!(cluster.counter(agent, "dispatched").await, 0);
    }
    // A body of exactly the limit is accepted.
    let body = "x".repeat(BODY_LIMIT);
    let reply = caller::book(&url, "key-2", &body).await.unwrap();
    assert_eq!(reply.body, service::expected("/book", body.as_bytes()).into_bytes());
}

/// Request smuggling: whoever reads the other length takes the rest for a request.
#[actix_rt::test]
async fn refuse_two_lengths() {
    let cluster = Cluster::start(plan()).await;
    let address = cluster.url("entry-1").replace("http://", "");
    let send = move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let head = "POST /book HTTP/1.1\r\nhost: x\r\nidempotency-key: key-1\r\n\
                    content-length: 0\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}5\r\nbench\r\n0\r\n\r\n").as_bytes()).unwrap();
        let mut status = [0; "HTTP/1.1 400".len()];
        stream.read_exact(&mut status).unwrap();
        String::from_utf8_lossy(&status).into_owned()
    };
    let status = actix_rt::task::spawn_blocking(send).await.unwrap();
    assert_eq!(status, "HTTP/1.1 400");
    assert_eq!(cluster.runs("key-1"), 0);
}

#[actix_rt::test]
async fn distinguish_resends() {
    let cluster = Cluster::start(plan()).await;
    let url = cluster.url("entry-1");
    let first = actix_rt::spawn(async move { caller::book(&url, "key-1", "bench 4").await });
    wait_for("a run of the booking", || async { (cluster.runs("key-1") == 1).then_some(()) }).await;
    // The first still runs, or has finished on a slow machine.
    let again = caller::book(&cluster.url("entry-2"), "key-1", "bench 4").await.unwrap();
    if again.status == 200 {
        assert_eq!(again.body, service::expected("/book", b"bench 4").into_bytes());
    } else {
        assert_problem(&again, 409, "may_have_run");
        assert_eq!(again.reason().as_deref(), Some("running"));
        assert!(again.retry_after.is_some());
    }
    let first = first.await.unwrap().unwrap();
    assert_eq!(first.body, service::expected("/book", b"bench 4").into_bytes());

    for entry in ["entry-1", "entry-2"] {
        let other = caller::book(&cluster.url(entry), "key-1", "bench 5").await.unwrap();
        assert_problem(&other, 422, "not_run");
        assert_eq!(other.reason().as_deref(), Some("mismatch"));
    }
    assert_eq!(cluster.runs("key-1"), 1);
}

/// A booking without an answer ends at the caller's deadline.
#[rstest]
#[case::short(2000)]
#[case::none(0)]
#[actix_rt::test]
async fn enforce_deadline(#[case] limit_ms: u64) {
    let cluster = Cluster::start(plan()).await;
    let url = format!("{}/book", cluster.url("entry-1"));
    let request = caller::client().post(url).insert_header(("idempotency-key", "key-1"));
    let request = request.insert_header(("x-request-timeout-ms", limit_ms.to_string()));
    let sent = Instant::now();
    let reply = caller::read(request, format!("bench 4 {HANG}")).await.unwrap();
    let took = sent.elapsed();
    assert!(reply.retry_after.is_some());
    // The timeout of the route is a minute.
    assert!(took < Duration::from_secs(30), "{took:?}");
    if cluster.runs("key-1") > 0 {
        assert_problem(&reply, 504, "may_have_run");
        assert_eq!(reply.reason().as_deref(), Some("deadline"));
        assert!(took >= Duration::from_millis(limit_ms));
        return;
    }
    // It didn't start in time: refused by the agent, or the deadline passed.
    match reply.reason().as_deref() {
        Some("late") => assert_problem(&reply, 503, "not_run"),
        Some("deadline") => assert_eq!(reply.status, 504),
        reason => panic!("{reason:?}: {:?}", reply.json()),
    }
    // A request that was answered `not_run` must never run.
    let first = reply.execution();
    let again = caller::lookup(&cluster.url("entry-1"), "any bench").await.unwrap();
    assert_eq!(again.status, 200);
    assert!(first.as_deref() != Some("not_run") || cluster.runs("key-1") == 0);
}

fn send_raw_frame(link: &Name, frame: &[u8]) {
    let socket = nng::Socket::new(nng::Protocol::Push0).unwrap();
    socket.dial(link).unwrap();
    socket.send(frame).unwrap();
    // The socket sends its queued frames before it closes, given some time.
    std::thread::sleep(Duration::from_millis(100));
    socket.close();
}

async fn wait_for_malformed(operations: SocketAddr, name: &str, count: usize) {
    wait_for("the count of malformed frames", || async {
        (metric(operations, name).await? >= count as f64).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn drop_malformed_frames() {
    let cluster = Cluster::start(plan()).await;
    let url = cluster.url("entry-1");
    let prompt = "a wide foot";
    let sent = url.clone();
    let stream = actix_rt::spawn(async move { caller::chat(&sent, prompt, 100).await });
    cluster.wait_for_events("entry-1", 1, 1).await;

    let sender =
        wire::Sender { name: "x".into(), incarnation: 1, link: "tcp://127.0.0.1:9".into() };
    let frame = wire::Frame { sender, revision: 0, messages: vec![wire::Message::Heartbeat] };
    let whole = wire::encode(&frame).unwrap();
    let mut version = whole.clone();
    version[0] = wire::VERSION + 1;
    let long = [&whole[..], b"more"].concat();
    let frames: [&[u8]; 5] = [b"", b"not a frame", &whole[..whole.len() - 1], &version, &long];
    let entry = &cluster.entries["entry-1"];
    let agent = &cluster.agents["engine-1"];
    for frame in frames {
        send_raw_frame(&entry.link, frame);
        send_raw_frame(&agent.link, frame);
    }
    wait_for_malformed(entry.operations, "entry_frames_malformed", frames.len()).await;
    wait_for_malformed(agent.operations, "agent_frames_malformed", frames.len()).await;

    let reply = stream.await.unwrap().unwrap();
    assert!(reply.complete);
    assert_eq!(reply.chat(), (engine::expected(prompt, 100), true));
    let reply = caller::book(&url, "key-1", "bench 4").await.unwrap();
    assert_eq!(reply.status, 200);
}
