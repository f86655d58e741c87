//! The stand-in for a model engine.
//!
//! [`Model`] is the state machine; [`serve`] puts it behind HTTP:
//! `POST /v1/chat/completions` (JSON, or server-sent events with `"stream":
//! true`; the header `x-resume-tokens: N` leaves out the first N tokens),
//! `GET /v1/load`, `GET /v1/cache?since=N`, `POST /v1/group/prepare`,
//! `POST` and `GET /v1/group/steps`, and for tests `POST /control/crash` and
//! `POST /control/cold`.

mod cache;
mod handler;
mod message;
mod model;
mod rank;
mod settings;
mod shared;
mod text;

pub use cache::{BLOCK, blocks};
pub(crate) use handler::cut;
pub use handler::{INCARNATION_HEADER, PRIORITY_HEADER, RESUME_HEADER, serve};
pub use message::{
    CacheChange, CacheEvent, CacheEvents, Chat, Load, Prepare, Step, StepRecord, Steps, Turn,
};
pub use model::{Id, Input, Model, Output, Request};
pub use rank::{Rank, Refusal};
pub use settings::Settings;
pub use text::{count, expected, token};
