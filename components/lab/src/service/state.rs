//! What the service has run, and what a request does to it.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::settings::Settings;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is answered after the delay.
    Answer,
    /// It is never answered.
    Hang,
    /// The process dies: all connections drop and a new life begins.
    Crash,
}

/// Counts of runs, kept across crashes as the service's own store would.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<ArcStr, u64>,
    /// Runs by `x-run-id`.
    pub by_run_id: BTreeMap<ArcStr, u64>,
    /// Rises with each crash.
    pub incarnation: u64,
}

impl State {
    /// Runs a request.
    ///
    /// ```
    /// use lab::service::{Effect, Settings, State};
    /// let mut state = State::default();
    /// let effect = state.run(&Settings::default(), Some("k".into()), None, b"book");
    /// assert_eq!(effect, Effect::Answer);
    /// assert_eq!(state.by_key["k"], 1);
    /// ```
    pub fn run(
        &mut self,
        settings: &Settings,
        key: Option<ArcStr>,
        run_id: Option<ArcStr>,
        body: &[u8],
    ) -> Effect {
        if let Some(key) = key {
            *self.by_key.entry(key).or_default() += 1;
        }
        if let Some(run_id) = run_id {
            *self.by_run_id.entry(run_id).or_default() += 1;
        }
        if has(body, settings.crash_marker.as_ref()) {
            self.incarnation += 1;
            return Effect::Crash;
        }
        if has(body, settings.hang_marker.as_ref()) { Effect::Hang } else { Effect::Answer }
    }
}

/// The answer to `body` on `path` (without the query), as JSON text.
///
/// ```
/// use lab::service::expected;
/// assert_eq!(expected("/bookings", b"bench 3"), expected("/bookings", b"bench 3"));
/// assert_ne!(expected("/bookings", b"bench 3"), expected("/bookings", b"bench 4"));
/// ```
pub fn expected(path: &str, body: &[u8]) -> String {
    let seed = xxh3_64_with_seed(path.as_bytes(), 0);
    let digest = format!("{:016x}", xxh3_64_with_seed(body, seed));
    json!({ "path": path, "bytes": body.len(), "digest": digest }).to_string()
}

fn has(body: &[u8], marker: Option<&ArcStr>) -> bool {
    marker.is_some_and(|marker| body.windows(marker.len()).any(|part| part == marker.as_bytes()))
}
