//! Replication of tables: processes that lag pull the missing rows, and revisions
//! never decrease.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::zone;
use rstest::rstest;
use tables::{Delta, Key, Kind, Name};
use wire::{Gossip, Message};

const NOW: Duration = Duration::from_secs(5);

fn link(number: u16) -> Name {
    format!("tcp://127.0.0.1:{number}").into()
}

/// Creates a table of two rows, last changed at revision 8.
fn gossip() -> Gossip {
    let mut gossip = Gossip::default();
    let rows = vec![zone("z1", 5, false), zone("z2", 8, false)];
    assert!(gossip.apply_listing(8, rows, Vec::new()));
    gossip
}

fn key(name: &str) -> Key {
    Key { kind: Kind::Zone, name: name.into() }
}

#[rstest]
#[case(7, None)]
#[case(8, None)]
#[case(9, Some(Message::Pull(8)))]
fn observe_revision(#[case] revision: u64, #[case] pull: Option<Message>) {
    assert_eq!(gossip().observe(NOW, &link(1), revision), pull);
}

#[test]
fn observe_lag_pulls_once_per_interval() {
    let mut gossip = gossip();
    assert_eq!(gossip.observe(NOW, &link(1), 9), Some(Message::Pull(8)));
    assert_eq!(gossip.observe(NOW + Duration::from_millis(499), &link(1), 9), None);
    let later = NOW + Duration::from_millis(500);
    assert_eq!(gossip.observe(later, &link(1), 9), Some(Message::Pull(8)));
}

#[test]
fn observe_pulls_from_each_peer() {
    let mut gossip = gossip();
    assert!(gossip.observe(NOW, &link(1), 9).is_some());
    assert!(gossip.observe(NOW, &link(2), 9).is_some());
}

#[test]
fn merge_answer_stops_pulls() {
    let (mut behind, mut ahead) = (gossip(), gossip());
    ahead.apply_changes(Delta { since: 8, revision: 9, rows: vec![zone("z1", 9, true)] });
    let Some(Message::Pull(since)) = behind.observe(NOW, &link(1), ahead.table().revision()) else {
        panic!("no pull request");
    };
    assert!(behind.merge(ahead.delta(since)));
    assert!(behind.table().is_zone_out("z1"));
    assert_eq!(behind.observe(NOW * 2, &link(1), ahead.table().revision()), None);
}

#[test]
fn merge_gap_is_rejected() {
    let mut gossip = gossip();
    let delta = Delta { since: 9, revision: 10, rows: vec![zone("z1", 10, true)] };
    assert!(!gossip.merge(delta));
    assert_eq!(gossip.table().revision(), 8);
}

#[test]
fn apply_listing_deletion_reaches_peers() {
    let (mut watcher, mut peer) = (gossip(), gossip());
    assert!(watcher.apply_listing(9, vec![zone("z2", 8, false)], Vec::new()));
    assert!(watcher.table().row(&key("z1")).unwrap().body.is_none());
    let revision = watcher.table().revision();
    assert_eq!(peer.observe(NOW, &link(1), revision), Some(Message::Pull(8)));
    peer.merge(watcher.delta(8));
    assert!(peer.table().row(&key("z1")).unwrap().body.is_none());
}

#[test]
fn apply_listing_older_changes_nothing() {
    let mut gossip = gossip();
    gossip.apply_changes(Delta { since: 8, revision: 9, rows: vec![zone("z1", 9, true)] });
    gossip.apply_listing(8, vec![zone("z1", 5, false), zone("z2", 8, false)], Vec::new());
    assert!(gossip.table().is_zone_out("z1"));
    assert_eq!(gossip.table().revision(), 9);
}

#[test]
fn apply_listing_malformed_row_stays() {
    let mut gossip = gossip();
    gossip.apply_listing(9, vec![zone("z2", 9, true)], vec![key("z1")]);
    assert!(gossip.table().row(&key("z1")).unwrap().body.is_some());
    assert!(gossip.table().is_zone_out("z2"));
}

#[test]
fn apply_listing_malformed_unknown_row_is_ignored() {
    let mut gossip = gossip();
    let rows = vec![zone("z1", 5, false), zone("z2", 8, false)];
    gossip.apply_listing(9, rows, vec![key("z3")]);
    assert!(gossip.table().row(&key("z3")).is_none());
}

/// The platform's revision also counts changes of other kinds of objects. They must
/// not change the table's revision, or peers would send needless pull requests.
#[test]
fn apply_changes_same_rows_same_revision() {
    let (mut one, mut other) = (gossip(), gossip());
    one.apply_changes(Delta { since: 8, revision: 40, rows: Vec::new() });
    other.apply_listing(60, vec![zone("z1", 5, false), zone("z2", 8, false)], Vec::new());
    assert_eq!(one.table().revision(), other.table().revision());
    assert_eq!(one.observe(NOW, &link(1), other.table().revision()), None);
}
