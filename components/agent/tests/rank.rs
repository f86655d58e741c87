//! The pipe around a rank: what reaches the agent, the engine and the peers.
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
const LATER: Session = Session { agent: 2, engine: 7 };

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
    let known = group::Input::Loaded(Some(Object { version: 9, lease }));
    rank.step(Duration::ZERO, Input::Lease(known));
    rank.step(Duration::ZERO, Input::Status(Some((7, 0))));
    rank
}

fn hear(rank: &mut Rank, link: &str, body: Body) -> Vec<Effect> {
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

/// A rank that is sealed and whose engine holds the map 5.
fn prepared() -> Rank {
    let mut rank = rank(membership());
    hear(&mut rank, LEADER, Body::Seal);
    assert!(order(&hear(&mut rank, LEADER, prepare(5))).is_some());
    rank.step(Duration::ZERO, Input::Reply(Reply::Taken));
    rank
}

#[rstest]
#[case::member(LEADER, true)]
#[case::other_rank("tcp://127.0.0.1:1", false)]
#[case::no_member("tcp://127.0.0.1:9", false)]
fn seal_from_link(#[case] link: &str, #[case] expected: bool) {
    let mut rank = rank(membership());
    hear(&mut rank, link, Body::Seal);
    assert_eq!(rank.agent().member.is_sealed(), expected);
    assert_eq!(rank.counters().strangers, u64::from(!expected));
}

#[test]
fn order_one_at_a_time() {
    let mut rank = prepared();
    let first = hear(&mut rank, LEADER, grant(0));
    assert!(matches!(order(&first), Some(Order::Run { block, .. }) if block.from == 0));
    assert_eq!(order(&hear(&mut rank, LEADER, grant(8))), None);
    let second = rank.step(Duration::ZERO, Input::Reply(Reply::Taken));
    assert!(matches!(order(&second), Some(Order::Run { block, .. }) if block.from == 8));
}

/// A map that takes long to load is asked for with each heartbeat.
#[test]
fn order_map_once() {
    let mut rank = rank(membership());
    hear(&mut rank, LEADER, Body::Seal);
    assert!(order(&hear(&mut rank, LEADER, prepare(5))).is_some());
    assert_eq!(order(&hear(&mut rank, LEADER, prepare(5))), None);
    assert_eq!(order(&rank.step(Duration::ZERO, Input::Reply(Reply::Taken))), None);
}

#[test]
fn fail_order_to_run() {
    let mut rank = prepared();
    hear(&mut rank, LEADER, grant(0));
    hear(&mut rank, LEADER, grant(8));
    // The second block belongs to the life that ends with the first.
    let lost = rank.step(Duration::ZERO, Input::Reply(Reply::Failed));
    assert_eq!(order(&lost), None);
    assert_eq!(rank.counters().lost, 1);
    assert_eq!(rank.agent().member.session(), LATER);
}

/// The reply to an order of the engine's former life means nothing.
#[test]
fn reply_after_restart_of_engine() {
    let mut rank = prepared();
    hear(&mut rank, LEADER, grant(0));
    rank.step(Duration::ZERO, Input::Status(Some((8, 0))));
    rank.step(Duration::ZERO, Input::Reply(Reply::Failed));
    assert_eq!(rank.counters().lost, 0);
    assert_eq!(rank.agent().member.session(), Session { agent: 1, engine: 8 });
}

/// A former agent's order may be on its way to an engine that obeys it.
#[rstest]
#[case::fenced(true, Duration::ZERO, true)]
#[case::unfenced(false, Duration::ZERO, false)]
#[case::unfenced_later(false, ORDER_TIMEOUT, true)]
fn ask_engine(#[case] fenced: bool, #[case] now: Duration, #[case] expected: bool) {
    let mut rank = Rank::new(Duration::ZERO, 1, Membership { fenced, ..membership() });
    let effects = rank.step(now, Input::Tick);
    assert_eq!(effects.contains(&Effect::Status), expected);
}

/// The leader takes the platform's map, and the settings' one in its absence.
#[rstest]
#[case::unread(None, 0)]
#[case::absent(Some(None), 1)]
#[case::present(Some(Some(Map { version: 4, content: json!([1, 0]) })), 1)]
fn lead_with_map(#[case] map: Option<Option<Map>>, #[case] expected: usize) {
    let mut rank = rank(membership());
    let late = Duration::from_secs(60);
    assert!(rank.step(late, Input::Tick).contains(&Effect::Load));
    let lease = Lease { number: 3, rank: 1, agent: 1 };
    let known = group::Input::Loaded(Some(Object { version: 9, lease }));
    let stored = rank.step(late, Input::Lease(known));
    assert!(matches!(stored[..], [Effect::Store { expect: Some(9), .. }]));
    rank.step(late, Input::Lease(group::Input::Stored));
    assert!(rank.agent().leader().unwrap().needs_map());
    assert!(rank.step(late, Input::Tick).contains(&Effect::Map));
    rank.step(late, Input::Map(map));
    assert_eq!(usize::from(!rank.agent().leader().unwrap().needs_map()), expected);
    // No read follows at once.
    assert!(!rank.step(late, Input::Tick).contains(&Effect::Map));
}

#[rstest]
#[case::good(membership(), None)]
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
