//! Inputs and effects of a rank: the messages and orders that it passes on.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use agent::Membership;
use agent::rank::{Effect, Input, Map, ORDER_TIMEOUT, Rank, Reply};
use group::{Block, Body, Fence, Lease, Message, Object, Order, Session};
use rstest::rstest;
use serde_json::json;
use settings::Reason;

const LEADER: &str = "tcp://127.0.0.1:2";
const FENCE: Fence = Fence { number: 3, round: 0 };
const SESSION: Session = Session { agent: 1, engine: 7 };
const NEXT_SESSION: Session = Session { agent: 2, engine: 7 };

fn membership() -> Membership {
    serde_json::from_value(json!({
        "name": "ranks", "rank": 0, "members": ["tcp://127.0.0.1:1", LEADER],
        "block": 8, "fenced": true, "map": [0, 1],
    }))
    .unwrap()
}

fn rank(membership: Membership) -> Rank {
    let mut rank = Rank::new(Duration::ZERO, 1, membership);
    let lease = Lease { number: 3, rank: 1, agent: 1 };
    let loaded = group::Input::Loaded(Some(Object { version: 9, lease }));
    rank.step(Duration::ZERO, Input::Lease(loaded));
    rank.step(Duration::ZERO, Input::Status(Some((7, 0))));
    rank
}

fn receive(rank: &mut Rank, link: &str, body: Body) -> Vec<Effect> {
    let message = Message { from: 1, fence: FENCE, body };
    rank.step(Duration::ZERO, Input::Message(link.into(), message))
}

fn prepare(version: u64) -> Body {
    Body::Prepare { session: SESSION, map: group::Map { version, content: "[]".into() } }
}

fn grant(from: u64) -> Body {
    Body::Grant { session: SESSION, block: Block { from, to: from + 8, map: 5 } }
}

fn order(effects: &[Effect]) -> Option<&Order> {
    effects.iter().find_map(|effect| match effect {
        Effect::Order(order) => Some(order),
        _ => None,
    })
}

/// A sealed rank whose engine holds version 5 of the map.
fn prepared() -> Rank {
    let mut rank = rank(membership());
    receive(&mut rank, LEADER, Body::Seal);
    assert!(order(&receive(&mut rank, LEADER, prepare(5))).is_some());
    rank.step(Duration::ZERO, Input::Reply(Reply::Accepted));
    rank
}

#[rstest]
#[case::member(LEADER, true)]
#[case::other_rank("tcp://127.0.0.1:1", false)]
#[case::not_a_member("tcp://127.0.0.1:9", false)]
fn seal_from_link(#[case] link: &str, #[case] expected: bool) {
    let mut rank = rank(membership());
    receive(&mut rank, link, Body::Seal);
    assert_eq!(rank.agent().member.is_sealed(), expected);
    assert_eq!(rank.counters().wrong_senders, u64::from(!expected));
}

#[test]
fn order_one_at_a_time() {
    let mut rank = prepared();
    let first = receive(&mut rank, LEADER, grant(0));
    assert!(matches!(order(&first), Some(Order::Run { block, .. }) if block.from == 0));
    assert_eq!(order(&receive(&mut rank, LEADER, grant(8))), None);
    let second = rank.step(Duration::ZERO, Input::Reply(Reply::Accepted));
    assert!(matches!(order(&second), Some(Order::Run { block, .. }) if block.from == 8));
}

/// The leader repeats the request with each heartbeat until the map is loaded.
#[test]
fn order_map_once() {
    let mut rank = rank(membership());
    receive(&mut rank, LEADER, Body::Seal);
    assert!(order(&receive(&mut rank, LEADER, prepare(5))).is_some());
    assert_eq!(order(&receive(&mut rank, LEADER, prepare(5))), None);
    assert_eq!(order(&rank.step(Duration::ZERO, Input::Reply(Reply::Accepted))), None);
}

#[test]
fn reply_run_failed() {
    let mut rank = prepared();
    receive(&mut rank, LEADER, grant(0));
    receive(&mut rank, LEADER, grant(8));
    // The session ends with the first block, which drops the second.
    let lost = rank.step(Duration::ZERO, Input::Reply(Reply::Failed));
    assert_eq!(order(&lost), None);
    assert_eq!(rank.counters().lost_sessions, 1);
    assert_eq!(rank.agent().member.session(), NEXT_SESSION);
}

/// The reply to an order sent before the engine's restart is ignored.
#[test]
fn reply_after_restart_of_engine() {
    let mut rank = prepared();
    receive(&mut rank, LEADER, grant(0));
    rank.step(Duration::ZERO, Input::Status(Some((8, 0))));
    rank.step(Duration::ZERO, Input::Reply(Reply::Failed));
    assert_eq!(rank.counters().lost_sessions, 0);
    assert_eq!(rank.agent().member.session(), Session { agent: 1, engine: 8 });
}

/// An unfenced engine may still execute an order of an earlier agent process.
#[rstest]
#[case::fenced(true, Duration::ZERO, true)]
#[case::unfenced(false, Duration::ZERO, false)]
#[case::unfenced_after_timeout(false, ORDER_TIMEOUT, true)]
fn tick_requests_status(#[case] fenced: bool, #[case] now: Duration, #[case] expected: bool) {
    let mut rank = Rank::new(Duration::ZERO, 1, Membership { fenced, ..membership() });
    let effects = rank.step(now, Input::Tick);
    assert_eq!(effects.contains(&Effect::Status), expected);
}

/// The leader uses the platform's map, or that of the settings if it is absent.
#[rstest]
#[case::unread(None, 0)]
#[case::absent(Some(None), 1)]
#[case::present(Some(Some(Map { version: 4, content: json!([1, 0]) })), 1)]
fn lead_with_map(#[case] map: Option<Option<Map>>, #[case] expected: usize) {
    let mut rank = rank(membership());
    let after_timeout = Duration::from_secs(60);
    assert!(rank.step(after_timeout, Input::Tick).contains(&Effect::Load));
    let lease = Lease { number: 3, rank: 1, agent: 1 };
    let loaded = group::Input::Loaded(Some(Object { version: 9, lease }));
    let stored = rank.step(after_timeout, Input::Lease(loaded));
    assert!(matches!(stored[..], [Effect::Store { expect: Some(9), .. }]));
    rank.step(after_timeout, Input::Lease(group::Input::Stored));
    assert!(rank.agent().leader().unwrap().needs_map());
    assert!(rank.step(after_timeout, Input::Tick).contains(&Effect::Map));
    rank.step(after_timeout, Input::Map(map));
    assert_eq!(usize::from(!rank.agent().leader().unwrap().needs_map()), expected);
    // The map isn't read again before its interval has passed.
    assert!(!rank.step(after_timeout, Input::Tick).contains(&Effect::Map));
}

#[rstest]
#[case::valid(membership(), None)]
#[case::rank_too_high(Membership { rank: 2, ..membership() }, Some("/rank"))]
#[case::one_member(Membership { members: vec!["tcp://127.0.0.1:1".into()], ..membership() }, Some("/members"))]
#[case::other_link(Membership { rank: 1, ..membership() }, Some("/members/1"))]
#[case::no_block(Membership { block: 0, ..membership() }, Some("/block"))]
#[case::short_timeout(Membership { timeout: Duration::from_millis(600), ..membership() }, Some("/timeout_ms"))]
fn check_membership(#[case] membership: Membership, #[case] expected: Option<&str>) {
    let faults = membership.faults(&"tcp://127.0.0.1:1".into());
    let pointers: Vec<&str> = faults.iter().map(|fault| fault.pointer.as_str()).collect();
    assert_eq!(pointers, Vec::from_iter(expected));
}

#[test]
fn check_repeated_member() {
    let members = vec!["tcp://127.0.0.1:1".into(), "tcp://127.0.0.1:1".into()];
    let faults = Membership { members, ..membership() }.faults(&"tcp://127.0.0.1:1".into());
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].pointer, "/members/1");
    assert!(matches!(&faults[0].reason, Reason::Conflict { other } if other == "/members/0"));
}
