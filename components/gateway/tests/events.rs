//! Event streams, however they are cut into chunks.
#![allow(clippy::unwrap_used)]

use gateway::Error;
use gateway::events::Splitter;
use proptest::prelude::*;
use rstest::rstest;

/// All that a splitter gives out for chunks, and how it ends.
fn split(chunks: &[&[u8]]) -> (Vec<u8>, Result<usize, Error>) {
    let mut splitter = Splitter::new(0);
    let mut whole = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        match splitter.take() {
            Ok(events) => whole.extend_from_slice(&events),
            Err(error) => return (whole, Err(error)),
        }
    }
    (whole, Ok(splitter.len()))
}

#[rstest]
#[case::unix(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid", 30)]
#[case::dos(b"id: 1\r\ndata: a\r\n\r\nid", 18)]
#[case::mixed(b"id: 1\n\nid: 2\r\n\r\nid", 16)]
fn take_whole_events_from_single_bytes(#[case] stream: &[u8], #[case] whole: usize) {
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_eq!(split(&bytes), (stream[..whole].to_vec(), Ok(stream.len() - whole)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Numbers in order are the only thing that a stream can get wrong here.
    #[test]
    fn take_is_the_same_however_cut(
        pieces in proptest::collection::vec(
            prop_oneof![
                Just("\n"), Just("\r\n"), Just("\r"), Just("id: "), Just("id:7\n\n"),
                Just("data: x\n"), Just("9\n"), Just("\u{0}\u{fffd}"),
            ],
            0..40,
        ),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let stream = pieces.concat().into_bytes();
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(stream.len() + 1)).collect();
        places.sort_unstable();
        let mut chunks = Vec::new();
        let mut from = 0;
        for place in places.into_iter().chain([stream.len()]) {
            chunks.push(&stream[from..place]);
            from = place;
        }
        let single: Vec<&[u8]> = stream.chunks(1).collect();
        let (cut, byte) = (split(&chunks), split(&single));
        prop_assert_eq!(cut.1.is_ok(), byte.1.is_ok());
        if cut.1.is_ok() {
            prop_assert_eq!(cut, byte);
        }
    }
}
