//! A backend server that sends part of an answer without end.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Size of the blocks that the server writes, in bytes.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes of an answer, of which the last part is repeated until the caller closes the
/// connection.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// What is sent first.
    pub begin: &'static str,
    /// What is repeated.
    pub part: &'static str,
}

/// Starts a server whose answers never end. Health checks, which are `HEAD /` and
/// `GET /v1/load`, get proper answers if `healthy`.
pub fn serve(answer: Answer, healthy: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of a listener");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // An error is the end of the connection.
            std::thread::spawn(move || serve_connection(stream, answer, healthy));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, answer: Answer, healthy: bool) -> io::Result<()> {
    let mut request = vec![0; BLOCK_BYTES];
    loop {
        let size = stream.read(&mut request)?;
        if size == 0 {
            return Ok(());
        }
        if healthy && request.starts_with(b"HEAD") {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")?;
        } else if healthy && request.starts_with(b"GET /v1/load") {
            let load = r#"{"incarnation": 1}"#;
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{load}", load.len())?;
        } else {
            stream.write_all(answer.begin.as_bytes())?;
            let block = answer.part.repeat(BLOCK_BYTES / answer.part.len());
            loop {
                stream.write_all(block.as_bytes())?;
            }
        }
    }
}
