//! Follows the requests in the bytes of a connection.
//!
//! hyper takes the chunks of a request that also states a length, and drops the length.
//! Whether a request was ambiguous is only known from the bytes of its head.

use std::collections::VecDeque;

use httparse::{EMPTY_HEADER, Error, Header, Status};

/// Header fields that a head is parsed with at first.
const FIELDS_MIN: usize = 64;

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
    /// Unknown, after something that hyper rejects as well.
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
    /// Complete heads that were not taken yet.
    heads: VecDeque<Length>,
}

impl Framing {
    /// The framing of a new connection whose requests have at most `fields_max` header
    /// fields.
    pub fn new(fields_max: usize) -> Framing {
        Framing { part: Part::Head, buffer: Vec::new(), fields_max, heads: VecDeque::new() }
    }

    /// Takes the oldest head that is complete. `None` if there is none, or if the
    /// connection could not be followed to it.
    pub fn take(&mut self) -> Option<Length> {
        self.heads.pop_front()
    }

    /// Follows the next bytes of the connection.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Head => self.receive_head(bytes),
                Part::Data { remaining, is_chunk } => self.receive_data(bytes, remaining, is_chunk),
                Part::ChunkSize => self.receive_chunk_size(bytes),
                Part::Trailer => self.receive_trailer(bytes),
                Part::Lost => return,
            };
        }
    }

    fn receive_head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let known = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        if !has_empty_line(&self.buffer, known) {
            return &[];
        }
        match parse_head(&self.buffer, self.fields_max) {
            Ok(Status::Complete((size, length, next))) => {
                self.heads.push_back(length);
                self.go_on(next, known, size, bytes)
            }
            // The empty lines stand before the request line.
            Ok(Status::Partial) => &[],
            Err(_) => self.lose(),
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

    fn receive_chunk_size<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let known = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        match httparse::parse_chunk_size(&self.buffer) {
            Ok(Status::Complete((size, 0))) => self.go_on(Part::Trailer, known, size, bytes),
            Ok(Status::Complete((size, data))) => {
                let remaining = data.saturating_add("\r\n".len() as u64);
                self.go_on(Part::Data { remaining, is_chunk: true }, known, size, bytes)
            }
            Ok(Status::Partial) if self.buffer.len() < LINE_MAX => &[],
            Ok(Status::Partial) | Err(_) => self.lose(),
        }
    }

    fn receive_trailer<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let known = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut fields = [EMPTY_HEADER; FIELDS_MIN];
        match httparse::parse_headers(&self.buffer, &mut fields) {
            Ok(Status::Complete((size, _))) => self.go_on(Part::Head, known, size, bytes),
            Ok(Status::Partial) if self.buffer.len() < LINE_MAX => &[],
            Ok(Status::Partial) | Err(_) => self.lose(),
        }
    }

    /// Goes on with the part after the first `size` bytes of the buffer, of which `known`
    /// came before `bytes`. Returns the rest of `bytes`.
    fn go_on<'a>(&mut self, next: Part, known: usize, size: usize, bytes: &'a [u8]) -> &'a [u8] {
        self.part = next;
        self.buffer.clear();
        &bytes[size.saturating_sub(known)..]
    }

    /// Gives up on the connection. Requests that hyper still takes have no known length.
    fn lose(&mut self) -> &'static [u8] {
        self.part = Part::Lost;
        self.buffer = Vec::new();
        &[]
    }
}

/// Whether there is an empty line whose end is after the first `known` bytes.
fn has_empty_line(buffer: &[u8], known: usize) -> bool {
    let start = known.saturating_sub("\n\r".len());
    let recent = &buffer[start..];
    recent.windows(2).any(|bytes| bytes == b"\n\n")
        || recent.windows(3).any(|bytes| bytes == b"\n\r\n")
}

/// Parses a request head. Returns its size, whether the length of the body is certain,
/// and what follows the head.
fn parse_head(buffer: &[u8], fields_max: usize) -> Result<Status<(usize, Length, Part)>, Error> {
    let mut count = FIELDS_MIN;
    loop {
        let mut fields = vec![EMPTY_HEADER; count];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(buffer) {
            Err(Error::TooManyHeaders) if count < fields_max => {
                count = count.saturating_mul(8).min(fields_max);
            }
            Ok(Status::Complete(size)) => {
                let (length, next) = frame(request.headers);
                return Ok(Status::Complete((size, length, next)));
            }
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
