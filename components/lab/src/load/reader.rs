//! Reads a streamed answer: server-sent events of chat completion chunks.

use serde::Deserialize;

use super::outcome::Refused;

/// The data that ends an answer.
const DONE: &str = "[DONE]";

/// A stream that isn't one of chat completion chunks.
#[derive(Debug, thiserror::Error)]
pub enum ReaderError {
    /// An event isn't text.
    #[error("an event is not UTF-8")]
    Text(#[from] std::str::Utf8Error),
    /// An event's data isn't a chunk.
    #[error("an event is not a chunk")]
    Chunk(#[from] serde_json::Error),
}

/// An answer as far as it was read.
#[derive(Debug, Default)]
pub struct Reader {
    rest: Vec<u8>,
    /// The text so far.
    pub text: String,
    /// Whether the end came.
    pub done: bool,
    /// The problem that ended the stream, if one did.
    pub refused: Option<Refused>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

impl Reader {
    /// Takes bytes as they came; returns how many chunks with text they ended.
    ///
    /// ```
    /// use lab::load::Reader;
    /// let mut reader = Reader::default();
    /// reader.push(b"data: {\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}\n").unwrap();
    /// assert_eq!(reader.push(b"\ndata: [DONE]\n\n").unwrap(), 1);
    /// assert!(reader.done);
    /// assert_eq!(reader.text, "ab");
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<usize, ReaderError> {
        self.rest.extend_from_slice(bytes);
        let mut chunks = 0;
        let mut start = 0;
        while let Some(length) = find_end(&self.rest[start..]) {
            let event = std::str::from_utf8(&self.rest[start..start + length])?.to_owned();
            chunks += self.take(&event)?;
            start += length + 2;
        }
        self.rest.drain(..start);
        Ok(chunks)
    }

    fn take(&mut self, event: &str) -> Result<usize, ReaderError> {
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return Ok(0);
        };
        if event.lines().any(|line| line == "event: error") {
            self.refused = Some(serde_json::from_str(data)?);
            return Ok(0);
        }
        if data == DONE {
            self.done = true;
            return Ok(0);
        }
        let chunk: Chunk = serde_json::from_str(data)?;
        let before = self.text.len();
        for choice in chunk.choices {
            self.text.push_str(&choice.delta.content);
        }
        Ok(usize::from(self.text.len() > before))
    }
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}
