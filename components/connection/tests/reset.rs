//! How a connection ends whose request is given up.
#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use connection::Pool;

/// Gives a call up after 200 ms and says what `look` sees at the server.
fn look_at_given_up<T: Send + 'static>(
    look: impl FnOnce(&mut TcpStream) -> T + Send + 'static,
) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        look(&mut stream)
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
        // Lets the reset follow.
        actix_rt::time::sleep(Duration::from_millis(800)).await;
    });
    server.join().unwrap()
}

/// A server that works sees the end in order: lost packets are sent again.
#[test]
fn call_given_up_ends_in_order() {
    let end = look_at_given_up(|stream| stream.read_to_end(&mut Vec::new()).is_ok());
    assert!(end);
}

/// What is still on its way to a host that stands still must not arrive later
/// as if it were asked for.
#[test]
fn call_given_up_is_reset() {
    // A connection that was only closed takes the first write.
    let written = look_at_given_up(|stream| {
        std::thread::sleep(Duration::from_secs(2));
        stream.write(b"late").map_err(|error| error.kind())
    });
    assert_eq!(written, Err(ErrorKind::BrokenPipe));
}
