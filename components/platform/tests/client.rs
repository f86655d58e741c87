//! Replies of a platform that are no answers, or never end.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use platform::{Client, Error, Expect};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(500);

/// A platform whose connections `answer` serves: it gets the number of the request on its
/// connection and the request's path.
fn serve(answer: impl Fn(usize, &str, &mut TcpStream) + Clone + Send + 'static) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let (mut stream, mut request) = (stream.unwrap(), [0; 4096]);
                for number in 0.. {
                    let size = stream.read(&mut request).unwrap_or(0);
                    if size == 0 {
                        return;
                    }
                    let head = String::from_utf8_lossy(&request[..size]).into_owned();
                    answer(number, head.split(' ').nth(1).unwrap(), &mut stream);
                }
            });
        }
    });
    Client::new(vec![url.into()], TIMEOUT)
}

/// A reply with a body that names an object.
fn object(name: &str) -> String {
    let body = format!(r#"{{"name": "{name}", "version": 7, "value": {{}}}}"#);
    format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// A status code that is that of no final response came back as a reply, and the final
/// response after an interim one as the reply to the next call on the connection.
#[rstest]
fn call_with_status_of_no_final_response(
    #[values("000", "099", "100", "101", "103", "199", "600", "999")] code: &'static str,
) {
    let client = serve(move |number, path, stream| {
        let _ = write!(stream, "HTTP/1.1 {code} x\r\n\r\n");
        std::thread::sleep(Duration::from_millis(20 * (1 - number.min(1) as u64)));
        let _ = stream.write_all(object(path.rsplit('/').next().unwrap()).as_bytes());
    });
    actix_rt::System::new().block_on(async {
        for name in ["one", "two", "three"] {
            assert_eq!(client.get("pool", name).await, Err(Error::Unreachable), "{name}");
            let reply = client.fetch(format!("/x/{name}"), TIMEOUT).await;
            assert_eq!(reply, Err(Error::Unknown), "{name}");
            let written = client.put("pool", name, Expect::Absent, &1.into()).await;
            assert_eq!(written, Err(Error::Unknown), "{name}");
        }
    });
}

/// Part of a reply that is sent without end.
#[rstest]
#[case::status_line("HTTP/1.1 200 x", "x")]
#[case::header_line("HTTP/1.1 200 x\r\nx: ", "x")]
#[case::headers("HTTP/1.1 200 x\r\n", "x: y\r\n")]
#[case::informational("", "HTTP/1.1 103 x\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::chunk_extension("HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n5;", "x")]
#[case::trailer("HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n")]
#[case::chunks("HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n")]
#[case::body("HTTP/1.0 200 x\r\n\r\n", "x")]
#[case::long_body("HTTP/1.1 200 x\r\ncontent-length: 4000000000\r\n\r\n", "x")]
fn call_with_endless_reply(#[case] begin: &'static str, #[case] unit: &'static str) {
    let client = serve(move |_, _, stream| {
        let block = unit.repeat((64 << 10) / unit.len());
        let mut sent = stream.write_all(begin.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(block.as_bytes());
        }
    });
    actix_rt::System::new().block_on(async {
        for _ in 0..2 {
            assert!(client.get("pool", "one").await.is_err());
            assert!(client.list("pool").await.is_err());
            assert!(client.put("pool", "one", Expect::Absent, &1.into()).await.is_err());
        }
    });
}

/// A listing of which each page announces another one was kept without a bound. This one
/// ends after 100 MiB.
#[test]
fn list_endless_pages() {
    let client = serve(|_, path, stream| {
        let name = path.rsplit("after=").next().unwrap().parse().unwrap_or(0) + 1;
        let (filler, more) = ("x".repeat(1 << 20), name < 100);
        let body = format!(
            r#"{{"objects": [{{"name": "{name}", "version": 1, "value": "{filler}"}}],
                "revision": 1, "more": {more}}}"#
        );
        let head = format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all((head + &body).as_bytes());
    });
    let listed = actix_rt::System::new().block_on(client.list("pool"));
    let count = listed.as_ref().map_or(0, |listing| listing.objects.len());
    assert!(matches!(listed, Err(Error::Oversized { .. })), "{count} objects were kept");
}

/// A reply with a page that has at most one object.
fn page(name: &str, more: bool) -> String {
    let object = format!(r#"{{"name": "{name}", "version": 1, "value": 1}}"#);
    let objects = if name.is_empty() { "" } else { &object };
    let body = format!(r#"{{"objects": [{objects}], "revision": 1, "more": {more}}}"#);
    format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Pages that show no way to continue. An empty one ended the listing as if it were complete,
/// which removed the objects on the other pages; the same names again went on for ever.
#[rstest]
#[case::empty(&["", ""])]
#[case::empty_second(&["a", ""])]
#[case::same_name(&["a", "a"])]
#[case::names_in_a_cycle(&["a", "b", "c", "a"])]
fn list_pages_without_progress(#[case] names: &'static [&'static str]) {
    let client = serve(|number, _, stream| {
        let _ = stream.write_all(page(names[number % names.len()], true).as_bytes());
    });
    let listed = actix_rt::System::new().block_on(client.list("pool"));
    assert_eq!(listed, Err(Error::Malformed { status: 200 }));
}

#[test]
fn list_after_odd_name() {
    let client = serve(|_, path, stream| {
        let reply = match path {
            "/v1/objects/pool" => page("a&b=+ é", true),
            "/v1/objects/pool?after=a%26b%3D%2B%20%C3%A9" => page("c", false),
            _ => page("", true),
        };
        let _ = stream.write_all(reply.as_bytes());
    });
    let listing = actix_rt::System::new().block_on(client.list("pool")).unwrap();
    let names: Vec<&str> = listing.objects.iter().map(|object| object.name.as_str()).collect();
    assert_eq!((names, listing.more), (vec!["a&b=+ é", "c"], false));
}
