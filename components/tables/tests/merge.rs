//! Merging of tables: deltas in any order, also repeated.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tables::{Body, Delta, Key, Kind, Row, Table, Zone};

const ZONES: usize = 6;
const CHANGES: u64 = 60;

fn key(name: &str) -> Key {
    Key { kind: Kind::Zone, name: name.into() }
}

fn row(version: u64, out: Option<bool>) -> Row {
    Row { version, body: out.map(|out| Body::Zone(Zone { out })) }
}

fn delta(since: u64, revision: u64, rows: &[(&str, Row)]) -> Delta {
    let rows = rows.iter().map(|(name, row)| (key(name), row.clone())).collect();
    Delta { since, revision, rows }
}

/// Random changes, one at each revision as on the platform.
fn history(rng: &mut ChaCha8Rng) -> Vec<(Key, Row)> {
    let change = |version| {
        let name = format!("z{}", rng.random_range(0..ZONES));
        let out = [None, Some(true), Some(false)][rng.random_range(0..3)];
        (key(&name), row(version, out))
    };
    (1..=CHANGES).map(change).collect()
}

/// The delta between two revisions, with the last change of each row.
fn delta_between(history: &[(Key, Row)], since: u64, revision: u64) -> Delta {
    let after = |(_, row): &&(Key, Row)| row.version > since && row.version <= revision;
    let last: BTreeMap<Key, Row> = history.iter().filter(after).cloned().collect();
    Delta { since, revision, rows: last.into_iter().collect() }
}

#[rstest]
fn merge_converges_in_any_order_and_repetition(#[values(1, 2, 3, 5, 8, 13, 21, 34)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let history = history(&mut rng);
    let mut expected = Table::default();
    expected.merge(delta_between(&history, 0, CHANGES));
    for _ in 0..50 {
        let mut deltas: Vec<Delta> =
            (0..CHANGES).map(|since| delta_between(&history, since, since + 1)).collect();
        for _ in 0..40 {
            let since = rng.random_range(0..CHANGES);
            let revision = rng.random_range(since..=CHANGES);
            deltas.push(delta_between(&history, since, revision));
        }
        let mut table = Table::default();
        // A delta with a gap before it is rejected and merged again in a later round.
        while table.revision() < CHANGES {
            deltas.shuffle(&mut rng);
            for delta in &deltas {
                merge_checked(&mut table, delta.clone(), &history);
            }
        }
        assert_eq!(table, expected, "seed {seed}");
    }
}

/// Merges and checks that neither the revision nor any row's version decreases,
/// and that no row up to the table's revision is missing.
fn merge_checked(table: &mut Table, delta: Delta, history: &[(Key, Row)]) {
    let before = table.clone();
    table.merge(delta);
    assert!(table.revision() >= before.revision());
    for (key, row) in before.delta(0).rows {
        assert!(table.row(&key).unwrap().version >= row.version);
    }
    for (key, row) in delta_between(history, 0, table.revision()).rows {
        assert!(table.row(&key).is_some_and(|known| known.version >= row.version));
    }
}

#[rstest]
fn merge_between_peers_converges(#[values(4, 44, 444)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let history = history(&mut rng);
    let mut peers = vec![Table::default(); 5];
    peers[0].merge(delta_between(&history, 0, CHANGES));
    while peers.iter().any(|peer| peer.revision() < CHANGES) {
        let (from, to) = (rng.random_range(0..5), rng.random_range(0..5));
        let delta = peers[from].delta(peers[to].revision());
        merge_checked(&mut peers[to], delta, &history);
    }
    assert!(peers.iter().all(|peer| *peer == peers[0]));
}

#[test]
fn merge_delta_after_gap_is_rejected() {
    let mut table = Table::default();
    assert!(!table.merge(delta(5, 6, &[("a", row(6, Some(true)))])));
    assert_eq!(table, Table::default());
}

#[test]
fn merge_same_delta_twice_changes_nothing() {
    let mut table = Table::default();
    let change = delta(0, 3, &[("a", row(3, Some(true)))]);
    assert!(table.merge(change.clone()));
    assert!(!table.merge(change));
}

#[test]
fn merge_delayed_row_does_not_undo_deletion() {
    let mut table = Table::default();
    table.merge(delta(0, 8, &[("a", row(8, None))]));
    table.merge(delta(0, 5, &[("a", row(5, Some(true)))]));
    assert!(!table.is_zone_out("a"));
    assert_eq!(table.revision(), 8);
}

#[test]
fn replace_deletes_missing_rows() {
    let mut table = Table::default();
    table.merge(delta(0, 4, &[("a", row(3, Some(true))), ("b", row(4, Some(true)))]));
    table.replace(9, vec![(key("b"), row(4, Some(true)))]);
    assert!(!table.is_zone_out("a"));
    assert!(table.is_zone_out("b"));
    assert_eq!(table.revision(), 9);
}

#[test]
fn replace_keeps_row_newer_than_listing() {
    let mut table = Table::default();
    table.merge(delta(0, 12, &[("a", row(12, Some(true)))]));
    table.replace(9, vec![]);
    assert!(table.is_zone_out("a"));
    assert_eq!(table.revision(), 12);
}

#[test]
fn delta_includes_deletions() {
    let mut table = Table::default();
    table.merge(delta(0, 4, &[("a", row(3, Some(true))), ("b", row(4, None))]));
    assert_eq!(table.delta(3).rows, [(key("b"), row(4, None))]);
}
