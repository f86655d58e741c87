//! HTTP client that calls the system and inspects its responses.

use std::time::Duration;

use awc::http::StatusCode;
use serde_json::{Value, json};

use crate::cluster::KEY;

/// Longest wait for a response; the timeouts of the routes are shorter.
const LIMIT: Duration = Duration::from_secs(110);

/// A response as the caller received it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The `Retry-After` header.
    pub retry_after: Option<String>,
    /// The `Content-Type` header.
    pub content_type: Option<String>,
    /// The request id, with which the entry explains the request.
    pub request_id: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing. The client treats a closed
    /// connection as the end of a chunked body.
    pub complete: bool,
}

impl Reply {
    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The execution state that a problem reports.
    pub fn execution(&self) -> Option<String> {
        self.json()["ran"].as_str().map(str::to_owned)
    }

    /// The code of a problem, or the refusal reason inside the code.
    pub fn reason(&self) -> Option<String> {
        let code = &self.json()["code"];
        code.as_str().or(code["refused"].as_str()).map(str::to_owned)
    }

    /// The text of a streamed chat completion, and whether it ended with `[DONE]`.
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
    chat_messages(url, &json!([{"role": "user", "content": prompt}]), tokens).await
}

/// Requests a streamed chat completion of several messages.
pub async fn chat_messages(url: &str, messages: &Value, tokens: u32) -> Option<Reply> {
    let body = json!({
        "model": "fitter", "stream": true, "max_tokens": tokens, "messages": messages,
    });
    let request = client().post(format!("{url}/v1/chat/completions"));
    read(request.insert_header(("content-type", "application/json")), body.to_string()).await
}

/// Sends a lookup, which is idempotent.
pub async fn lookup(url: &str, body: &str) -> Option<Reply> {
    read(client().post(format!("{url}/free")), body.to_owned()).await
}

/// Sends a booking with an idempotency key.
pub async fn book(url: &str, key: &str, body: &str) -> Option<Reply> {
    let request = client().post(format!("{url}/book")).insert_header(("idempotency-key", key));
    read(request, body.to_owned()).await
}

/// A client with a timeout longer than those of the routes.
pub fn client() -> awc::Client {
    awc::Client::builder().timeout(LIMIT).disable_redirects().finish()
}

/// Sends a request and reads the response; `None` if there is none.
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
    let mut complete = true;
    while let Some(chunk) = futures_util::StreamExt::next(&mut response).await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    complete &= length.is_none_or(|length| length == body.len());
    Some(Reply { status: response.status(), retry_after, content_type, request_id, body, complete })
}
