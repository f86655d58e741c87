//! Connections to a listener whose limits change.
#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::Response;
use listener::{Bounds, Handler, Limits, Listener};
use rstest::rstest;

/// Limits that a test changes, and the statuses of rejected requests.
#[derive(Default)]
struct Shared {
    head: AtomicUsize,
    head_ms: AtomicU64,
    idle_ms: AtomicU64,
    rejected: Mutex<Vec<u16>>,
}

impl Shared {
    fn new(head: usize, head_ms: u64, idle_ms: u64) -> Arc<Shared> {
        let shared = Shared::default();
        shared.head.store(head, Ordering::Relaxed);
        shared.head_ms.store(head_ms, Ordering::Relaxed);
        shared.idle_ms.store(idle_ms, Ordering::Relaxed);
        Arc::new(shared)
    }

    fn limits(&self) -> Limits {
        let millis = |value: &AtomicU64| Duration::from_millis(value.load(Ordering::Relaxed));
        Limits {
            head: self.head.load(Ordering::Relaxed),
            head_time: millis(&self.head_ms),
            idle_time: millis(&self.idle_ms),
        }
    }
}

/// Bounds of the listener.
const CONNECTIONS_MAX: usize = 100;
const HEADS_MAX: usize = 1 << 20;

/// Size of a response that doesn't fit into the buffers of a connection, in bytes.
const LARGE: usize = 24 << 20;

/// A body of one piece.
struct Text(Option<Bytes>);

impl Body for Text {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        std::task::Poll::Ready(self.0.take().map(|data| Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.as_ref().map_or(0, |data| data.len() as u64))
    }
}

/// Starts a listener whose responses take `work`.
fn start(shared: &Arc<Shared>, work: Duration) -> (Listener, SocketAddr) {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (limited, recorded) = (shared.clone(), shared.clone());
    let listener = actix_rt::System::new().block_on(async move {
        Listener::start(address, move || Handler {
            bounds: Bounds { connections: CONNECTIONS_MAX, heads: HEADS_MAX },
            limits: Box::new(move || limited.limits()),
            on_rejection: Box::new(move |rejection| {
                recorded.rejected.lock().unwrap().push(rejection.status());
            }),
            respond: move |request: hyper::Request<_>| async move {
                actix_rt::time::sleep(work).await;
                let large = request.uri().path() == "/large";
                let body = if large { vec![b'x'; LARGE] } else { b"ok".to_vec() };
                Response::new(Text(Some(body.into())))
            },
        })
        .unwrap()
    });
    (listener, address)
}

/// Waits until a condition holds that follows shortly after a response.
fn wait_until(mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(started.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

/// Reads until the response is complete or the connection is closed.
fn read(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut chunk = [0; 1024];
    while !text.ends_with(b"\r\n\r\nok") {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => text.extend_from_slice(&chunk[..count]),
            // The listener closed the connection without reading everything.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("{error}"),
        }
    }
    String::from_utf8(text).unwrap()
}

/// Reads one response of several, byte by byte.
fn read_one(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\nok") && stream.read(&mut byte).unwrap() == 1 {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

fn request(fields: usize) -> String {
    let fields: String = (0..fields).map(|index| format!("x-{index}: a\r\n")).collect();
    format!("GET / HTTP/1.1\r\nhost: x\r\n{fields}\r\n")
}

#[rstest]
#[case::few(10, 16_384, "200")]
#[case::many(1200, 16_384, "200")]
#[case::too_large(1200, 8_000, "431")]
fn serve_header_fields(#[case] fields: usize, #[case] limit: usize, #[case] status: &str) {
    let shared = Shared::new(limit, 1000, 1000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    stream.write_all(request(fields).as_bytes()).unwrap();
    let response = read(&mut stream);
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    let rejected: Vec<u16> = if status == "431" { vec![431] } else { vec![] };
    wait_until(|| *shared.rejected.lock().unwrap() == rejected);
}

/// A larger head than was allowed when the connection was opened.
#[test]
fn serve_head_up_to_limit_raised_meanwhile() {
    let shared = Shared::new(1000, 1000, 1000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    stream.write_all(request(1).as_bytes()).unwrap();
    assert!(read(&mut stream).starts_with("HTTP/1.1 200"));
    shared.head.store(500_000, Ordering::Relaxed);
    let long = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "a".repeat(400_000));
    stream.write_all(long.as_bytes()).unwrap();
    let response = read(&mut stream);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

/// A head that takes too long gets 408; the time that a connection was idle before
/// doesn't count.
#[test]
fn serve_late_head() {
    let shared = Shared::new(1000, 300, 5000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    std::thread::sleep(Duration::from_millis(600));
    stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(150));
    stream.write_all(b"host: x\r\n\r\n").unwrap();
    assert!(read(&mut stream).starts_with("HTTP/1.1 200"));
    stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    assert!(read(&mut stream).starts_with("HTTP/1.1 408"));
    wait_until(|| *shared.rejected.lock().unwrap() == [408]);
}

#[test]
fn serve_malformed_head() {
    let shared = Shared::new(1000, 1000, 1000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    stream.write_all(b"GET / HTTP/1.1\r\nhost x\r\n\r\n").unwrap();
    assert!(read(&mut stream).starts_with("HTTP/1.1 400"));
    wait_until(|| *shared.rejected.lock().unwrap() == [400]);
}

/// Request smuggling: whoever reads the other length takes the rest for a request.
#[rstest]
#[case::length_and_chunks("content-length: 5\r\ntransfer-encoding: chunked")]
#[case::chunks_and_length("transfer-encoding: chunked\r\ncontent-length: 5")]
#[case::no_body("content-length: 0\r\ntransfer-encoding: chunked")]
#[case::other_coding("transfer-encoding: gzip, chunked")]
#[case::two_codings("transfer-encoding: chunked\r\ntransfer-encoding: chunked")]
fn serve_rejects_ambiguous_length(
    #[case] fields: &str,
    #[values(0, 1, 2)] earlier: usize,
    #[values(1, 1000)] piece: usize,
) {
    let shared = Shared::new(1000, 1000, 1000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    // Sent without waiting for responses.
    let chunks = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\n{fields}\r\n\r\n0\r\n\r\n");
    let text = [&chunks.repeat(earlier), &head, &request(0)].map(String::as_str).concat();
    for bytes in text.as_bytes().chunks(piece) {
        // Fails once the connection is closed.
        let _ = stream.write_all(bytes);
    }
    for _ in 0..earlier {
        assert!(read_one(&mut stream).starts_with("HTTP/1.1 200"));
    }
    let response = read(&mut stream);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    assert_eq!(*shared.rejected.lock().unwrap(), [400]);
}

/// A response that takes longer than head and idle time isn't cut.
#[test]
fn serve_slow_response() {
    let shared = Shared::new(1000, 100, 100);
    let (listener, address) = start(&shared, Duration::from_millis(500));
    let mut stream = connect(address);
    stream.write_all(request(1).as_bytes()).unwrap();
    assert!(read(&mut stream).starts_with("HTTP/1.1 200"));
    assert_eq!(read(&mut stream), "");
    wait_until(|| listener.open() == 0);
}

/// Idle connections are closed at once, the others after their response.
#[test]
fn stop_completes_responses() {
    let shared = Shared::new(1000, 5000, 20_000);
    let (listener, address) = start(&shared, Duration::from_millis(400));
    let mut idle = connect(address);
    let mut busy = connect(address);
    busy.write_all(request(1).as_bytes()).unwrap();
    wait_until(|| listener.open() == 2);
    std::thread::sleep(Duration::from_millis(50));
    let stopped = Instant::now();
    listener.stop();
    assert_eq!(read(&mut idle), "");
    assert!(stopped.elapsed() < Duration::from_millis(300), "{:?}", stopped.elapsed());
    assert!(read(&mut busy).starts_with("HTTP/1.1 200"));
    assert_eq!(read(&mut busy), "");
    assert!(TcpStream::connect(address).is_err());
}

/// A request whose head has begun is answered, also on a kept connection, and is the last
/// one.
#[rstest]
#[case::fresh(0)]
#[case::kept(1)]
fn stop_completes_head(#[case] earlier: usize) {
    let shared = Shared::new(1000, 5000, 20_000);
    let (listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    for _ in 0..earlier {
        stream.write_all(request(0).as_bytes()).unwrap();
        assert!(read(&mut stream).starts_with("HTTP/1.1 200"));
    }
    let text = request(0);
    stream.write_all(&text.as_bytes()[..10]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    listener.stop();
    std::thread::sleep(Duration::from_millis(100));
    stream.write_all(&text.as_bytes()[10..]).unwrap();
    let response = read(&mut stream);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    wait_until(|| listener.open() == 0);
}

/// A caller reads a large response slowly; neither the idle timeout nor the stop cuts it.
#[test]
fn stop_completes_response_that_is_read_slowly() {
    let shared = Shared::new(1000, 5000, 400);
    let (listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    stream.write_all(b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut size = 0;
    let mut chunk = vec![0; 1 << 20];
    let started = Instant::now();
    loop {
        match stream.read(&mut chunk).unwrap() {
            0 => break,
            count => size += count,
        }
        if started.elapsed() < Duration::from_secs(1) {
            std::thread::sleep(Duration::from_millis(50));
        } else {
            listener.stop();
        }
    }
    assert!(size > LARGE, "{size} bytes");
    wait_until(|| listener.open() == 0);
}

/// A head far above the limit is rejected while it is read, and its caller can read why.
#[rstest]
#[case::field("GET / HTTP/1.1\r\nx: ", "y", 431)]
#[case::fields("GET / HTTP/1.1\r\n", "x: y\r\n", 431)]
#[case::line("GET /", "x", 431)]
#[case::empty_lines("", "\r\n", 400)]
fn serve_rejects_endless_head(#[case] begin: &str, #[case] part: &str, #[case] status: u16) {
    let shared = Shared::new(16_384, 60_000, 60_000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let mut stream = connect(address);
    stream.write_all(begin.as_bytes()).unwrap();
    stream.write_all(part.repeat(200_000 / part.len()).as_bytes()).unwrap();
    assert!(read(&mut stream).starts_with(&format!("HTTP/1.1 {status} ")));
    wait_until(|| *shared.rejected.lock().unwrap() == [status]);
}

/// Incomplete heads of others may not take all memory. A small head is always read.
#[test]
fn serve_bounds_incomplete_heads() {
    let shared = Shared::new(16_384, 60_000, 60_000);
    let (_listener, address) = start(&shared, Duration::ZERO);
    let head = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(15_000));
    let mut streams: Vec<_> = (0..HEADS_MAX / head.len() + 1).map(|_| connect(address)).collect();
    streams.iter_mut().for_each(|stream| stream.write_all(head.as_bytes()).unwrap());
    wait_until(|| *shared.rejected.lock().unwrap() == [503]);
    let mut small = connect(address);
    small.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert!(read(&mut small).starts_with("HTTP/1.1 200 "));
    drop(streams);
    // The heads of closed connections don't count.
    wait_until(|| {
        let mut other = connect(address);
        other.write_all(format!("{head}\r\n\r\n").as_bytes()).unwrap();
        read(&mut other).starts_with("HTTP/1.1 200 ")
    });
}

#[test]
fn accept_refuses_excess_connections() {
    let shared = Shared::new(16_384, 60_000, 60_000);
    let (listener, address) = start(&shared, Duration::ZERO);
    let streams: Vec<_> = (0..CONNECTIONS_MAX).map(|_| connect(address)).collect();
    wait_until(|| listener.open() == CONNECTIONS_MAX);
    assert!(read(&mut connect(address)).starts_with("HTTP/1.1 503 "));
    drop(streams);
    wait_until(|| listener.open() == 0);
    let mut stream = connect(address);
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert!(read(&mut stream).starts_with("HTTP/1.1 200 "));
}
