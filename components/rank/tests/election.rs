//! Leader election by name order and time-outs.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rank::Election;
use rstest::rstest;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn third_of_three() -> Election {
    let mut election = Election::new("c".into());
    election.set_agents(at(0), vec!["c".into(), "a".into(), "b".into()]);
    election
}

#[rstest]
#[case::stable(false, 1600)]
#[case::changing(true, 700)]
fn tick_replaces_unresponsive_leader(#[case] changing: bool, #[case] timeout: u64) {
    let mut election = third_of_three();
    election.tick(at(timeout), changing);
    assert_eq!(election.leader().unwrap(), "a");
    election.tick(at(timeout + 1), changing);
    assert_eq!(election.leader().unwrap(), "b");
}

#[test]
fn tick_keeps_responsive_leader() {
    let mut election = third_of_three();
    for step in 1..20 {
        election.observe_leader(at(step * 500), "a");
        election.tick(at(step * 500 + 400), true);
    }
    assert_eq!(election.leader().unwrap(), "a");
}

#[test]
fn observe_leader_earlier_agent() {
    let mut election = third_of_three();
    election.tick(at(2000), false);
    election.tick(at(4000), false);
    assert!(election.is_leader());
    assert_eq!(election.tick(at(4600), false), ["a", "b"]);
    election.observe_leader(at(4700), "b");
    assert_eq!(election.leader().unwrap(), "b");
    election.observe_leader(at(4800), "c");
    assert_eq!(election.leader().unwrap(), "b", "an agent after the leader does not take over");
}

#[test]
fn tick_wraps_around_after_last_agent() {
    let mut election = Election::new("x".into());
    election.set_agents(at(0), vec!["a".into(), "b".into()]);
    election.tick(at(2000), false);
    election.tick(at(4000), false);
    assert_eq!(election.leader().unwrap(), "a");
}
