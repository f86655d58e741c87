//! Which policies an experiment compares, and under what.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use admission::experiment::{Control, Discipline};
use group::experiment::Policy as Placing;
use routing::experiment::Policy as Choosing;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};
use settings::{Check, Fault, Reason};
use tables::Name;

/// Policies that place experts.
pub(super) const PLACINGS: [(&str, Placing); 4] = [
    ("planner", Placing::Planner),
    ("never", Placing::Never),
    ("full", Placing::Full),
    ("longest_first", Placing::LongestFirst),
];
/// Policies that choose a backend server.
pub(super) const CHOOSINGS: [(&str, Choosing); 6] = [
    ("scored", Choosing::Scored),
    ("uncached", Choosing::Uncached),
    ("random", Choosing::Random),
    ("round_robin", Choosing::RoundRobin),
    ("least_in_flight", Choosing::LeastInFlight),
    ("two_choices", Choosing::TwoChoices),
];
/// Policies that set an engine's limit.
pub(super) const CONTROLS: [(&str, Control); 5] = [
    ("adaptive", Control::Adaptive),
    ("adaptive_unbounded", Control::AdaptiveUnbounded),
    ("adaptive_late", Control::AdaptiveLate),
    ("fixed", Control::Fixed),
    ("unlimited", Control::Unlimited),
];
/// Policies that order waiting requests.
pub(super) const DISCIPLINES: [(&str, Discipline); 3] =
    [("fair", Discipline::Fair), ("plain", Discipline::Plain), ("fifo", Discipline::Fifo)];

/// Longest lag of reports, in milliseconds.
const LAG_LIMIT_MS: f64 = 10_000.0;
/// Least and greatest load, as a share of the places.
const LOAD: RangeInclusive<f64> = 0.01..=1.5;
/// Least and greatest rate, in requests a second.
const RATE: RangeInclusive<f64> = 0.1..=99.0;
/// Longest pause, in seconds.
const PAUSE_LIMIT: f64 = 150.0;
/// Least and greatest factor of a flood.
const FACTOR: RangeInclusive<f64> = 0.1..=100.0;
/// Most seeds.
const SEED_COUNT_LIMIT: f64 = 1000.0;
/// Greatest seed.
const SEED_LIMIT: f64 = 1e15;

/// A policy's name that no study knows.
#[derive(Debug, thiserror::Error)]
#[error("unknown policy `{policy}`, there are: {}", known.join(", "))]
pub struct UnknownPolicy {
    /// The name found.
    pub policy: Name,
    /// The names that the study knows.
    pub known: Vec<&'static str>,
}

/// An experiment: studies that are there are run with each seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seeds of the runs; the same for each policy.
    pub seeds: Vec<u64>,
    /// Placement of experts whose popularity drifts.
    #[serde(default)]
    pub placement: Option<Placement>,
    /// Choice of backend servers, some of which are cold.
    #[serde(default)]
    pub choice: Option<Choice>,
    /// An engine's limit while it is cold, warms up and turns cold again.
    #[serde(default)]
    pub limit: Option<Limit>,
    /// Client accounts of which the largest floods an engine.
    #[serde(default)]
    pub flood: Option<Flood>,
}

/// Placement of experts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Names of the policies.
    pub policies: Vec<Name>,
}

/// Choice of backend servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choice {
    /// Names of the policies.
    pub policies: Vec<Name>,
    /// Age of a report when it arrives.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
    /// Share of cache events that are lost.
    pub gaps: f64,
    /// Arrivals as a share of what the warm places can carry.
    pub load: f64,
}

/// An engine's limit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Names of the policies.
    pub policies: Vec<Name>,
    /// Requests a second.
    pub rate: f64,
    /// Time without arrivals before the engine turns cold again, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "pause_s")]
    pub pause: Duration,
}

/// Accounts of which the largest floods an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Names of the policies.
    pub policies: Vec<Name>,
    /// Multiples of the largest account's usual load.
    pub factors: Vec<f64>,
}

impl Settings {
    /// All studies with all policies, as the bench runs them.
    ///
    /// ```
    /// use settings::Check;
    /// assert!(lab::experiment::Settings::full(&[1]).faults().is_empty());
    /// ```
    pub fn full(seeds: &[u64]) -> Settings {
        Settings {
            seeds: seeds.to_vec(),
            placement: Some(Placement { policies: names(&PLACINGS) }),
            choice: Some(Choice {
                policies: names(&CHOOSINGS),
                lag: Duration::from_millis(100),
                gaps: 0.3,
                load: 0.8,
            }),
            limit: Some(Limit {
                policies: names(&CONTROLS),
                rate: 40.0,
                pause: Duration::from_secs(30),
            }),
            flood: Some(Flood {
                policies: names(&DISCIPLINES),
                factors: vec![1.0, 1.5, 5.0, 20.0],
            }),
        }
    }
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.seeds.is_empty() {
            faults.push(Fault::new("/seeds", Reason::Empty));
        }
        faults.extend(Fault::out_of_range(
            "/seeds",
            self.seeds.len() as f64,
            0.0..=SEED_COUNT_LIMIT,
        ));
        for (number, seed) in self.seeds.iter().enumerate() {
            faults.extend(Fault::out_of_range(
                format!("/seeds/{number}"),
                *seed as f64,
                0.0..=SEED_LIMIT,
            ));
        }
        if let Some(placement) = &self.placement {
            check("/placement", &placement.policies, &PLACINGS, &mut faults);
        }
        if let Some(choice) = &self.choice {
            check("/choice", &choice.policies, &CHOOSINGS, &mut faults);
            let lag = choice.lag.as_millis() as f64;
            faults.extend(Fault::out_of_range("/choice/lag_ms", lag, 0.0..=LAG_LIMIT_MS));
            faults.extend(Fault::out_of_range("/choice/gaps", choice.gaps, 0.0..=1.0));
            faults.extend(Fault::out_of_range("/choice/load", choice.load, LOAD));
        }
        if let Some(limit) = &self.limit {
            check("/limit", &limit.policies, &CONTROLS, &mut faults);
            let pause = limit.pause.as_secs_f64();
            faults.extend(Fault::out_of_range("/limit/rate", limit.rate, RATE));
            faults.extend(Fault::out_of_range("/limit/pause_s", pause, 0.0..=PAUSE_LIMIT));
        }
        if let Some(flood) = &self.flood {
            check("/flood", &flood.policies, &DISCIPLINES, &mut faults);
            if flood.factors.is_empty() {
                faults.push(Fault::new("/flood/factors", Reason::Empty));
            }
            for (number, factor) in flood.factors.iter().enumerate() {
                let pointer = format!("/flood/factors/{number}");
                faults.extend(Fault::out_of_range(pointer, *factor, FACTOR));
            }
        }
        faults
    }
}

/// The policy of a name.
pub(super) fn find<T: Copy>(table: &[(&'static str, T)], name: &str) -> Option<T> {
    table.iter().find(|(known, _)| *known == name).map(|(_, policy)| *policy)
}

fn names<T>(table: &[(&'static str, T)]) -> Vec<Name> {
    table.iter().map(|(name, _)| Name::from(*name)).collect()
}

fn check<T: Copy>(
    pointer: &str,
    policies: &[Name],
    table: &[(&'static str, T)],
    faults: &mut Vec<Fault>,
) {
    if policies.is_empty() {
        faults.push(Fault::new(format!("{pointer}/policies"), Reason::Empty));
    }
    for (number, policy) in policies.iter().enumerate() {
        if find(table, policy).is_some() {
            continue;
        }
        let known = table.iter().map(|(name, _)| *name).collect();
        let unknown = UnknownPolicy { policy: policy.clone(), known };
        let pointer = format!("{pointer}/policies/{number}");
        faults.push(Fault::new(pointer, Reason::Other(Arc::new(unknown))));
    }
}
