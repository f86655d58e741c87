//! Status codes of responses to calls.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use connection::{Error, Pool, Reply};

/// Makes a call whose response consists of these bytes and the end of the connection.
fn call(response: String) -> Result<Reply, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        stream.write_all(response.as_bytes()).unwrap();
    });
    let reply = actix_rt::System::new().block_on(async {
        let (pool, time) = (Pool::default(), Duration::from_secs(5));
        connection::call(&pool, address, http::Method::POST, "/x", Bytes::new(), time).await
    });
    server.join().unwrap();
    reply
}

/// A status code that is none of a final response was returned to the caller as its reply.
#[test]
fn call_returns_final_responses_only() {
    for code in (0..1000).step_by(3).chain([100, 101, 199, 200, 599, 600, 999]) {
        let reply = call(format!("HTTP/1.1 {code:03} x\r\ncontent-length: 2\r\n\r\n{{}}"));
        match code {
            // The rest of the bytes is taken for the head of the next response.
            100 | 102..200 => assert!(reply.is_err(), "{code}"),
            200..600 => assert_eq!(reply.unwrap().status, code, "{code}"),
            _ => assert_eq!(reply.unwrap_err(), Error::Unreadable, "{code}"),
        }
    }
}

/// Interim responses that nobody asked for are skipped.
#[test]
fn call_skips_interim_responses() {
    for code in [100, 102, 103, 199] {
        let last = "HTTP/1.1 202 x\r\ncontent-length: 2\r\n\r\n{}";
        let reply = call(format!("HTTP/1.1 {code} x\r\nlink: y\r\n\r\n{last}")).unwrap();
        assert_eq!((reply.status, reply.body.as_ref()), (202, &b"{}"[..]), "{code}");
    }
}
