//! Follows the requests in the bytes of a connection.
//!
//! hyper takes the chunks of a request that also states a length, and drops the length.
//! Whether a request was ambiguous is only known from the bytes of its head.

use std::collections::VecDeque;

use httparse::{EMPTY_HEADER, Error, Header, Status};

/// Header fields that a head is parsed with at first.
const FIELDS_MIN: usize = 64;

/// Empty lines accepted before a request. Callers send one at most, after the body of the
/// request before.
const EMPTY_LINES_MAX: usize = 64;

/// Largest chunk-size line or trailer that is followed, in bytes.
const LINE_MAX: usize = 64 << 10;

/// Whether the length of a request body is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// A single length, chunks, or no body.
    Certain,
    /// Both a length and chunks, several lengths, or a coding besides chunks.
    Ambiguous,
}

/// What the next bytes are.
#[derive(Debug)]
enum Part {
    Head,
    /// A body of a stated length, or the data of a chunk with its delimiter.
    Data {
        remaining: u64,
        is_chunk: bool,
    },
    ChunkSize,
    Trailer,
    /// Unknown, after something that hyper rejects as well. Requests that it still takes
    /// have no known length.
    Lost,
}

/// The position of a connection in its requests.
///
/// ```
/// use listener::framing::{Framing, Length};
/// let mut framing = Framing::new(100);
/// framing.receive(b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nokPOST / HT");
/// framing.receive(b"TP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n");
/// assert_eq!(framing.take(), Some(Length::Certain));
/// assert_eq!(framing.take(), Some(Length::Ambiguous));
/// assert_eq!(framing.take(), None);
/// ```
#[derive(Debug)]
pub struct Framing {
    part: Part,
    /// Bytes of an incomplete head, chunk size or trailer.
    buffer: Vec<u8>,
    fields_max: usize,
    /// Empty lines since the last request.
    empty_lines: usize,
    /// Complete heads that were not taken yet.
    heads: VecDeque<Length>,
}

impl Framing {
    /// The framing of a new connection whose requests have at most `fields_max` header
    /// fields.
    pub fn new(fields_max: usize) -> Framing {
        Framing {
            part: Part::Head,
            buffer: Vec::new(),
            fields_max,
            empty_lines: 0,
            heads: VecDeque::new(),
        }
    }

    /// Size of the incomplete request head, in bytes, without empty lines before it.
    ///
    /// ```
    /// let mut framing = listener::framing::Framing::new(100);
    /// framing.receive(b"\r\nGET / HTTP/1.1\r\nhost: a");
    /// assert_eq!(framing.head_size(), 23);
    /// framing.receive(b"\r\n\r\n");
    /// assert_eq!(framing.head_size(), 0);
    /// ```
    pub fn head_size(&self) -> usize {
        if matches!(self.part, Part::Head) { self.buffer.len() } else { 0 }
    }

    /// Whether a body has begun and is incomplete.
    pub(crate) fn is_within_body(&self) -> bool {
        matches!(self.part, Part::Data { .. } | Part::ChunkSize | Part::Trailer)
    }

    /// Whether more empty lines than allowed came before a request.
    ///
    /// ```
    /// let mut framing = listener::framing::Framing::new(100);
    /// framing.receive(b"\r\n\r\n");
    /// assert!(!framing.has_excess_lines());
    /// framing.receive(&b"\r\n".repeat(100));
    /// assert!(framing.has_excess_lines());
    /// ```
    pub fn has_excess_lines(&self) -> bool {
        self.empty_lines > EMPTY_LINES_MAX
    }

    /// Takes the oldest head that is complete. `None` if there is none, or if the
    /// connection could not be followed to it.
    pub fn take(&mut self) -> Option<Length> {
        self.heads.pop_front()
    }

    /// Follows the next bytes of the connection. Each byte is copied once at most, however
    /// many requests and chunks arrive together.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Head | Part::ChunkSize | Part::Trailer => self.receive_line(bytes),
                Part::Data { remaining, is_chunk } => self.receive_data(bytes, remaining, is_chunk),
                Part::Lost => return,
            };
        }
    }

    /// Takes the bytes up to the end of a line. Returns the others.
    fn receive_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        let (line, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
        if matches!(self.part, Part::Head) && is_empty_line(&self.buffer, line) {
            self.buffer.clear();
            self.empty_lines = self.empty_lines.saturating_add(1);
            return rest;
        }
        self.buffer.extend_from_slice(line);
        let next = match self.part {
            _ if end.is_none() => Status::Partial,
            Part::Head => self.parse_head(),
            Part::ChunkSize => parse_chunk_size(&self.buffer),
            _ => parse_trailer(&self.buffer),
        };
        match next {
            Status::Complete(part) => {
                self.part = part;
                self.buffer.clear();
            }
            Status::Partial if self.buffer.len() > self.size_max() => {
                self.part = Part::Lost;
                self.buffer = Vec::new();
            }
            Status::Partial => {}
        }
        rest
    }

    /// Largest size of an incomplete part, in bytes. hyper bounds heads.
    fn size_max(&self) -> usize {
        if matches!(self.part, Part::Head) { usize::MAX } else { LINE_MAX }
    }

    /// Parses the head in the buffer. Returns what follows it.
    fn parse_head(&mut self) -> Status<Part> {
        if !self.buffer.ends_with(b"\n\n") && !self.buffer.ends_with(b"\n\r\n") {
            return Status::Partial;
        }
        match parse_head(&self.buffer, self.fields_max) {
            Ok(Status::Complete((length, next))) => {
                self.heads.push_back(length);
                self.empty_lines = 0;
                Status::Complete(next)
            }
            // Empty lines before a head.
            Ok(Status::Partial) => Status::Complete(Part::Head),
            Err(_) => Status::Complete(Part::Lost),
        }
    }

    fn receive_data<'a>(&mut self, bytes: &'a [u8], remaining: u64, is_chunk: bool) -> &'a [u8] {
        let size = remaining.min(bytes.len() as u64);
        self.part = match (remaining - size, is_chunk) {
            (0, true) => Part::ChunkSize,
            (0, false) => Part::Head,
            (remaining, is_chunk) => Part::Data { remaining, is_chunk },
        };
        &bytes[size as usize..]
    }
}

/// Whether a line is empty that begins with `start` and ends with `end`.
fn is_empty_line(start: &[u8], end: &[u8]) -> bool {
    matches!((start, end), (b"", b"\n" | b"\r\n") | (b"\r", b"\n"))
}

/// Parses the line with the size of a chunk. Returns what follows it.
fn parse_chunk_size(line: &[u8]) -> Status<Part> {
    match httparse::parse_chunk_size(line) {
        Ok(Status::Complete((_, 0))) => Status::Complete(Part::Trailer),
        Ok(Status::Complete((_, data))) => {
            let remaining = data.saturating_add("\r\n".len() as u64);
            Status::Complete(Part::Data { remaining, is_chunk: true })
        }
        Ok(Status::Partial) => Status::Partial,
        Err(_) => Status::Complete(Part::Lost),
    }
}

/// Parses the fields after the last chunk. Returns what follows them.
fn parse_trailer(lines: &[u8]) -> Status<Part> {
    let mut fields = [EMPTY_HEADER; FIELDS_MIN];
    match httparse::parse_headers(lines, &mut fields) {
        Ok(Status::Complete(_)) => Status::Complete(Part::Head),
        Ok(Status::Partial) => Status::Partial,
        Err(_) => Status::Complete(Part::Lost),
    }
}

/// Parses a request head. Returns whether the length of the body is certain, and what
/// follows the head.
fn parse_head(buffer: &[u8], fields_max: usize) -> Result<Status<(Length, Part)>, Error> {
    let mut count = FIELDS_MIN;
    loop {
        let mut fields = vec![EMPTY_HEADER; count];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(buffer) {
            Err(Error::TooManyHeaders) if count < fields_max => {
                count = count.saturating_mul(8).min(fields_max);
            }
            Ok(Status::Complete(_)) => return Ok(Status::Complete(frame(request.headers))),
            Ok(Status::Partial) => return Ok(Status::Partial),
            Err(error) => return Err(error),
        }
    }
}

/// The framing of a body as its head states it.
fn frame(fields: &[Header<'_>]) -> (Length, Part) {
    let values = |name: &'static str| {
        let named = fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        named.map(|field| field.value.trim_ascii())
    };
    let mut codings = values("transfer-encoding");
    let mut lengths = values("content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => (Length::Certain, Part::Head),
        (Some(coding), None)
            if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() =>
        {
            (Length::Certain, Part::ChunkSize)
        }
        (None, Some(length)) if lengths.next().is_none() => match parse_length(length) {
            Some(0) => (Length::Certain, Part::Head),
            Some(remaining) => (Length::Certain, Part::Data { remaining, is_chunk: false }),
            None => (Length::Ambiguous, Part::Lost),
        },
        _ => (Length::Ambiguous, Part::Lost),
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}
