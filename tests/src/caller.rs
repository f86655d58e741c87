//! A caller of the system, who checks what it gets.

use std::time::Duration;

use awc::http::StatusCode;
use serde_json::{Value, json};

use crate::cluster::KEY;

/// Longest wait for an answer; the routes' own limits are shorter.
const LIMIT: Duration = Duration::from_secs(110);

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The value of `Retry-After`.
    pub retry_after: Option<String>,
    /// The value of `Content-Type`.
    pub content_type: Option<String>,
    /// The request's id, by which the entry explains it.
    pub request_id: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body came to its proper end, as far as its framing tells:
    /// the client takes a closed connection for the end of a chunked body.
    pub whole: bool,
}

impl Reply {
    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// What a problem says of whether the request ran.
    pub fn ran(&self) -> Option<String> {
        self.json()["ran"].as_str().map(str::to_owned)
    }

    /// Why a problem says that there is no answer: its code, or the reason
    /// within.
    pub fn reason(&self) -> Option<String> {
        let code = &self.json()["code"];
        code.as_str().or(code["refused"].as_str()).map(str::to_owned)
    }

    /// The text of a streamed chat completion and whether it ended with `[DONE]`.
    pub fn chat(&self) -> (String, bool) {
        let body = String::from_utf8_lossy(&self.body);
        let mut text = String::new();
        let mut done = false;
        for event in body.split("\n\n") {
            let Some(data) = event.strip_prefix("data: ") else { continue };
            done |= data == "[DONE]";
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        (text, done)
    }
}

/// Sends a streamed chat completion.
pub async fn chat(url: &str, prompt: &str, tokens: u32) -> Option<Reply> {
    let body = json!({
        "model": "fitter", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = client().post(format!("{url}/v1/chat/completions"));
    read(request.insert_header(("content-type", "application/json")), body.to_string()).await
}

/// Sends a lookup, which may be repeated.
pub async fn lookup(url: &str, body: &str) -> Option<Reply> {
    read(client().post(format!("{url}/free")), body.to_owned()).await
}

/// Sends a booking under an idempotency key.
pub async fn book(url: &str, key: &str, body: &str) -> Option<Reply> {
    let request = client().post(format!("{url}/book")).insert_header(("idempotency-key", key));
    read(request, body.to_owned()).await
}

/// A client that waits long enough.
pub fn client() -> awc::Client {
    awc::Client::builder().timeout(LIMIT).disable_redirects().finish()
}

/// Sends a request and reads the whole answer; nothing if there is none.
pub async fn read(request: awc::ClientRequest, body: String) -> Option<Reply> {
    let request = request.insert_header_if_none(("authorization", format!("Bearer {KEY}")));
    let mut response = request.send_body(body).await.ok()?;
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (retry_after, content_type) = (header("retry-after"), header("content-type"));
    let request_id = header("x-request-id");
    let length = header("content-length").and_then(|value| value.parse::<usize>().ok());
    let mut body = Vec::new();
    let mut whole = true;
    while let Some(chunk) = futures_util::StreamExt::next(&mut response).await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    whole &= length.is_none_or(|length| length == body.len());
    Some(Reply { status: response.status(), retry_after, content_type, request_id, body, whole })
}
