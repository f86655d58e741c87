//! Requests in the bytes of a connection, whatever the pieces in which they arrive.
#![allow(clippy::unwrap_used)]

use listener::framing::{Framing, Length};
use rstest::rstest;

const PLAIN: &str = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const SIZED: &str =
    "POST / HTTP/1.1\r\ncontent-length: 29\r\n\r\nGET /a HTTP/1.1\r\nhost: x\r\n\r\n ";
const CHUNKED: &str = "POST / HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n\
    1d;ext=1\r\nGET /a HTTP/1.1\r\nhost: x\r\n\r\n \r\n2 \r\n\r\n\r\n0\r\n\r\n";
const TRAILER: &str = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: GET /\r\n\r\n";
const LINE_FEEDS: &str = "\r\n\r\nGET / HTTP/1.1\nhost: x\n\n";
const EMPTY: &str = "POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
const BOTH: &str = "POST / HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n";
const REVERSED: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n";
const TWO_LENGTHS: &str = "POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n";
const SIGNED: &str = "POST / HTTP/1.1\r\ncontent-length: +5\r\n\r\n";
const TWO_CODINGS: &str =
    "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n";
const OTHER_CODING: &str = "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n";

fn lengths(pieces: impl Iterator<Item = impl AsRef<[u8]>>) -> Vec<Length> {
    let mut framing = Framing::new(1000);
    pieces.for_each(|piece| framing.receive(piece.as_ref()));
    std::iter::from_fn(|| framing.take()).collect()
}

/// A head inside a body, a chunk or a trailer is no request; each real one is found.
#[rstest]
#[case::plain(PLAIN)]
#[case::sized(SIZED)]
#[case::chunked(CHUNKED)]
#[case::trailer(TRAILER)]
#[case::line_feeds(LINE_FEEDS)]
#[case::empty(EMPTY)]
fn receive_finds_each_request(#[case] request: &str) {
    for other in [PLAIN, SIZED, CHUNKED, TRAILER, LINE_FEEDS, EMPTY] {
        let text = [request, other, request, BOTH].concat();
        let whole = lengths([&text].into_iter());
        let three = vec![Length::Certain; 3];
        assert_eq!(whole[..3], three);
        assert_eq!(whole[3..], [Length::Ambiguous]);
        for size in 1..40 {
            assert_eq!(lengths(text.as_bytes().chunks(size)), whole, "pieces of {size}");
        }
    }
}

#[rstest]
#[case::length_and_chunks(BOTH)]
#[case::chunks_and_length(REVERSED)]
#[case::two_lengths(TWO_LENGTHS)]
#[case::signed_length(SIGNED)]
#[case::two_codings(TWO_CODINGS)]
#[case::other_coding(OTHER_CODING)]
fn receive_marks_ambiguous_length(#[case] head: &str) {
    // Nothing after it is taken for a request.
    let text = [head, PLAIN, PLAIN].concat();
    for size in [1, 7, text.len()] {
        assert_eq!(lengths(text.as_bytes().chunks(size)), [Length::Ambiguous]);
    }
}

/// What can't be followed ends the list of requests instead of being guessed.
#[rstest]
#[case::malformed_head("GET / HTTP/1.1\r\nhost x\r\n\r\n")]
#[case::malformed_chunk("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n")]
#[case::malformed_trailer("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx\r\n\r\n")]
fn receive_stops_at_malformed_part(#[case] text: &str) {
    let found = lengths([text, PLAIN, PLAIN].into_iter());
    assert!(found.len() <= 1, "{found:?}");
}

#[test]
fn receive_counts_fields_up_to_limit() {
    let fields: String = (0..900).map(|index| format!("x-{index}: a\r\n")).collect();
    let head = format!("GET / HTTP/1.1\r\n{fields}\r\n");
    let mut framing = Framing::new(1000);
    framing.receive(head.as_bytes());
    assert_eq!(framing.take(), Some(Length::Certain));
    let mut framing = Framing::new(500);
    framing.receive(head.as_bytes());
    assert_eq!(framing.take(), None);
}

/// Empty lines without end are found however they arrive, and count for each request anew.
#[rstest]
#[case::carriage_returns("\r\n", 1)]
#[case::line_feeds("\n", 1)]
#[case::together("\r\n", 1000)]
fn receive_finds_excess_lines(#[case] line: &str, #[case] together: usize) {
    let mut framing = Framing::new(100);
    for _ in 0..100 {
        framing.receive(line.repeat(2).as_bytes());
        framing.receive(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    assert!(!framing.has_excess_lines());
    for _ in 0..1000 / together {
        framing.receive(line.repeat(together).as_bytes());
    }
    assert!(framing.has_excess_lines());
    assert_eq!(framing.head_size(), 0);
}
