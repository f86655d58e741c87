//! Restores of the store from an older copy.
#![allow(clippy::unwrap_used)]

mod common;

use balance::content::{Content, Kind, Server};
use balance::gossip::Message;
use balance::{Balancer, Update};
use common::{blank, config, configured, listing, ms, ready, sent, server, submission, zones_out};
use rstest::rstest;
use tables::{Name, Position, Row};

/// The update in the store's second era, after a restore.
fn restored(update: Update) -> Update {
    match update {
        Update::Listing { kind, position, rows } => {
            let position = Position { era: 2, revision: position.revision };
            Update::Listing { kind, position, rows }
        }
        Update::Changes { kind, delta, .. } => Update::Changes { kind, era: 2, delta },
    }
}

/// A change of a zone's row within an era.
fn zone_change(era: u64, revision: u64, zone: &str, out: bool) -> Update {
    let row = Row { version: revision, body: out.then_some(Content::ZoneOut) };
    let delta =
        balance::view::Delta { since: revision - 1, revision, rows: vec![(Name::from(zone), row)] };
    Update::Changes { kind: Kind::Zone, era, delta }
}

fn is_served(balancer: &mut Balancer, now: u64) -> bool {
    let mut ticket = balancer.admit(ms(now), &submission("/safe/scan")).unwrap();
    balancer.choose(ms(now), &mut ticket).is_ok()
}

/// An entry with one server in zone `a` and zones at revision 20.
fn with_zones(out: &[&str]) -> Balancer {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(0), zones_out(20, out));
    balancer
}

#[test]
fn apply_restored_listing_of_a_lower_revision() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(0), listing(30, &[("d1", server("web", "a", 1))]));
    let moved = server("web", "a", 2);
    assert!(balancer.apply(ms(100), restored(listing(10, &[("d2", moved)]))));
    assert_eq!(balancer.position(Kind::Server), Position { era: 2, revision: 10 });
}

#[test]
fn apply_earlier_era_is_ignored() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(100), restored(listing(10, &[("d2", server("web", "a", 2))])));
    assert!(!balancer.apply(ms(5000), listing(90, &[("d1", server("web", "a", 1))])));
    balancer.tick(ms(5000));
    assert_eq!(sent(&mut balancer, ms(5000), "/safe/scan").1, "d2");
}

#[test]
fn apply_restored_changes_alone_are_refused() {
    let mut balancer = with_zones(&[]);
    assert!(!balancer.apply(ms(100), zone_change(2, 21, "a", true)));
    assert_eq!(balancer.position(Kind::Zone).era, 1);
}

#[test]
fn config_version_never_decreases_over_a_restore() {
    let mut balancer = ready(&[]);
    let mut revoked = config(7);
    let account = config(1).keys.unwrap().remove("key").unwrap();
    revoked.keys = Some([("new".into(), account)].into());
    balancer.apply(ms(0), configured(30, revoked));
    balancer.apply(ms(100), restored(configured(10, config(6))));
    assert_eq!(balancer.config().unwrap().version, 7);
    assert!(balancer.admit(ms(200), &submission("/safe/scan")).is_err());
    balancer.apply(ms(300), restored(configured(11, config(8))));
    assert_eq!(balancer.config().unwrap().version, 8);
}

#[test]
fn config_lost_by_the_store_reaches_a_new_entry() {
    let mut known = ready(&[]);
    known.apply(ms(0), configured(30, config(7)));
    known.apply(ms(100), restored(configured(10, config(6))));
    let mut fresh = blank("entry-2");
    fresh.apply(ms(200), restored(configured(10, config(6))));
    exchange(&mut known, &mut fresh, 300);
    assert_eq!(fresh.config().unwrap().version, 7);
}

/// Delivers three heartbeats of `from` to `to`, each with the resulting pulls and
/// rows.
fn exchange(from: &mut Balancer, to: &mut Balancer, now: u64) {
    let (one, other) = (Name::from("entry-8"), Name::from("entry-9"));
    let link = Name::from("tcp://x");
    for step in 0..3 {
        let now = ms(now + step * 150);
        let heartbeat = from.heartbeat(now);
        for (_, pull) in to.handle(now, &one, 1, &link, heartbeat) {
            for (_, rows) in from.handle(now, &other, 1, &link, pull) {
                to.handle(now, &one, 1, &link, rows);
            }
        }
    }
}

#[test]
fn handle_rows_of_a_later_era_replace_all() {
    let mut ahead = ready(&[("d1", server("web", "a", 1))]);
    ahead.apply(ms(100), restored(listing(3, &[("d2", server("web", "a", 2))])));
    let mut behind = ready(&[("d1", server("web", "a", 1))]);
    behind.apply(ms(0), listing(50, &[("d1", server("web", "a", 1))]));
    exchange(&mut ahead, &mut behind, 200);
    assert_eq!(behind.position(Kind::Server), Position { era: 2, revision: 3 });
    assert_eq!(behind.era(), 2);
    behind.tick(ms(5000));
    assert_eq!(sent(&mut behind, ms(5000), "/safe/scan").1, "d2");
}

#[test]
fn handle_rows_of_an_earlier_era_change_nothing() {
    let mut behind = ready(&[("d1", server("web", "a", 1))]);
    behind.apply(ms(0), listing(50, &[("d1", server("web", "a", 1))]));
    let mut ahead = ready(&[("d1", server("web", "a", 1))]);
    ahead.apply(ms(100), restored(listing(3, &[("d2", server("web", "a", 2))])));
    let pull = Message::Pull(Kind::Server, Position::default());
    let rows = behind.handle(ms(900), &"entry-8".into(), 1, &"tcp://y".into(), pull);
    assert_eq!(rows.len(), 1);
    for (_, rows) in rows {
        ahead.handle(ms(900), &"entry-9".into(), 1, &"tcp://x".into(), rows);
    }
    ahead.tick(ms(5000));
    assert_eq!(sent(&mut ahead, ms(5000), "/safe/scan").1, "d2");
}

#[test]
fn is_zone_out_until_row_is_written_again() {
    let mut balancer = with_zones(&["a"]);
    balancer.apply(ms(100), restored(zones_out(10, &[])));
    assert!(!is_served(&mut balancer, 5000));
    balancer.apply(ms(5100), zone_change(2, 11, "a", true));
    balancer.apply(ms(5200), zone_change(2, 12, "a", false));
    assert!(is_served(&mut balancer, 5300));
}

#[test]
fn is_zone_out_expires_without_a_row() {
    let mut balancer = with_zones(&["a"]);
    balancer.apply(ms(100), restored(zones_out(10, &[])));
    balancer.apply(ms(20_000), restored(zones_out(11, &[])));
    assert!(!is_served(&mut balancer, 20_000));
    // Holds don't expire without contact to the store.
    assert!(!is_served(&mut balancer, 60_000));
    balancer.apply(ms(60_101), restored(zones_out(12, &[])));
    assert!(is_served(&mut balancer, 60_101));
}

#[test]
fn is_zone_out_again_soon_if_listed_in_the_copy_only() {
    let mut balancer = with_zones(&[]);
    balancer.apply(ms(100), restored(zones_out(10, &["a"])));
    assert!(is_served(&mut balancer, 1000));
    // The hold is short, and no operator put the zone back into service again.
    assert!(!is_served(&mut balancer, 2200));
}

#[test]
fn is_zone_out_over_two_restores() {
    let mut balancer = with_zones(&["a"]);
    balancer.apply(ms(100), restored(zones_out(10, &[])));
    let Update::Listing { kind, rows, .. } = zones_out(9, &[]) else { unreachable!() };
    let position = Position { era: 3, revision: 9 };
    balancer.apply(ms(3000), Update::Listing { kind, position, rows: rows.clone() });
    balancer.apply(ms(21_000), Update::Listing { kind, position, rows });
    assert!(!is_served(&mut balancer, 21_000));
}

#[test]
fn handle_zone_out_that_the_store_lost() {
    let mut known = with_zones(&["a"]);
    known.apply(ms(100), restored(zones_out(10, &[])));
    let mut fresh = blank("entry-2");
    fresh.apply(ms(200), restored(configured(10, config(1))));
    fresh.apply(ms(200), restored(listing(10, &[("d1", server("web", "a", 1))])));
    fresh.apply(ms(200), restored(zones_out(10, &[])));
    exchange(&mut known, &mut fresh, 300);
    assert!(!is_served(&mut fresh, 5000));
    // A hold from another entry expires with the original, even if both entries
    // keep exchanging heartbeats.
    for step in 0..300 {
        let now = ms(5000 + step * 100);
        known.record_store_reply(now, Kind::Zone);
        known.apply(now, restored(zones_out(10, &[])));
        fresh.apply(now, restored(zones_out(10, &[])));
        exchange(&mut known, &mut fresh, 5000 + step * 100);
        exchange(&mut fresh, &mut known, 5050 + step * 100);
    }
    assert!(is_served(&mut fresh, 35_000));
}

fn draining() -> Server {
    Server { draining: true, ..server("web", "a", 1) }
}

#[rstest]
#[case::draining(Some(draining()))]
#[case::gone(None)]
fn choose_skips_server_that_left_before_the_restore(#[case] last: Option<Server>) {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    let rows: Vec<(&str, Server)> = last.into_iter().map(|last| ("d1", last)).collect();
    balancer.apply(ms(100), listing(30, &rows));
    balancer.apply(ms(500), restored(listing(10, &[("d1", server("web", "a", 1))])));
    assert!(!is_served(&mut balancer, 600));
    assert!(!is_served(&mut balancer, 6000));
    // It has registered again, so it is alive.
    balancer.apply(ms(6100), restored(listing(11, &[("d1", server("web", "a", 1))])));
    assert!(is_served(&mut balancer, 6200));
}

#[test]
fn choose_later_start_of_a_server_that_left() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(100), listing(30, &[]));
    let later = Server { started_ms: 2, ..server("web", "a", 1) };
    balancer.apply(ms(500), restored(listing(10, &[("d1", later)])));
    assert!(is_served(&mut balancer, 600));
}

#[test]
fn choose_server_that_the_copy_lacks() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(500), restored(listing(2, &[])));
    assert!(is_served(&mut balancer, 2400));
    balancer.tick(ms(2501));
    assert!(!is_served(&mut balancer, 2501));
}

#[test]
fn is_zone_out_for_entry_that_missed_changes() {
    // The row is later than the entry's last position: the entry never saw that
    // the zone was put back into service.
    let mut balancer = with_zones(&[]);
    balancer.apply(ms(100), restored(zones_out(40, &["a"])));
    assert!(!is_served(&mut balancer, 200));
}

#[test]
fn choose_skips_server_that_left_after_its_row_vanishes() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(100), listing(30, &[("d1", draining())]));
    balancer.apply(ms(500), restored(listing(10, &[("d1", server("web", "a", 1))])));
    // It registers as draining and leaves, both within one answer of the store.
    balancer.apply(ms(700), restored(listing(12, &[])));
    assert!(!is_served(&mut balancer, 800));
}
