//! When to list and when to watch one kind of object.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Position;

use crate::Error;

/// Bound of the wait after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Largest bound of the wait after failures: a fraction of the two seconds in
/// which a configuration has to be in force.
const BACKOFF_MAX: Duration = Duration::from_millis(600);

/// Failures in a row from which on the store counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// List all objects.
    List,
    /// Wait for changes after a position.
    Watch(Position),
}

/// What a result means for the store's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// As before.
    None,
    /// The store does not answer any more.
    Lost,
    /// The store answers again.
    Recovered,
    /// The store was restored since the last listing: the answer to a watch
    /// says nothing, and all is listed anew.
    Restored,
}

/// The calls for one kind; one is under way at a time.
///
/// ```
/// use platform::poller::{Call, Poller, Transition};
/// use tables::Position;
/// let mut poller = Poller::new(1);
/// assert_eq!(poller.call(), Call::List);
/// let listed = Position { era: 1, revision: 7 };
/// poller.succeed(Call::List, listed);
/// assert_eq!(poller.call(), Call::Watch(listed));
/// let restored = Position { era: 2, revision: 5 };
/// assert_eq!(poller.succeed(poller.call(), restored), Transition::Restored);
/// assert_eq!(poller.call(), Call::List);
/// ```
#[derive(Debug)]
pub struct Poller {
    rng: ChaCha8Rng,
    listed: Option<Position>,
    failures: u32,
}

impl Poller {
    /// A poller that has listed nothing yet.
    pub fn new(seed: u64) -> Poller {
        Poller { rng: ChaCha8Rng::seed_from_u64(seed), listed: None, failures: 0 }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.listed.map_or(Call::List, Call::Watch)
    }

    /// The store was restored and is in `era` now: what was listed in an
    /// earlier one is listed anew.
    pub fn observe_era(&mut self, era: u64) {
        self.listed = self.listed.filter(|listed| listed.era >= era);
    }

    /// A call brought what there is up to a position.
    pub fn succeed(&mut self, call: Call, position: Position) -> Transition {
        let lost = self.failures >= FAILURES_UNTIL_LOST;
        self.failures = 0;
        if let Call::Watch(since) = call
            && since.era != position.era
        {
            self.listed = None;
            return Transition::Restored;
        }
        self.listed = Some(position.max(self.listed.unwrap_or_default()));
        if lost { Transition::Recovered } else { Transition::None }
    }

    /// A call failed: how long to wait before the next one.
    pub fn fail(&mut self, error: &Error) -> (Transition, Duration) {
        if *error == Error::Gone {
            self.listed = None;
            return (Transition::None, Duration::ZERO);
        }
        self.failures += 1;
        let bound = (BACKOFF_MIN * (1 << self.failures.min(8))).min(BACKOFF_MAX);
        let mut wait = bound.mul_f64(self.rng.random_range(0.5..1.0));
        if let Error::Busy { retry_after } = error {
            wait = wait.max((*retry_after).min(BACKOFF_MAX));
        }
        let transition =
            if self.failures == FAILURES_UNTIL_LOST { Transition::Lost } else { Transition::None };
        (transition, wait)
    }
}
