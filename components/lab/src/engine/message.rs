//! What callers and agents exchange with the engine, as JSON.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of `POST /v1/chat/completions`; further fields are ignored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chat {
    /// The model asked for.
    #[serde(default)]
    pub model: Option<ArcStr>,
    /// The conversation.
    pub messages: Vec<Turn>,
    /// Tokens of the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One turn of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Turn {
    /// Who speaks.
    pub role: ArcStr,
    /// What is said.
    pub content: String,
}

impl Chat {
    /// The prompt: the contents of all turns, a line each.
    ///
    /// ```
    /// use lab::engine::{Chat, Turn};
    /// let turn = Turn { role: "user".into(), content: "Which liner?".into() };
    /// let chat = Chat { model: None, messages: vec![turn], max_tokens: None, stream: false };
    /// assert_eq!(chat.to_prompt(), "Which liner?");
    /// ```
    pub fn to_prompt(&self) -> String {
        let contents: Vec<&str> = self.messages.iter().map(|turn| turn.content.as_str()).collect();
        contents.join("\n")
    }
}

/// The load report, answer of `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Rises with each start of the engine.
    pub incarnation: u64,
    /// Requests that generate tokens.
    pub running: usize,
    /// Requests that wait for a place or for their prompt to be computed.
    pub queued: usize,
    /// Uncached prompt tokens of those.
    pub queued_prefill: u64,
    /// Tokens in the KV cache, of running requests and of kept prefixes.
    pub kv_used: u64,
    /// Tokens that the KV cache keeps for prefixes at most.
    pub kv_limit: u64,
}

/// Answer of `GET /v1/cache?since=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The incarnation that the events belong to.
    pub incarnation: u64,
    /// Events above `since`; numbers that are absent were lost.
    pub events: Vec<CacheEvent>,
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Numbers events of an incarnation from 1.
    pub number: u64,
    /// Hash of the prefix up to the end of the block.
    pub block: u64,
    /// Whether the block came or went.
    pub change: CacheChange,
}

/// What happened to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It came.
    Stored,
    /// It went.
    Evicted,
}

/// Body of `POST /v1/group/prepare`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prepare {
    /// The fencing number.
    pub fence: u64,
    /// The version of the expert map.
    pub map: u64,
    /// The expert map.
    #[serde(default)]
    pub content: Value,
}

/// Body of `POST /v1/group/steps`: run steps `from..to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steps {
    /// The fencing number.
    pub fence: u64,
    /// The first step.
    pub from: u64,
    /// The step after the last one.
    pub to: u64,
    /// The version of the expert map.
    pub map: u64,
}

/// A step that was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The step.
    pub step: u64,
    /// The version of the expert map that it ran under.
    pub map: u64,
    /// The fencing number of its order.
    pub fence: u64,
}

/// Answer of `GET /v1/group/steps?since=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Rises with each start of the engine.
    pub incarnation: u64,
    /// The step that runs next.
    pub next: u64,
    /// The highest fencing number seen.
    pub fence: u64,
    /// Steps run, in the order in which they ran.
    pub steps: Vec<Step>,
}
