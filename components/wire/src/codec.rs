//! Encoding of frames: a version byte followed by the frame in postcard format.

use crate::{Frame, Message, Sender};

/// Version of the frame format; the first byte of each encoded frame.
pub const VERSION: u8 = 5;
/// Maximum size of an encoded frame, in bytes.
pub const FRAME_LIMIT: usize = 32 << 20;

/// Error in encoding or decoding a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There are no bytes.
    #[error("empty frame")]
    Empty,
    /// The frame is larger than [`FRAME_LIMIT`].
    #[error("frame of {size} bytes exceeds the limit of {FRAME_LIMIT} bytes")]
    Size {
        /// Size in bytes.
        size: usize,
    },
    /// The version of the frame format is not supported.
    #[error("unsupported frame version {version}, expected {VERSION}")]
    Version {
        /// The version in the frame.
        version: u8,
    },
    /// The bytes after the version can't be decoded.
    #[error("malformed frame")]
    Malformed(#[from] postcard::Error),
    /// There are bytes after the end of the frame.
    #[error("{count} trailing bytes after the end of the frame")]
    Trailing {
        /// Number of bytes.
        count: usize,
    },
}

/// Encodes a frame. Fails with [`Error::Size`] above [`FRAME_LIMIT`].
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

/// Encodes messages into one frame, or several if one would exceed [`FRAME_LIMIT`].
/// Returns the encoded frames in order and the number of dropped messages, each
/// of them too large for a frame of its own.
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

/// Decodes a frame.
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
