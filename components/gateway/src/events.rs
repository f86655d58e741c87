//! Splits an event stream into complete events and holds back those whose ids are not confirmed.

use balance::Numbering;
use bytes::{Bytes, BytesMut};

use crate::Error;
use crate::sequence::{Sequence, Verdict};

/// Length of the longest event delimiter less one, in bytes: how much of a
/// delimiter the previous chunks can contain.
const DELIMITER_OVERLAP: usize = 3;

/// Joins chunks of an event stream and returns complete events whose ids are confirmed. Each
/// byte is scanned once, regardless of the chunk boundaries.
///
/// ```
/// use balance::Numbering;
/// use gateway::events::Splitter;
/// use gateway::sequence::Sequence;
/// let mut events = Splitter::new(Sequence::new(None, Numbering::Step(1), true));
/// events.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(&events.take().unwrap()[..], b"id: 1\ndata: a\n\n");
/// assert!(!events.is_whole());
/// ```
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    /// End of the last complete event in the buffer, as a byte offset.
    complete: usize,
    /// End of the last event that was judged; those before it are held back.
    judged: usize,
    sequence: Sequence,
}

impl Splitter {
    /// Creates a splitter for a stream with these ids.
    pub fn new(sequence: Sequence) -> Splitter {
        Splitter { buffer: BytesMut::new(), complete: 0, judged: 0, sequence }
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

    /// Removes and returns the complete events that may be passed on as one buffer, which may
    /// be empty. Events before a faulty one are returned; the next call returns the error.
    ///
    /// # Errors
    ///
    /// Those of [`Sequence::follow`] and [`Sequence::follow_unnumbered`], and
    /// [`Error::OutOfOrder`] if an event has several ids.
    pub fn take(&mut self) -> Result<Bytes, Error> {
        let (mut released, mut is_holding) = (0, self.judged > 0);
        while self.judged < self.complete {
            let events = &self.buffer[self.judged..self.complete];
            let size = match skip_empty_lines(events, 0) {
                0 => first_event_end(events).unwrap_or(events.len()),
                empty => empty,
            };
            let event = &events[..size];
            match judge(&mut self.sequence, event) {
                Ok(Verdict::Release) => is_holding = false,
                Ok(Verdict::Hold) => {
                    released = self.judged;
                    is_holding = true;
                }
                Ok(Verdict::Follow) => {}
                Err(error) if released == 0 => return Err(error),
                Err(_) => break,
            }
            self.judged += size;
            if !is_holding {
                released = self.judged;
            }
        }
        Ok(self.release(released))
    }

    /// Returns the complete events that are held back, because the stream has ended.
    ///
    /// # Errors
    ///
    /// Those of [`Sequence::finish`].
    pub fn finish(&mut self) -> Result<Bytes, Error> {
        self.sequence.finish()?;
        Ok(self.release(self.complete))
    }

    fn release(&mut self, end: usize) -> Bytes {
        self.complete -= end;
        self.judged = self.judged.saturating_sub(end);
        self.buffer.split_to(end).freeze()
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Number of buffered bytes of complete events.
    pub fn complete_len(&self) -> usize {
        self.complete
    }

    /// Number of buffered bytes of an event that isn't complete.
    pub fn incomplete_len(&self) -> usize {
        self.buffer.len() - self.complete
    }

    /// Whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether there is no incomplete event.
    pub fn is_whole(&self) -> bool {
        self.incomplete_len() == 0
    }

    /// The ids of the stream.
    pub fn sequence(&self) -> &Sequence {
        &self.sequence
    }

    /// What the stream has shown of its pool's numbering since the last call.
    pub fn take_learned(&mut self) -> Option<Numbering> {
        self.sequence.take_learned()
    }

    /// Discards events that are incomplete or held back, which another server will send from
    /// their start.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.complete = 0;
        self.judged = 0;
        self.sequence.restart();
    }
}

fn judge(sequence: &mut Sequence, event: &[u8]) -> Result<Verdict, Error> {
    match id_of(event)? {
        Some(id) => sequence.follow(id),
        None if is_comment(event) => Ok(Verdict::Follow),
        None => sequence.follow_unnumbered(),
    }
}

/// Whether an event has only comments, such as those that keep a connection alive, or is empty.
fn is_comment(event: &[u8]) -> bool {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.filter(|line| !line.is_empty()).all(|line| line.starts_with(b":"))
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
/// [`Error::OutOfOrder`] if there are several: a delimiter between two events was lost.
fn id_of(event: &[u8]) -> Result<Option<u64>, Error> {
    let mut ids = event.split(|byte| *byte == b'\n').filter_map(event_id);
    let Some(id) = ids.next() else { return Ok(None) };
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
