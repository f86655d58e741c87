//! Schedules listings and watches for one kind of object.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Position;

use crate::Error;

/// Initial bound of the backoff, doubled with each failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Maximum bound of the backoff: a fraction of the two seconds within which a
/// new configuration must take effect.
const BACKOFF_MAX: Duration = Duration::from_millis(600);

/// Number of consecutive failures after which the store counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// List all objects.
    List,
    /// Wait for changes after a position.
    Watch(Position),
}

/// Change of the store's state after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// No change.
    None,
    /// The store stopped replying.
    Lost,
    /// The store replies again.
    Recovered,
    /// The store was restored since the last listing: the reply to the watch is
    /// discarded and the next call lists all objects.
    Restored,
}

/// Chooses the calls for one kind; at most one is in flight at a time.
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
    /// Position up to which changes were received; `None` if a listing is due.
    current: Option<Position>,
    failures: u32,
}

impl Poller {
    /// Creates a poller whose first call is a listing.
    pub fn new(seed: u64) -> Poller {
        Poller { rng: ChaCha8Rng::seed_from_u64(seed), current: None, failures: 0 }
    }

    /// Returns the next call.
    pub fn call(&self) -> Call {
        self.current.map_or(Call::List, Call::Watch)
    }

    /// Records that the store is in `era`. If the last listing is of an earlier
    /// era, the next call lists all objects again.
    pub fn observe_era(&mut self, era: u64) {
        self.current = self.current.filter(|current| current.era >= era);
    }

    /// Records a successful call whose reply is complete up to `position`.
    pub fn succeed(&mut self, call: Call, position: Position) -> Transition {
        let lost = self.failures >= FAILURES_UNTIL_LOST;
        self.failures = 0;
        if let Call::Watch(since) = call
            && since.era != position.era
        {
            self.current = None;
            return Transition::Restored;
        }
        self.current = Some(position.max(self.current.unwrap_or_default()));
        if lost { Transition::Recovered } else { Transition::None }
    }

    /// Records a failed call. Returns the wait before the next one.
    pub fn fail(&mut self, error: &Error) -> (Transition, Duration) {
        if *error == Error::Gone {
            self.current = None;
            return (Transition::None, Duration::ZERO);
        }
        self.failures += 1;
        // A store may answer listings and no watches, and the answer to the same watch only
        // grows. The copy is already as old as the watch: it is listed at once.
        if *error == Error::Unknown && self.current.take().is_some() {
            return (self.transition(), Duration::ZERO);
        }
        if error.is_lasting() {
            self.current = None;
        }
        let bound = (BACKOFF_MIN * (1 << self.failures.min(8))).min(BACKOFF_MAX);
        let mut wait = bound.mul_f64(self.rng.random_range(0.5..1.0));
        if let Error::Busy { retry_after } = error {
            wait = wait.max((*retry_after).min(BACKOFF_MAX));
        }
        (self.transition(), wait)
    }

    /// The change of the store's state after the latest failure.
    fn transition(&self) -> Transition {
        if self.failures == FAILURES_UNTIL_LOST { Transition::Lost } else { Transition::None }
    }
}
