//! Frames to bytes and back: a version byte, then postcard.

use crate::{Frame, Message, Sender};

/// Version of the frame format, the first byte of each frame.
pub const VERSION: u8 = 2;
/// Largest frame, in bytes.
pub const FRAME_LIMIT: usize = 32 << 20;

/// Why bytes are not a frame, or a frame can't become bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There are no bytes at all.
    #[error("the frame is empty")]
    Empty,
    /// The frame is larger than [`FRAME_LIMIT`].
    #[error("the frame has {size} bytes, more than {FRAME_LIMIT}")]
    Size {
        /// Size in bytes.
        size: usize,
    },
    /// The frame's format is one that this process does not know.
    #[error("the frame has version {version}, not {VERSION}")]
    Version {
        /// The version that the frame states.
        version: u8,
    },
    /// The bytes after the version are not a frame.
    #[error("malformed frame")]
    Malformed(#[from] postcard::Error),
    /// There are bytes beyond the frame's end.
    #[error("{count} bytes beyond the frame's end")]
    Trailing {
        /// Number of bytes.
        count: usize,
    },
}

/// Encodes a frame.
///
/// ```
/// let sender = wire::Sender { name: "e1".into(), incarnation: 1, link: "tcp://127.0.0.1:1".into() };
/// let frame = wire::Frame { sender, revision: 3, messages: vec![wire::Message::Heartbeat] };
/// let bytes = wire::encode(&frame).unwrap();
/// assert_eq!(wire::decode(&bytes).unwrap(), frame);
/// ```
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_extend(frame, vec![VERSION])?;
    if bytes.len() > FRAME_LIMIT {
        return Err(Error::Size { size: bytes.len() });
    }
    Ok(bytes)
}

/// Encodes messages into one frame, or into more if one would be too large.
/// Returns the frames in order, and how many messages are too large by
/// themselves and left out.
///
/// ```
/// let sender = wire::Sender { name: "e1".into(), incarnation: 1, link: "tcp://127.0.0.1:1".into() };
/// let messages = vec![wire::Message::Heartbeat, wire::Message::Pull(4)];
/// let (frames, dropped) = wire::encode_batch(&sender, 3, messages);
/// assert_eq!((frames.len(), dropped), (1, 0));
/// ```
pub fn encode_batch(
    sender: &Sender,
    revision: u64,
    messages: Vec<Message>,
) -> (Vec<Vec<u8>>, usize) {
    let mut frame = Frame { sender: sender.clone(), revision, messages };
    if let Ok(bytes) = encode(&frame) {
        return (vec![bytes], 0);
    }
    if frame.messages.len() < 2 {
        return (Vec::new(), frame.messages.len());
    }
    let rest = frame.messages.split_off(frame.messages.len() / 2);
    let (mut frames, dropped) = encode_batch(sender, revision, frame.messages);
    let (more, more_dropped) = encode_batch(sender, revision, rest);
    frames.extend(more);
    (frames, dropped + more_dropped)
}

/// Decodes a frame, or says why the bytes are none.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > FRAME_LIMIT {
        return Err(Error::Size { size: bytes.len() });
    }
    let (version, rest) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::Version { version: *version });
    }
    let (frame, rest) = postcard::take_from_bytes(rest)?;
    if !rest.is_empty() {
        return Err(Error::Trailing { count: rest.len() });
    }
    Ok(frame)
}
