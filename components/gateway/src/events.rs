//! Splits an event stream into complete events and checks their order.

use bytes::{Bytes, BytesMut};

use crate::Error;

/// Length of the longest event delimiter less one, in bytes: how much of a
/// delimiter the previous chunks can contain.
const DELIMITER_OVERLAP: usize = 3;

/// Joins chunks of an event stream and returns complete events. Each byte is
/// scanned once, regardless of the chunk boundaries.
///
/// ```
/// let mut events = gateway::events::Splitter::new(0);
/// events.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(&events.take().unwrap()[..], b"id: 1\ndata: a\n\n");
/// assert!(!events.is_empty());
/// ```
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    /// End of the last complete event in the buffer, as a byte offset.
    complete: usize,
    last_id: u64,
}

impl Splitter {
    /// Creates a splitter for a stream whose caller has the events up to `last_id`.
    pub fn new(last_id: u64) -> Splitter {
        Splitter { buffer: BytesMut::new(), complete: 0, last_id }
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        let start = self.buffer.len().saturating_sub(DELIMITER_OVERLAP).max(self.complete);
        self.buffer.extend_from_slice(chunk);
        if let Some(end) = last_event_end(&self.buffer[start..]) {
            self.complete = start + end;
        }
        // Extra empty lines between two events belong to neither of them.
        while let Some(length) = empty_line_length(&self.buffer[self.complete..]) {
            self.complete += length;
        }
    }

    /// Removes and returns all complete events as one buffer, which may be empty.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfOrder`] if an event's id is not higher than the previous one.
    pub fn take(&mut self) -> Result<Bytes, Error> {
        let events = self.buffer.split_to(std::mem::take(&mut self.complete)).freeze();
        for id in events.split(|byte| *byte == b'\n').filter_map(event_id) {
            if id <= self.last_id {
                return Err(Error::OutOfOrder { previous: self.last_id, found: id });
            }
            self.last_id = id;
        }
        Ok(events)
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer is empty, with no incomplete event in it.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Id of the last event that was returned.
    pub fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Discards an incomplete event, which another server will send from its start.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.complete = 0;
    }
}

/// Length of the empty line at the start of the buffer, if any.
fn empty_line_length(buffer: &[u8]) -> Option<usize> {
    ["\n", "\r\n"].into_iter().find(|line| buffer.starts_with(line.as_bytes())).map(str::len)
}

/// End of the last complete event, including the empty line that delimits it.
fn last_event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).rposition(|window| window == b"\n\n").map(|index| index + 2);
    let crlf = buffer.windows(4).rposition(|window| window == b"\r\n\r\n").map(|index| index + 4);
    lf.max(crlf)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
