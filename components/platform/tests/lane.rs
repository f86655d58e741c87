//! Listing and watching over restores of the store.
#![allow(clippy::unwrap_used)]

use platform::Poller;
use platform::lane::{Call, Transition};
use tables::Position;

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn listed(era: u64, revision: u64) -> Poller {
    let mut lane = Poller::new(1);
    lane.succeed(Call::List, at(era, revision));
    lane
}

#[test]
fn succeed_watch_of_a_later_era_lists_anew() {
    let mut lane = listed(1, 90);
    assert_eq!(lane.succeed(lane.call(), at(2, 95)), Transition::Restored);
    assert_eq!(lane.call(), Call::List);
    lane.succeed(Call::List, at(2, 40));
    assert_eq!(lane.call(), Call::Watch(at(2, 40)));
}

#[test]
fn observe_era_lists_anew_once() {
    let mut lane = listed(1, 90);
    lane.observe_era(2);
    assert_eq!(lane.call(), Call::List);
    lane.succeed(Call::List, at(2, 40));
    lane.observe_era(2);
    assert_eq!(lane.call(), Call::Watch(at(2, 40)));
}

#[test]
fn succeed_in_an_era_never_falls() {
    let mut lane = listed(1, 90);
    lane.succeed(lane.call(), at(1, 80));
    assert_eq!(lane.call(), Call::Watch(at(1, 90)));
}
