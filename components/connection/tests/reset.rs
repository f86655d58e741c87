//! Closing of connections whose requests time out.
#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use connection::Pool;

/// Makes a call that times out after 200 ms and returns what `observe` finds on
/// the server's side of the connection.
fn observe_timeout<T: Send + 'static>(
    observe: impl FnOnce(&mut TcpStream) -> T + Send + 'static,
) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        observe(&mut stream)
    });
    actix_rt::System::new().block_on(async {
        let pool = Pool::default();
        let call = connection::call(
            &pool,
            address,
            http::Method::GET,
            "/",
            Bytes::new(),
            Duration::from_millis(200),
        );
        assert_eq!(call.await.unwrap_err(), connection::Error::TimedOut);
        // Leave time for the RST.
        actix_rt::time::sleep(Duration::from_millis(800)).await;
    });
    server.join().unwrap()
}

/// A running server sees a FIN first, because TCP retransmits it if it is lost.
#[test]
fn call_timeout_sends_fin() {
    let closed = observe_timeout(|stream| stream.read_to_end(&mut Vec::new()).is_ok());
    assert!(closed);
}

/// An aborted request must be discarded by an RST. Otherwise it arrives when a
/// frozen host resumes, and is executed as if it were still wanted.
#[test]
fn call_timeout_resets_connection() {
    // After a FIN alone, the first write would succeed.
    let written = observe_timeout(|stream| {
        std::thread::sleep(Duration::from_secs(2));
        stream.write(b"late").map_err(|error| error.kind())
    });
    assert_eq!(written, Err(ErrorKind::BrokenPipe));
}
