//! Splitting of event streams at arbitrary chunk boundaries.
#![allow(clippy::unwrap_used)]

use balance::Numbering;
use gateway::Error;
use gateway::events::Splitter;
use gateway::sequence::Sequence;
use proptest::prelude::*;
use rstest::rstest;

/// A splitter of a stream from its start, from servers that count events by one.
fn consecutive() -> Splitter {
    Splitter::new(Sequence::new(None, Numbering::Step(1), true))
}

/// All events that a splitter returns for the chunks, and then the number of
/// buffered bytes or the error.
fn split(chunks: &[&[u8]], sequence: Sequence) -> (Vec<u8>, Result<usize, Error>) {
    let mut splitter = Splitter::new(sequence);
    let mut complete = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        loop {
            match splitter.take() {
                Ok(events) if events.is_empty() => break,
                Ok(events) => complete.extend_from_slice(&events),
                Err(error) => return (complete, Err(error)),
            }
        }
    }
    (complete, Ok(splitter.len()))
}

fn unresumable() -> Sequence {
    Sequence::new(None, Numbering::Unknown, false)
}

#[rstest]
#[case::lf(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid", 30)]
#[case::crlf(b"id: 1\r\ndata: a\r\n\r\nid", 18)]
#[case::mixed(b"id: 1\n\nid: 2\r\n\r\nid", 16)]
fn take_whole_events_from_single_bytes(#[case] stream: &[u8], #[case] complete: usize) {
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_eq!(
        split(&bytes, unresumable()),
        (stream[..complete].to_vec(), Ok(stream.len() - complete))
    );
}

/// A sound event that arrives together with a faulty one.
#[test]
fn take_events_before_one_out_of_order() {
    let (complete, end) = split(
        &[b"id: 1\ndata: a\n\nid: 2\n\nid: 2\n\nid: 3\n\n"],
        Sequence::new(None, Numbering::Step(1), true),
    );
    assert_eq!(complete, b"id: 1\ndata: a\n\nid: 2\n\n");
    assert_eq!(end, Err(Error::OutOfOrder { previous: 2, found: 2 }));
}

/// A wrong digit in an id makes later events look like old ones, or the caller miss some.
#[rstest]
#[case::first("id: 7\n\nid: 2\n\n", 0, 7)]
#[case::next("id: 1\n\nid: 3\n\nid: 3\n\n", 1, 3)]
#[case::far("id: 1\n\nid: 92\n\nid: 3\n\n", 1, 92)]
#[case::after_lost_delimiter("id: 1\n\ndata: a\nxid: 2\n\nid: 4\n\n", 1, 4)]
fn take_holds_back_event_that_skips_ids(
    #[case] stream: &str,
    #[case] previous: u64,
    #[case] found: u64,
) {
    let mut splitter = consecutive();
    splitter.push(stream.as_bytes());
    if previous > 0 {
        assert!(splitter.take().unwrap().starts_with(b"id: 1\n\n"));
    }
    assert_eq!(splitter.take(), Err(Error::Skipped { previous, found }));
    assert_eq!(splitter.take(), Err(Error::Skipped { previous, found }));
    assert_eq!(splitter.sequence().last_id().unwrap_or_default(), previous);
    // The sound event of another server.
    splitter.restart();
    splitter.push(format!("id: {}\n\n", previous + 1).as_bytes());
    assert!(splitter.take().is_ok());
    assert_eq!(splitter.take_learned(), None);
}

/// Ids that really skip: another server confirms it.
#[test]
fn take_event_that_two_servers_number_alike() {
    let mut splitter = consecutive();
    splitter.push(b"id: 10\n\n");
    assert_eq!(splitter.take(), Err(Error::Skipped { previous: 0, found: 10 }));
    splitter.restart();
    splitter.push(b"id: 10\n\nid: 20\n\n");
    // The next id is known of one server only, and waits for the one after it.
    assert_eq!(&splitter.take().unwrap()[..], b"id: 10\n\n");
    splitter.push(b"id: 30\n\n");
    assert_eq!(&splitter.take().unwrap()[..], b"id: 20\n\nid: 30\n\n");
    assert_eq!(splitter.take_learned(), Some(Numbering::Irregular));
}

/// A lost delimiter joins two events; the caller would take them for one.
#[test]
fn take_rejects_event_with_two_ids() {
    let (complete, end) = split(&[b"id: 1\n\nid: 2\ndata: ax\nid: 3\n\n"], unresumable());
    assert_eq!(complete, b"id: 1\n\n");
    assert_eq!(end, Err(Error::OutOfOrder { previous: 2, found: 3 }));
}

/// An event without an id counts as the one after the previous event.
#[test]
fn take_event_without_id() {
    let mut splitter = consecutive();
    let stream = b"id: 1\n\nix: 2\n\nid: 3\n\n: comment\n\nid: 4\n\ndata: end\n\n";
    splitter.push(stream);
    assert_eq!(&splitter.take().unwrap()[..], stream);
}

/// Text without an id where the rest of a stream is due.
#[test]
fn take_text_that_does_not_resume() {
    let mut splitter = consecutive();
    splitter.push(b"id: 1\n\nid: 2\nda");
    assert_eq!(&splitter.take().unwrap()[..], b"id: 1\n\n");
    splitter.restart();
    splitter.push(b"HTTP/1.1 500 x\r\n\r\nfailed\n\nid: 2\n\n");
    assert_eq!(splitter.take(), Err(Error::NotResumed));
    splitter.restart();
    splitter.push(b"id: 2\n\ndata: last\n\n");
    assert_eq!(&splitter.take().unwrap()[..], b"id: 2\n\ndata: last\n\n");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Event ids out of order are the only possible error.
    #[test]
    fn take_arbitrary_chunks(
        pieces in proptest::collection::vec(
            prop_oneof![
                Just("\n"), Just("\r\n"), Just("\r"), Just("id: "), Just("id:7\n\n"),
                Just("data: x\n"), Just("9\n"), Just("\u{0}\u{fffd}"),
            ],
            0..40,
        ),
        split_points in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let stream = pieces.concat().into_bytes();
        let mut ends: Vec<usize> =
            split_points.iter().map(|point| point.index(stream.len() + 1)).collect();
        ends.sort_unstable();
        let mut chunks = Vec::new();
        let mut start = 0;
        for end in ends.into_iter().chain([stream.len()]) {
            chunks.push(&stream[start..end]);
            start = end;
        }
        let single_bytes: Vec<&[u8]> = stream.chunks(1).collect();
        for numbering in [Numbering::Unknown, Numbering::Step(7), Numbering::Irregular] {
            for resumable in [false, true] {
                let sequence = || Sequence::new(None, numbering, resumable);
                let (chunked, bytewise) =
                    (split(&chunks, sequence()), split(&single_bytes, sequence()));
                // Also the events before a fault are the same.
                prop_assert_eq!(chunked, bytewise);
            }
        }
    }
}
