//! Settings of the stand-in service.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};
use settings::{Check, Fault, Reason};

/// Longest delay, in milliseconds.
const DELAY_LIMIT_MS: f64 = 86_400_000.0;

/// How the service behaves. Times are in milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address to serve; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Time that each request takes.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// A request whose body contains this runs and then drops all connections.
    pub crash_marker: Option<ArcStr>,
    /// A request whose body contains this runs and is never answered.
    pub hang_marker: Option<ArcStr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            delay: Duration::from_millis(5),
            crash_marker: None,
            hang_marker: None,
        }
    }
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let markers = [("/crash_marker", &self.crash_marker), ("/hang_marker", &self.hang_marker)];
        let empty = markers
            .into_iter()
            .filter(|(_, marker)| marker.as_ref().is_some_and(|marker| marker.is_empty()));
        let empty = empty.map(|(pointer, _)| Fault::new(pointer, Reason::Empty));
        let delay = self.delay.as_secs_f64() * 1e3;
        empty.chain(Fault::out_of_range("/delay_ms", delay, 0.0..=DELAY_LIMIT_MS)).collect()
    }
}
