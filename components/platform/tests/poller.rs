//! Listing and watching over restores of the store.
#![allow(clippy::unwrap_used)]

use platform::Poller;
use platform::poller::{Call, Transition};
use tables::Position;

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn listed(era: u64, revision: u64) -> Poller {
    let mut poller = Poller::new(1);
    poller.succeed(Call::List, at(era, revision));
    poller
}

#[test]
fn succeed_watch_of_a_later_era_lists_anew() {
    let mut poller = listed(1, 90);
    assert_eq!(poller.succeed(poller.call(), at(2, 95)), Transition::Restored);
    assert_eq!(poller.call(), Call::List);
    poller.succeed(Call::List, at(2, 40));
    assert_eq!(poller.call(), Call::Watch(at(2, 40)));
}

#[test]
fn observe_era_lists_anew_once() {
    let mut poller = listed(1, 90);
    poller.observe_era(2);
    assert_eq!(poller.call(), Call::List);
    poller.succeed(Call::List, at(2, 40));
    poller.observe_era(2);
    assert_eq!(poller.call(), Call::Watch(at(2, 40)));
}

#[test]
fn succeed_in_an_era_never_falls() {
    let mut poller = listed(1, 90);
    poller.succeed(poller.call(), at(1, 80));
    assert_eq!(poller.call(), Call::Watch(at(1, 90)));
}
