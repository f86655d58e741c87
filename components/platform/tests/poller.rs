//! Listings and watches across restores of the store.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use platform::poller::{Call, Transition};
use platform::{Error, Poller};
use rstest::rstest;
use tables::Position;

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn listed_poller(era: u64, revision: u64) -> Poller {
    let mut poller = Poller::new(1);
    poller.succeed(Call::List, position(era, revision));
    poller
}

#[test]
fn succeed_watch_in_later_era_lists_again() {
    let mut poller = listed_poller(1, 90);
    assert_eq!(poller.succeed(poller.call(), position(2, 95)), Transition::Restored);
    assert_eq!(poller.call(), Call::List);
    poller.succeed(Call::List, position(2, 40));
    assert_eq!(poller.call(), Call::Watch(position(2, 40)));
}

#[test]
fn observe_era_lists_again_once() {
    let mut poller = listed_poller(1, 90);
    poller.observe_era(2);
    assert_eq!(poller.call(), Call::List);
    poller.succeed(Call::List, position(2, 40));
    poller.observe_era(2);
    assert_eq!(poller.call(), Call::Watch(position(2, 40)));
}

#[test]
fn succeed_keeps_highest_revision_of_era() {
    let mut poller = listed_poller(1, 90);
    poller.succeed(poller.call(), position(1, 80));
    assert_eq!(poller.call(), Call::Watch(position(1, 90)));
}

/// A watch whose answer can't be used would get the same answer again.
#[rstest]
#[case::oversized(Error::Oversized { limit: 8 << 20 })]
#[case::malformed(Error::Malformed { status: 200 })]
#[case::gone(Error::Gone)]
fn fail_lists_again(#[case] error: Error) {
    let mut poller = listed_poller(1, 90);
    poller.fail(&error);
    assert_eq!(poller.call(), Call::List);
}

/// A store that answers listings and no watches. A second watch would take the time within
/// which a change must be in force.
#[test]
fn fail_unanswered_lists_at_once() {
    let mut poller = listed_poller(1, 90);
    assert_eq!(poller.fail(&Error::Unknown), (Transition::None, Duration::ZERO));
    assert_eq!(poller.call(), Call::List);
    // Unanswered listings back off.
    for _ in 0..4 {
        let (_, wait) = poller.fail(&Error::Unknown);
        assert!(wait >= Duration::from_millis(100), "{wait:?}");
        assert_eq!(poller.call(), Call::List);
    }
}

#[test]
fn fail_unreachable_keeps_watching() {
    let mut poller = listed_poller(1, 90);
    for _ in 0..3 {
        poller.fail(&Error::Unreachable);
        assert_eq!(poller.call(), Call::Watch(position(1, 90)));
    }
}
