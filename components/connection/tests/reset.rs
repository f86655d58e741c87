//! How a connection ends whose request is given up.
#![allow(clippy::unwrap_used)]

use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use connection::Pool;

/// What is still on its way when a request is given up must not arrive later
/// as if it were asked for: the connection is reset, not closed in order.
#[test]
fn call_given_up_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut all = Vec::new();
        stream.read_to_end(&mut all).map(|_| ()).map_err(|error| error.kind())
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
        assert_eq!(call.await.unwrap_err(), connection::Error::Silent);
        // Lets the aborted driver drop the socket.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    });
    assert_eq!(server.join().unwrap(), Err(ErrorKind::ConnectionReset));
}
