//! Propagation of table and host changes to agents and peers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use routing::{Input, Options, Output, Router};
use tables::host::{Role, State};
use tables::{Body, Delta, Host, Key, Kind, Row, Zone};
use wire::Message;

/// Enough that a heartbeat to each agent is due only every ten seconds.
const MEMBERS: usize = 200;

fn router() -> Router {
    let mut router = Router::new(Options {
        name: "e1".into(),
        zone: "z1".into(),
        link: "tcp://e1".into(),
        peers: Vec::new(),
        seed: 1,
    });
    let host = |number: usize| Host {
        name: format!("m{number}").into(),
        role: Role::Server,
        zone: format!("z{}", number % 4).into(),
        link: format!("tcp://m{number}").into(),
        pool: Some("chat".into()),
        state: State::Live,
    };
    router.step(Duration::ZERO, Input::Hosts(1, (0..MEMBERS).map(host).collect()));
    router
}

fn heartbeats(outputs: &[Output]) -> usize {
    let is_heartbeat = |output: &&Output| matches!(output, Output::Send(_, Message::Heartbeat));
    outputs.iter().filter(is_heartbeat).count()
}

fn zone(version: u64, out: bool) -> Input {
    let key = Key { kind: Kind::Zone, name: "z1".into() };
    let row = Row { version, body: Some(Body::Zone(Zone { out })) };
    Input::Delta(Delta { since: version - 1, revision: version, rows: vec![(key, row)] })
}

#[test]
fn change_of_zone_notifies_its_agents() {
    let mut router = router();
    let first = router.step(Duration::from_millis(50), Input::Tick);
    assert_eq!(heartbeats(&first), MEMBERS);
    let not_due = router.step(Duration::from_millis(100), Input::Tick);
    assert_eq!(heartbeats(&not_due), 0);

    router.step(Duration::from_millis(120), zone(5, true));
    let notified = router.step(Duration::from_millis(150), Input::Tick);
    assert_eq!(heartbeats(&notified), MEMBERS / 4);

    router.step(Duration::from_millis(160), zone(6, true));
    let unchanged = router.step(Duration::from_millis(200), Input::Tick);
    assert_eq!(heartbeats(&unchanged), 0);

    router.step(Duration::from_millis(220), zone(7, false));
    let returned = router.step(Duration::from_millis(250), Input::Tick);
    assert_eq!(heartbeats(&returned), MEMBERS / 4);
}

#[test]
fn members_of_many_pools_are_bounded() {
    let mut router = router();
    let host = |number: usize| Host {
        name: format!("m{number}").into(),
        role: Role::Server,
        zone: "z1".into(),
        link: format!("tcp://m{number}").into(),
        pool: Some(format!("pool-{}", number % 5).into()),
        state: State::Live,
    };
    router.step(Duration::ZERO, Input::Hosts(2, (0..12_000).map(host).collect()));
    let dump = router.dump(Duration::ZERO);
    assert_eq!(dump["members_known"], 225);
}

#[test]
fn join_pulls_from_few_peers() {
    let mut router = router();
    let host = |number: usize| Host {
        name: format!("e{number}").into(),
        role: Role::Entry,
        zone: "z1".into(),
        link: format!("tcp://e{number}").into(),
        pool: None,
        state: State::Live,
    };
    router.step(Duration::ZERO, Input::Hosts(2, (0..640).map(host).collect()));
    let outputs = router.step(Duration::from_millis(50), Input::Tick);
    let is_pull = |output: &&Output| matches!(output, Output::Send(_, Message::Pull(_)));
    assert_eq!(outputs.iter().filter(is_pull).count(), 3);
}
