//! Event streams: whole events in order.

use bytes::{Bytes, BytesMut};

use crate::Error;

/// Bytes of the longest mark that ends an event, less one: a mark may begin so
/// far back in what came before.
const MARK_OVERLAP: usize = 3;

/// Joins chunks of an event stream and gives out whole events. Each byte is
/// looked at once, however the stream is cut.
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
    /// Where the last whole event in the buffer ends.
    whole: usize,
    last: u64,
}

impl Splitter {
    /// A splitter for a stream whose caller has events up to number `last`.
    pub fn new(last: u64) -> Splitter {
        Splitter { buffer: BytesMut::new(), whole: 0, last }
    }

    /// Takes in a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        let from = self.buffer.len().saturating_sub(MARK_OVERLAP).max(self.whole);
        self.buffer.extend_from_slice(chunk);
        if let Some(end) = last_end(&self.buffer[from..]) {
            self.whole = from + end;
        }
        // More empty lines between two events belong to neither.
        while let Some(length) = empty_line(&self.buffer[self.whole..]) {
            self.whole += length;
        }
    }

    /// All whole events that have come, in one piece; empty if there are none.
    ///
    /// # Errors
    ///
    /// If the number of an event is not higher than that of the one before.
    pub fn take(&mut self) -> Result<Bytes, Error> {
        let whole = self.buffer.split_to(std::mem::take(&mut self.whole)).freeze();
        for number in whole.split(|byte| *byte == b'\n').filter_map(number) {
            if number <= self.last {
                return Err(Error::Disordered { last: self.last, found: number });
            }
            self.last = number;
        }
        Ok(whole)
    }

    /// Bytes that are held.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether nothing of an unfinished event is held.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Number of the last event that was given out.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Drops an unfinished event, since another server starts it anew.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.whole = 0;
    }
}

/// Length of an empty line at the beginning, if there is one.
fn empty_line(buffer: &[u8]) -> Option<usize> {
    ["\n", "\r\n"].into_iter().find(|line| buffer.starts_with(line.as_bytes())).map(str::len)
}

/// Where the last whole event ends: after its empty line.
fn last_end(buffer: &[u8]) -> Option<usize> {
    let unix = buffer.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = buffer.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn number(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
