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
/// use gateway::events::{Numbering, Splitter};
/// let mut events = Splitter::new(0, Numbering::Consecutive);
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
    /// Events without an id since the last one that had one.
    unnumbered: u64,
    numbering: Numbering,
    /// Id of the event that was held back because ids were missing before it.
    skipped_to: Option<u64>,
    /// Whether the next event continues the stream of another server.
    is_resumed: bool,
}

/// How the ids of a stream follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Numbering {
    /// Each id is one above the previous one. An event that skips ids is believed only
    /// if another server sends it as well: a single wrong digit would make the
    /// caller miss the events in between.
    Consecutive,
    /// Ids increase.
    Increasing,
}

impl Splitter {
    /// Creates a splitter for a stream whose caller has the events up to `last_id`.
    pub fn new(last_id: u64, numbering: Numbering) -> Splitter {
        Splitter {
            buffer: BytesMut::new(),
            complete: 0,
            last_id,
            unnumbered: 0,
            numbering,
            skipped_to: None,
            is_resumed: false,
        }
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
    /// [`Error::OutOfOrder`] if an event's id is not higher than the previous one or the
    /// event has several, [`Error::Skipped`] if ids are missing before it,
    /// [`Error::NotResumed`] if the first event from another server has none.
    pub fn take(&mut self) -> Result<Bytes, Error> {
        let mut taken = skip_empty_lines(&self.buffer[..self.complete], 0);
        while taken < self.complete {
            let events = &self.buffer[taken..self.complete];
            let end = first_event_end(events).map(|end| skip_empty_lines(events, end));
            let size = end.unwrap_or(events.len());
            let id = id_of(&events[..size], self.last_id);
            match id.and_then(|id| self.follow(id)) {
                Ok(()) => taken += size,
                Err(error) if taken == 0 => return Err(error),
                Err(_) => break,
            }
        }
        self.complete -= taken;
        Ok(self.buffer.split_to(taken).freeze())
    }

    /// Goes on to the event with this id.
    fn follow(&mut self, id: Option<u64>) -> Result<(), Error> {
        match id {
            None if self.is_resumed => return Err(Error::NotResumed),
            None => self.unnumbered += 1,
            Some(found) => {
                let next = self.last_id.saturating_add(self.unnumbered).saturating_add(1);
                if self.numbering == Numbering::Consecutive && found > next {
                    let is_confirmed = self.is_resumed && self.skipped_to == Some(found);
                    if !is_confirmed {
                        self.skipped_to = Some(found);
                        return Err(Error::Skipped { previous: self.last_id, found });
                    }
                    self.numbering = Numbering::Increasing;
                }
                self.last_id = found;
                self.unnumbered = 0;
            }
        }
        self.is_resumed = false;
        Ok(())
    }

    /// Whether two servers have skipped the same ids.
    pub fn skips_ids(&self) -> bool {
        self.skipped_to.is_some() && self.numbering == Numbering::Increasing
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
        self.unnumbered = 0;
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

/// The id of an event, if it has one.
///
/// # Errors
///
/// [`Error::OutOfOrder`] if the id is not higher than `previous`, or if there are
/// several: a delimiter between two events was lost.
fn id_of(event: &[u8], previous: u64) -> Result<Option<u64>, Error> {
    let mut ids = event.split(|byte| *byte == b'\n').filter_map(event_id);
    let Some(id) = ids.next() else { return Ok(None) };
    if id <= previous {
        return Err(Error::OutOfOrder { previous, found: id });
    }
    match ids.next() {
        Some(found) => Err(Error::OutOfOrder { previous: id, found }),
        None => Ok(Some(id)),
    }
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
