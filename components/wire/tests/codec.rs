//! The codec rejects malformed frames without panicking.
#![allow(clippy::unwrap_used)]

mod common;

use bytes::Bytes;
use common::{frame, frames, uuid};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wire::{Chunk, Error, FRAME_LIMIT, Message, VERSION, decode, encode, encode_batch};

/// Number of random inputs per test case.
const ROUNDS: u32 = 20_000;

#[test]
fn decode_each_message_type() {
    for frame in frames() {
        assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
    }
}

#[test]
fn decode_empty() {
    assert_eq!(decode(&[]), Err(Error::Empty));
}

#[test]
fn decode_each_truncation() {
    for frame in frames() {
        let bytes = encode(&frame).unwrap();
        for length in 1..bytes.len() {
            let error = decode(&bytes[..length]).unwrap_err();
            assert!(matches!(error, Error::Malformed(_)), "{length}: {error}");
        }
    }
}

#[rstest]
#[case(VERSION + 1)]
#[case(0)]
#[case(255)]
fn decode_other_version(#[case] version: u8) {
    let mut bytes = encode(&frame(vec![Message::Heartbeat])).unwrap();
    bytes[0] = version;
    assert_eq!(decode(&bytes), Err(Error::Version { version }));
}

#[test]
fn decode_unknown_message() {
    let mut bytes = encode(&frame(vec![Message::Heartbeat])).unwrap();
    *bytes.last_mut().unwrap() = 200;
    assert!(matches!(decode(&bytes), Err(Error::Malformed(_))));
}

#[test]
fn decode_trailing_bytes() {
    let mut bytes = encode(&frame(vec![Message::Heartbeat])).unwrap();
    bytes.extend([1, 2, 3]);
    assert_eq!(decode(&bytes), Err(Error::Trailing { count: 3 }));
}

#[test]
fn decode_oversized() {
    let size = FRAME_LIMIT + 1;
    assert_eq!(decode(&vec![VERSION; size]), Err(Error::Size { size }));
}

#[test]
fn encode_oversized() {
    let error = encode(&frame(vec![large(FRAME_LIMIT)])).unwrap_err();
    assert!(matches!(error, Error::Size { .. }));
}

/// A length prefix larger than the input must not lead to an allocation of that size.
#[test]
fn decode_huge_length() {
    let mut bytes = encode(&frame(Vec::new())).unwrap();
    bytes.pop();
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f]);
    assert!(matches!(decode(&bytes), Err(Error::Malformed(_))));
}

#[rstest]
#[case(1)]
#[case(2)]
fn decode_random_bytes(#[case] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut decoded = 0;
    for _ in 0..ROUNDS {
        let length = rng.random_range(1..200);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        bytes[0] = VERSION;
        decoded += u32::from(decode(&bytes).is_ok());
    }
    // Random bytes are rarely a valid frame.
    assert!(decoded < ROUNDS / 100, "{decoded}");
}

#[rstest]
#[case(3)]
#[case(4)]
fn decode_flipped_bits(#[case] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let valid: Vec<Vec<u8>> = frames().iter().map(|frame| encode(frame).unwrap()).collect();
    let (mut rejected, mut accepted) = (0, 0);
    for _ in 0..ROUNDS {
        let mut bytes = valid[rng.random_range(0..valid.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let position = rng.random_range(0..bytes.len());
            bytes[position] ^= 1 << rng.random_range(0..8);
        }
        match decode(&bytes) {
            Ok(_) => accepted += 1,
            Err(_) => rejected += 1,
        }
    }
    // A flip in text yields a valid frame with other text, one in a length an error.
    assert!(rejected > 100 && accepted > 100, "{rejected} {accepted}");
}

#[test]
fn encode_batch_splits_oversized() {
    let half_limit = FRAME_LIMIT / 2;
    let messages = vec![large(half_limit), Message::Heartbeat, large(half_limit), Message::Pull(7)];
    let template = frame(messages.clone());
    let (encoded, dropped) = encode_batch(&template.sender, template.revision, messages.clone());
    let decoded: Vec<wire::Frame> = encoded.iter().map(|bytes| decode(bytes).unwrap()).collect();
    assert!(decoded.iter().all(|part| part.sender == template.sender && part.revision == 3));
    let order: Vec<Message> = decoded.into_iter().flat_map(|part| part.messages).collect();
    assert!(order == messages);
    assert_eq!(dropped, 0);
}

#[test]
fn encode_batch_drops_only_oversized() {
    let template = frame(Vec::new());
    let messages = vec![Message::Pull(1), large(FRAME_LIMIT), Message::Pull(2)];
    let (encoded, dropped) = encode_batch(&template.sender, 3, messages);
    let kept: Vec<Message> =
        encoded.iter().flat_map(|bytes| decode(bytes).unwrap().messages).collect();
    assert_eq!(kept, [Message::Pull(1), Message::Pull(2)]);
    assert_eq!(dropped, 1);
}

fn large(size: usize) -> Message {
    let data = Bytes::from(vec![b'x'; size]);
    Message::Chunk(Chunk { id: uuid(1), attempt: 1, index: 0, events: 0, data })
}
