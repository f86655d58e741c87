//! Settings of the stand-in engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};
use settings::{Check, Fault, Reason};

/// Most requests that the capacities may allow at once.
const CAPACITY_LIMIT: f64 = 100_000.0;
/// Longest lag or restart, in milliseconds.
const TIME_LIMIT_MS: f64 = 86_400_000.0;
/// Shortest and longest interval of a token or step, in milliseconds.
const INTERVAL_MS: RangeInclusive<f64> = 0.001..=60_000.0;
/// Most prompt tokens a second.
const PREFILL_LIMIT: f64 = 1e9;

/// How the engine behaves. Times are in milliseconds of real time, fractions
/// included, so that tests can run it fast.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address to serve; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Seed of what happens at random.
    pub seed: u64,
    /// Model name in answers.
    pub model: ArcStr,
    /// Time of a token for one running request.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "token_interval_ms")]
    pub token_interval: Duration,
    /// Growth of the token interval with each further running request, as a
    /// share of the interval of one.
    pub batch_cost: f64,
    /// Prompt tokens computed in a second, one request after the other.
    pub prefill_rate: f64,
    /// Requests that run at once when warm; further ones wait.
    pub capacity_warm: usize,
    /// Requests, running and waiting, that it holds when cold; one more and it
    /// falls over.
    pub capacity_cold: usize,
    /// Tokens, computed or generated, after which a cold engine is warm.
    pub warm_up_tokens: u64,
    /// Slowness of a cold engine: factor on all its times.
    pub cold_factor: f64,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Lag of cache events.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "cache_event_lag_ms")]
    pub cache_event_lag: Duration,
    /// Share of cache events that are lost.
    pub cache_event_loss: f64,
    /// Lag of the load report.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "report_lag_ms")]
    pub report_lag: Duration,
    /// Time from a crash until it serves again.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "restart_ms")]
    pub restart: Duration,
    /// A request whose prompt contains this crashes the engine.
    pub crash_marker: Option<ArcStr>,
    /// Tokens of an answer when the request doesn't say.
    pub default_tokens: u32,
    /// Time of a lock-step.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "step_interval_ms")]
    pub step_interval: Duration,
    /// Whether orders under an old fencing number are refused.
    pub fencing: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            seed: 1,
            model: "stand-in".into(),
            token_interval: Duration::from_millis(10),
            batch_cost: 0.02,
            prefill_rate: 20_000.0,
            capacity_warm: 64,
            capacity_cold: 8,
            warm_up_tokens: 2_000,
            cold_factor: 2.0,
            cache_tokens: 65_536,
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss: 0.05,
            report_lag: Duration::from_millis(200),
            restart: Duration::from_millis(500),
            crash_marker: None,
            default_tokens: 32,
            step_interval: Duration::from_millis(10),
            fencing: true,
        }
    }
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let empty = |pointer: &str, found: bool| found.then(|| Fault::new(pointer, Reason::Empty));
        let marker = self.crash_marker.as_ref().is_some_and(|marker| marker.is_empty());
        let warm = self.capacity_warm as f64;
        let faults = [
            empty("/model", self.model.is_empty()),
            empty("/crash_marker", marker),
            Fault::out_of_range("/batch_cost", self.batch_cost, 0.0..=100.0),
            Fault::out_of_range("/prefill_rate", self.prefill_rate, 1.0..=PREFILL_LIMIT),
            Fault::out_of_range("/capacity_warm", warm, 1.0..=CAPACITY_LIMIT),
            Fault::out_of_range("/capacity_cold", self.capacity_cold as f64, 1.0..=warm.max(1.0)),
            Fault::out_of_range("/cold_factor", self.cold_factor, 1.0..=1000.0),
            Fault::out_of_range("/cache_event_loss", self.cache_event_loss, 0.0..=1.0),
            Fault::out_of_range("/token_interval_ms", ms(self.token_interval), INTERVAL_MS),
            Fault::out_of_range("/step_interval_ms", ms(self.step_interval), INTERVAL_MS),
            Fault::out_of_range("/restart_ms", ms(self.restart), 0.0..=TIME_LIMIT_MS),
            Fault::out_of_range("/report_lag_ms", ms(self.report_lag), 0.0..=TIME_LIMIT_MS),
            Fault::out_of_range(
                "/cache_event_lag_ms",
                ms(self.cache_event_lag),
                0.0..=TIME_LIMIT_MS,
            ),
        ];
        faults.into_iter().flatten().collect()
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
