//! Arrivals, drawn from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use settings::{Check, Fault, Reason};

/// Words of a prompt that no other request shares.
const OWN_WORDS: u32 = 8;
/// Most requests a second.
const RATE_LIMIT: f64 = 1e6;
/// Benches or rooms that bookings are for.
const PLACES: u32 = 40;

/// What kind of work a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A streamed answer of a model.
    Chat,
    /// Non-idempotent work of a plain service.
    Booking,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Ask a model.
    Chat {
        /// The prompt.
        prompt: String,
        /// Tokens of the answer.
        tokens: u32,
    },
    /// Book something.
    Booking {
        /// The idempotency key: a UUIDv7 of the intended start.
        key: String,
        /// The body.
        body: String,
    },
}

/// A request and when it starts, since the start of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Numbers arrivals from 0.
    pub number: u64,
    /// The intended start.
    pub at: Duration,
    /// The request.
    pub work: Work,
}

/// A load: a Poisson process at a fixed rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of everything drawn.
    pub seed: u64,
    /// Unix time of the start, for idempotency keys. A load that is sent again
    /// under another start books anew.
    pub epoch: Duration,
    /// Requests a second.
    pub rate: f64,
    /// Time from the first to the last arrival, at most.
    pub length: Duration,
    /// Share of bookings; the rest is chat.
    pub booking_share: f64,
    /// Tokens of an answer: the least and the most.
    pub tokens: (u32, u32),
    /// Number of prompt beginnings that requests share.
    pub prefixes: u32,
    /// Words of a shared beginning.
    pub prefix_words: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            epoch: Duration::ZERO,
            rate: 50.0,
            length: Duration::from_secs(5),
            booking_share: 0.2,
            tokens: (8, 64),
            prefixes: 20,
            prefix_words: 64,
        }
    }
}

impl Check for Plan {
    fn faults(&self) -> Vec<Fault> {
        let (least, most) = self.tokens;
        let conflict = Reason::Conflict { other: "/tokens/1".to_owned() };
        let faults = [
            Fault::out_of_range("/rate", self.rate, 0.0..=RATE_LIMIT),
            Fault::out_of_range("/booking_share", self.booking_share, 0.0..=1.0),
            (least > most).then(|| Fault::new("/tokens/0", conflict)),
        ];
        faults.into_iter().flatten().collect()
    }
}

impl Work {
    /// The kind of the request.
    ///
    /// ```
    /// use lab::load::{Kind, Work};
    /// let work = Work::Chat { prompt: "Which liner?".into(), tokens: 3 };
    /// assert_eq!(work.kind(), Kind::Chat);
    /// ```
    pub fn kind(&self) -> Kind {
        match self {
            Self::Chat { .. } => Kind::Chat,
            Self::Booking { .. } => Kind::Booking,
        }
    }
}

impl Plan {
    /// All arrivals in their order; the same for the same plan. The plan must
    /// be free of faults (see [`Check`]).
    ///
    /// ```
    /// use lab::load::Plan;
    /// let plan = Plan::default();
    /// assert!(plan.arrivals().eq(plan.arrivals()));
    /// ```
    pub fn arrivals(&self) -> impl Iterator<Item = Arrival> + use<> {
        let plan = self.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut at = Duration::ZERO;
        let mut number = 0;
        std::iter::from_fn(move || {
            at += plan.gap(&mut rng);
            if at > plan.length {
                return None;
            }
            let arrival = Arrival { number, at, work: plan.work(number, at, &mut rng) };
            number += 1;
            Some(arrival)
        })
    }

    fn gap(&self, rng: &mut ChaCha8Rng) -> Duration {
        let uniform: f64 = rng.random();
        let seconds = -(1.0 - uniform).ln() / self.rate;
        // A rate near zero means that nothing arrives.
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 4)
    }

    fn work(&self, number: u64, at: Duration, rng: &mut ChaCha8Rng) -> Work {
        if rng.random_bool(self.booking_share) {
            let place = rng.random_range(0..PLACES);
            let key = self.key(at, rng);
            let body = format!(r#"{{"place":{place},"booking":{number}}}"#);
            return Work::Booking { key, body };
        }
        let tokens = rng.random_range(self.tokens.0..=self.tokens.1);
        Work::Chat { prompt: self.prompt(number, rng), tokens }
    }

    fn key(&self, at: Duration, rng: &mut ChaCha8Rng) -> String {
        let millis = (self.epoch + at).as_millis().try_into().unwrap_or(u64::MAX);
        uuid::Builder::from_unix_timestamp_millis(millis, &rng.random()).into_uuid().to_string()
    }

    /// A shared beginning, the low ones more often, and some words of its own.
    fn prompt(&self, number: u64, rng: &mut ChaCha8Rng) -> String {
        let skew: f64 = rng.random::<f64>() * rng.random::<f64>();
        let prefix = (skew * f64::from(self.prefixes)) as u32;
        let shared = (0..self.prefix_words).map(|word| format!("p{prefix}w{word}"));
        let own = (0..OWN_WORDS).map(|word| format!("q{number}w{word}"));
        shared.chain(own).collect::<Vec<_>>().join(" ")
    }
}
