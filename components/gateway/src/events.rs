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
    /// Whether the next event continues the stream of another server.
    is_resumed: bool,
}

impl Splitter {
    /// Creates a splitter for a stream whose caller has the events up to `last_id`.
    pub fn new(last_id: u64) -> Splitter {
        Splitter { buffer: BytesMut::new(), complete: 0, last_id, is_resumed: false }
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        let start = self.buffer.len().saturating_sub(DELIMITER_OVERLAP).max(self.complete);
        self.buffer.extend_from_slice(chunk);
        if let Some(end) = last_event_end(&self.buffer[start..]) {
            self.complete = start + end;
        }
        // Extra empty lines between two events don't begin the next one.
        self.complete = skip_empty_lines(&self.buffer, self.complete);
    }

    /// Removes and returns all complete events as one buffer, which may be empty. Events
    /// before a faulty one are returned; the next call returns the error.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfOrder`] if an event's id is not higher than the previous one,
    /// [`Error::NotResumed`] if the first event from another server has none.
    pub fn take(&mut self) -> Result<Bytes, Error> {
        let mut taken = skip_empty_lines(&self.buffer[..self.complete], 0);
        while taken < self.complete {
            let events = &self.buffer[taken..self.complete];
            let end = first_event_end(events).map(|end| skip_empty_lines(events, end));
            let event = &events[..end.unwrap_or(events.len())];
            match last_id_of(event, self.last_id) {
                Ok(id) if self.is_resumed && id == self.last_id => return Err(Error::NotResumed),
                Ok(id) => self.last_id = id,
                Err(error) if taken == 0 => return Err(error),
                Err(_) => break,
            }
            self.is_resumed = false;
            taken += event.len();
        }
        self.complete -= taken;
        Ok(self.buffer.split_to(taken).freeze())
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

    /// Whether the stream goes on at another server that has sent no event yet.
    pub fn is_resumed(&self) -> bool {
        self.is_resumed
    }

    /// Discards an incomplete event, which another server will send from its start.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.complete = 0;
        self.is_resumed = true;
    }
}

/// Index after the empty lines at `start`, if any.
fn skip_empty_lines(buffer: &[u8], start: usize) -> usize {
    let mut end = start;
    while let Some(line) =
        ["\n", "\r\n"].into_iter().find(|line| buffer[end..].starts_with(line.as_bytes()))
    {
        end += line.len();
    }
    end
}

/// End of the first complete event, including the empty line that delimits it.
fn first_event_end(buffer: &[u8]) -> Option<usize> {
    let delimiter_at = |start: usize| {
        ["\n\n", "\r\n\r\n"]
            .into_iter()
            .find(|delimiter| buffer[start..].starts_with(delimiter.as_bytes()))
            .map(|delimiter| start + delimiter.len())
    };
    (0..buffer.len()).find_map(delimiter_at)
}

/// The last id in an event, or `previous` if it has none.
///
/// # Errors
///
/// [`Error::OutOfOrder`] if an id is not higher than the one before it.
fn last_id_of(event: &[u8], previous: u64) -> Result<u64, Error> {
    let mut ids = event.split(|byte| *byte == b'\n').filter_map(event_id);
    ids.try_fold(previous, |previous, found| {
        if found > previous { Ok(found) } else { Err(Error::OutOfOrder { previous, found }) }
    })
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
