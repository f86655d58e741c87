//! How long and how often the bench measures.

use std::time::Duration;

use crate::experiment::{Flood, Settings};
use crate::outage::Times;

/// Seeds of the bench.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// The size of each part.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// The experiments.
    pub policies: Settings,
    /// An availability zone leaves and returns.
    pub zone: Zone,
    /// What an entry adds to a call.
    pub overhead: Overhead,
}

/// Size of the runs in which an availability zone leaves and returns.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Seeds of the loads.
    pub seeds: Vec<u64>,
    /// Model engines in each of three zones.
    pub engines: usize,
    /// Offered chat as a share of what all engines carry when warm.
    pub load: f64,
    /// Load before the first measured run, in which limits grow.
    pub warm_up: Duration,
    /// Length of a run.
    pub length: Duration,
    /// When the zone leaves and returns.
    pub times: Times,
}

/// Size of the runs that compare calls with and without an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Overhead {
    /// Seeds of the loads.
    pub seeds: Vec<u64>,
    /// Requests a second.
    pub rate: f64,
    /// Length of a run.
    pub length: Duration,
}

impl Size {
    /// The size that `make bench` uses.
    ///
    /// ```
    /// assert_eq!(lab::bench::Size::full().zone.seeds.len(), 5);
    /// ```
    pub fn full() -> Size {
        Size {
            policies: Settings::full(&SEEDS),
            zone: Zone {
                seeds: SEEDS.to_vec(),
                engines: 4,
                load: 0.5,
                warm_up: Duration::from_secs(20),
                length: Duration::from_secs(8),
                times: Times {
                    out_at: Duration::from_secs(1),
                    settle: Duration::from_secs(3),
                    back_at: Duration::from_secs(6),
                },
            },
            overhead: Overhead {
                seeds: SEEDS.to_vec(),
                rate: 200.0,
                length: Duration::from_millis(1500),
            },
        }
    }

    /// One seed and short runs, only to see that the bench works.
    ///
    /// ```
    /// assert_eq!(lab::bench::Size::quick().zone.seeds, [1]);
    /// ```
    pub fn quick() -> Size {
        let seeds = vec![1];
        let flood = Flood { policies: vec!["fair".into()], factors: vec![1.0, 5.0] };
        Size {
            policies: Settings {
                choice: None,
                limit: None,
                flood: Some(flood),
                ..Settings::full(&seeds)
            },
            zone: Zone {
                seeds: seeds.clone(),
                engines: 1,
                load: 0.2,
                warm_up: Duration::from_millis(500),
                length: Duration::from_millis(1500),
                times: Times {
                    out_at: Duration::from_millis(200),
                    settle: Duration::from_millis(500),
                    back_at: Duration::from_secs(1),
                },
            },
            overhead: Overhead { seeds, rate: 40.0, length: Duration::from_millis(300) },
        }
    }
}
