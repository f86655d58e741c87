//! Whom agents follow.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rank::Follow;
use rstest::rstest;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn third() -> Follow {
    let mut follow = Follow::new("c".into());
    follow.set_agents(at(0), vec!["c".into(), "a".into(), "b".into()]);
    follow
}

#[rstest]
#[case::calm(false, 1600)]
#[case::changing(true, 700)]
fn tick_leaves_silent_leader(#[case] changing: bool, #[case] patience: u64) {
    let mut follow = third();
    follow.tick(at(patience), changing);
    assert_eq!(follow.leader().unwrap(), "a");
    follow.tick(at(patience + 1), changing);
    assert_eq!(follow.leader().unwrap(), "b");
}

#[test]
fn tick_keeps_leader_that_is_heard() {
    let mut follow = third();
    for step in 1..20 {
        follow.hear(at(step * 500), "a");
        follow.tick(at(step * 500 + 400), true);
    }
    assert_eq!(follow.leader().unwrap(), "a");
}

#[test]
fn hear_earlier_agent_takes_over_again() {
    let mut follow = third();
    follow.tick(at(2000), false);
    follow.tick(at(4000), false);
    assert!(follow.leads());
    assert_eq!(follow.tick(at(4600), false), ["a", "b"]);
    follow.hear(at(4700), "b");
    assert_eq!(follow.leader().unwrap(), "b");
    follow.hear(at(4800), "c");
    assert_eq!(follow.leader().unwrap(), "b", "a later one does not take over");
}

#[test]
fn tick_begins_anew_after_the_last() {
    let mut follow = Follow::new("x".into());
    follow.set_agents(at(0), vec!["a".into(), "b".into()]);
    follow.tick(at(2000), false);
    follow.tick(at(4000), false);
    assert_eq!(follow.leader().unwrap(), "a");
}
