//! Settings of the rank group that an agent's engine belongs to.

use std::time::Duration;

use ::settings::{Fault, Reason};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

const RANKS_MIN: usize = 2;
const RANKS_MAX: usize = 1024;
/// Maximum number of steps in a block.
const BLOCK_MAX: f64 = 65_536.0;
/// Allowed range of the group's times, in milliseconds.
const TIME_MS: std::ops::RangeInclusive<f64> = 1.0..=3_600_000.0;
/// Allowed range of the map interval, in milliseconds.
const MAP_INTERVAL_MS: std::ops::RangeInclusive<f64> = 1_000.0..=3_600_000.0;

/// The rank group of the backend server. All its agents have the same values
/// except for `rank` and `fenced`. Times are in milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Name of the group.
    pub name: Name,
    /// Number of this rank, from 0.
    pub rank: group::Rank,
    /// Link addresses of the agents of all ranks, rank 0 first.
    pub members: Vec<Name>,
    /// Steps in a block.
    #[serde(default = "default_block")]
    pub block: u64,
    /// The interval of heartbeats and repeated messages.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms", default = "default_heartbeat")]
    pub heartbeat: Duration,
    /// Time without a message from the leader after which another rank takes over.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms", default = "default_timeout")]
    pub timeout: Duration,
    /// Additional delay for each rank between the old leader and its successor.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stagger_ms", default = "default_stagger")]
    pub stagger: Duration,
    /// Whether the engine refuses orders with outdated fencing numbers.
    #[serde(default)]
    pub fenced: bool,
    /// The expert map to use while the platform has no object `map/NAME`.
    #[serde(default)]
    pub map: Option<Value>,
    /// Interval at which the leader reads the map from the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "map_interval_ms", default = "default_map_interval")]
    pub map_interval: Duration,
}

fn default_block() -> u64 {
    32
}

fn default_heartbeat() -> Duration {
    Duration::from_millis(500)
}

fn default_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_stagger() -> Duration {
    Duration::from_millis(500)
}

fn default_map_interval() -> Duration {
    Duration::from_secs(5)
}

impl Membership {
    /// The settings of the group's state machine.
    pub fn to_group_settings(&self) -> group::Settings {
        group::Settings {
            ranks: self.members.len().try_into().unwrap_or(group::Rank::MAX),
            block: self.block,
            heartbeat: self.heartbeat,
            timeout: self.timeout,
            stagger: self.stagger,
        }
    }

    /// The rank whose agent listens on `link`.
    pub fn rank_of(&self, link: &str) -> Option<group::Rank> {
        let position = self.members.iter().position(|member| member == link)?;
        position.try_into().ok()
    }

    /// Returns all faults of the values. `link` is the agent's own link address.
    pub fn faults(&self, link: &Name) -> Vec<Fault> {
        let ranks = self.members.len();
        let range = RANKS_MIN as f64..=RANKS_MAX as f64;
        let last = ranks.saturating_sub(1) as f64;
        let checks = [
            self.name.is_empty().then(|| Fault::new("/name", Reason::Empty)),
            Fault::out_of_range("/members", ranks as f64, range),
            Fault::out_of_range("/rank", f64::from(self.rank), 0.0..=last),
            Fault::out_of_range("/block", self.block as f64, 1.0..=BLOCK_MAX),
            Fault::out_of_range("/heartbeat_ms", ms(self.heartbeat), TIME_MS),
            // One lost heartbeat must not cause a failover.
            Fault::out_of_range(
                "/timeout_ms",
                ms(self.timeout),
                ms(self.heartbeat) * 2.0..=*TIME_MS.end(),
            ),
            Fault::out_of_range("/stagger_ms", ms(self.stagger), TIME_MS),
            Fault::out_of_range("/map_interval_ms", ms(self.map_interval), MAP_INTERVAL_MS),
        ];
        let mut faults: Vec<Fault> = checks.into_iter().flatten().collect();
        for (index, member) in self.members.iter().enumerate() {
            if let Some(first) = self.members[..index].iter().position(|other| other == member) {
                let other = format!("/members/{first}");
                faults.push(Fault::new(format!("/members/{index}"), Reason::Conflict { other }));
            }
        }
        if self.members.get(usize::from(self.rank)).is_some_and(|own| own != link) {
            let other = "the agent's own /link".to_owned();
            faults.push(Fault::new(format!("/members/{}", self.rank), Reason::Conflict { other }));
        }
        faults
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
