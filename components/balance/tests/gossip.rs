//! Gossip between entries and their views of the store.
#![allow(clippy::unwrap_used)]

mod common;

use balance::Balancer;
use balance::content::Kind;
use balance::gossip::{Heartbeat, Message, Replica};
use common::{
    at, blank, config, configured, listing, ms, ready, sent, server, submission, zones_out,
};
use tables::{Name, Position};

/// Delivers a heartbeat of `from` to `to`, then the resulting pulls and rows.
fn exchange(now: std::time::Duration, from: (&str, &mut Balancer), to: (&str, &mut Balancer)) {
    let heartbeat = from.1.heartbeat(now);
    let from_name = Name::from(from.0);
    let to_name = Name::from(to.0);
    let link = |name: &str| Name::from(format!("tcp://{name}"));
    for (_, pull) in to.1.handle(now, &from_name, 1, &link(from.0), heartbeat) {
        for (_, rows) in from.1.handle(now, &to_name, 1, &link(to.0), pull) {
            to.1.handle(now, &from_name, 1, &link(from.0), rows);
        }
    }
}

#[test]
fn handle_rows_that_the_store_did_not_deliver() {
    let mut known = ready(&[("d1", server("web", "a", 1))]);
    let mut isolated = blank("entry-2");
    exchange(ms(0), ("entry-1", &mut known), ("entry-2", &mut isolated));
    assert!(isolated.is_ready());
    known.apply(ms(100), configured(9, config(4)));
    for step in 0..5 {
        exchange(ms(100 + step * 100), ("entry-1", &mut known), ("entry-2", &mut isolated));
    }
    assert_eq!(isolated.config().unwrap().version, 4);
}

#[test]
fn handle_earlier_incarnation_is_ignored() {
    let mut entry = blank("entry-1");
    let other = Name::from("entry-2");
    let link = Name::from("tcp://x");
    let pull = || Message::Pull(Kind::Config, Position::default());
    assert_eq!(entry.handle(ms(0), &other, 5, &link, pull()).len(), 1);
    assert!(entry.handle(ms(0), &other, 4, &link, pull()).is_empty());
}

#[test]
fn handle_load_of_other_entries_counts() {
    let servers = [("d1", server("web", "a", 1)), ("d2", server("web", "a", 2))];
    let mut one = ready(&servers);
    let mut two = ready(&servers);
    for _ in 0..6 {
        let mut ticket = one.admit(ms(0), &submission("/safe/scan")).unwrap();
        ticket.tried.push("d2".into());
        one.choose(ms(0), &mut ticket).unwrap();
    }
    let heartbeat = one.heartbeat(ms(0));
    two.handle(ms(0), &"entry-0".into(), 1, &"tcp://x".into(), heartbeat);
    for _ in 0..4 {
        assert_eq!(sent(&mut two, ms(10), "/safe/scan").1, "d2");
    }
}

#[test]
fn entries_counts_live_entries() {
    let mut entry = blank("entry-1");
    let heartbeat = || blank("entry-2").heartbeat(ms(0));
    entry.handle(ms(0), &"entry-2".into(), 1, &"tcp://x".into(), heartbeat());
    assert_eq!(entry.entries(ms(100)), 2);
    assert_eq!(entry.entries(ms(60_000)), 1);
}

#[test]
fn follows_store_first_two_in_order() {
    let mut entry = informed_entry(&["entry-1", "entry-2"]);
    assert!(!entry.follows_store(ms(20), Kind::Config));
    // Neither has sent a heartbeat for a second.
    assert!(entry.follows_store(ms(1000), Kind::Config));
    // One entry alone is not enough.
    entry = informed_entry(&["entry-1"]);
    assert!(entry.follows_store(ms(20), Kind::Config));
}

/// An entry with a configuration and servers that got a heartbeat of each of `others`,
/// to which the store has just answered.
fn informed_entry(others: &[&str]) -> Balancer {
    let mut entry = blank("entry-3");
    entry.apply(ms(0), configured(2, config(1)));
    entry.apply(ms(0), listing(3, &[]));
    entry.apply(ms(0), zones_out(3, &[]));
    for name in others {
        let heartbeat = replicas([Some(0); 3], 2);
        entry.handle(ms(10), &(*name).into(), 1, &format!("tcp://{name}").into(), heartbeat);
    }
    entry
}

/// A heartbeat of an entry whose copies are at `revision`, with the age of the store's
/// last answer for each kind.
fn replicas(answered_ms: [Option<u32>; 3], revision: u64) -> Message {
    let position = at(revision);
    let replicas = Kind::ALL
        .into_iter()
        .zip(answered_ms)
        .map(|(kind, answered_ms)| Replica { kind, position, answered_ms })
        .collect();
    Message::Heartbeat(Heartbeat { replicas, ..Heartbeat::default() })
}

/// Heartbeats arrive, but the rows that they announce don't.
#[test]
fn follows_store_while_others_only_announce_changes() {
    let mut entry = informed_entry(&["entry-1", "entry-2"]);
    for now in (100..3000).step_by(100).map(ms) {
        for name in ["entry-1", "entry-2"] {
            let heartbeat = replicas([Some(0); 3], 90);
            entry.handle(now, &name.into(), 1, &format!("tcp://{name}").into(), heartbeat);
        }
        assert_eq!(entry.follows_store(now, Kind::Config), now >= ms(1410), "{now:?}");
    }
}

/// The store answers the first entries, but not their calls for the configuration.
#[test]
fn follows_store_for_the_kind_that_it_does_not_answer() {
    let mut entry = informed_entry(&["entry-1", "entry-2"]);
    for now in (100..1500).step_by(100).map(ms) {
        for name in ["entry-1", "entry-2"] {
            let age = now.as_millis() as u32;
            let heartbeat = replicas([Some(age), Some(0), Some(0)], 2);
            entry.handle(now, &name.into(), 1, &format!("tcp://{name}").into(), heartbeat);
        }
    }
    assert!(entry.follows_store(ms(1500), Kind::Config));
    assert!(!entry.follows_store(ms(1500), Kind::Server));
}

/// Copies that others keep current need no calls of this entry.
#[test]
fn follows_store_not_while_others_keep_copies_current() {
    let mut entry = informed_entry(&["entry-1", "entry-2"]);
    for now in (100..9000).step_by(100).map(ms) {
        for name in ["entry-1", "entry-2"] {
            let age = now.as_millis() as u32 % 900;
            let heartbeat = replicas([Some(age); 3], 2);
            entry.handle(now, &name.into(), 1, &format!("tcp://{name}").into(), heartbeat);
        }
        assert!(Kind::ALL.into_iter().all(|kind| !entry.follows_store(now, kind)), "{now:?}");
    }
}

/// A host's clock was ahead when its earlier process started.
#[test]
fn handle_process_restarted_after_its_clock_was_set_back() {
    let mut entry = blank("entry-1");
    let other = Name::from("entry-2");
    let link = Name::from("tcp://x");
    let pull = || Message::Pull(Kind::Config, Position::default());
    assert_eq!(entry.handle(ms(0), &other, 5, &link, pull()).len(), 1);
    assert!(entry.handle(ms(600), &other, 4, &link, pull()).is_empty());
    assert_eq!(entry.handle(ms(800), &other, 4, &link, pull()).len(), 1);
    assert_eq!(entry.handle(ms(900), &other, 4, &link, pull()).len(), 1);
}

#[test]
fn follows_store_while_nothing_is_known() {
    let mut entry = blank("entry-3");
    for name in ["entry-1", "entry-2"] {
        let heartbeat = replicas([Some(0); 3], 2);
        entry.handle(ms(0), &name.into(), 1, &format!("tcp://{name}").into(), heartbeat);
    }
    assert!(entry.follows_store(ms(0), Kind::Config));
}

#[test]
fn apply_vanished_server_is_retained_after_an_outage() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.record_reconnect(ms(10_000));
    balancer.apply(ms(10_000), listing(20, &[]));
    assert_eq!(sent(&mut balancer, ms(11_000), "/safe/scan").1, "d1");
    // Still not registered 2 s after the store's return.
    balancer.tick(ms(12_001));
    let mut ticket = balancer.admit(ms(12_001), &submission("/safe/scan")).unwrap();
    assert!(balancer.choose(ms(12_001), &mut ticket).is_err());
}

#[test]
fn apply_vanished_server_is_removed_at_once_without_an_outage() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.apply(ms(10_000), listing(20, &[]));
    let mut ticket = balancer.admit(ms(10_000), &submission("/safe/scan")).unwrap();
    assert!(balancer.choose(ms(10_000), &mut ticket).is_err());
}

#[test]
fn handle_return_of_the_store_retains_vanished_servers() {
    let mut follower = ready(&[("d1", server("web", "a", 1))]);
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    let name = Name::from("entry-0");
    let link = Name::from("tcp://x");
    follower.record_store_reply(ms(0), Kind::Server);
    balancer.handle(ms(0), &name, 1, &link, follower.heartbeat(ms(0)));
    balancer.handle(ms(6000), &name, 1, &link, follower.heartbeat(ms(6000)));
    follower.record_store_reply(ms(6100), Kind::Server);
    balancer.handle(ms(6100), &name, 1, &link, follower.heartbeat(ms(6100)));
    balancer.apply(ms(6150), listing(20, &[]));
    assert_eq!(sent(&mut balancer, ms(6200), "/safe/scan").1, "d1");
}

#[test]
fn handle_crashes_sums_all_entries() {
    let mut one = ready(&[("d1", server("web", "a", 1)), ("d2", server("web", "a", 2))]);
    let (mut ticket, _) = sent(&mut one, ms(2000), "/safe/scan");
    one.fail(ms(2000), &mut ticket, balance::Outcome::Broken);
    one.fail(ms(2001), &mut ticket, balance::Outcome::Broken);
    let mut two = ready(&[("d1", server("web", "a", 1))]);
    let (mut ticket, _) = sent(&mut two, ms(2000), "/safe/scan");
    two.fail(ms(2000), &mut ticket, balance::Outcome::Broken);
    assert!(two.admit(ms(2010), &submission("/safe/scan")).is_ok());
    two.handle(ms(2010), &"entry-0".into(), 1, &"tcp://x".into(), one.heartbeat(ms(2010)));
    assert!(two.admit(ms(2020), &submission("/safe/scan")).is_err());
}

#[test]
fn apply_retained_server_expires_without_another_change() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    balancer.record_reconnect(ms(10_000));
    balancer.apply(ms(10_000), listing(20, &[]));
    // The store's next answer has no changes and comes after the retention.
    balancer.apply(ms(12_500), listing(20, &[]));
    balancer.tick(ms(12_501));
    let mut ticket = balancer.admit(ms(12_501), &submission("/safe/scan")).unwrap();
    assert!(balancer.choose(ms(12_501), &mut ticket).is_err());
}

/// An entry that started after a deletion doesn't know of it, so its incremental
/// changes lack the deletion. An entry that lags behind must get all rows.
#[test]
fn handle_deletion_from_an_entry_that_never_saw_the_row() {
    let mut late = blank("entry-1");
    late.apply(ms(0), configured(2, config(1)));
    late.apply(ms(0), listing(45, &[("d2", server("web", "a", 2))]));
    let mut lagging = blank("entry-2");
    lagging.apply(ms(0), configured(2, config(1)));
    let both = [("d1", server("web", "a", 1)), ("d2", server("web", "a", 2))];
    lagging.apply(ms(0), listing(40, &both));
    for step in 0..5 {
        exchange(ms(step * 100), ("entry-1", &mut late), ("entry-2", &mut lagging));
    }
    assert_eq!(common::chosen(&mut lagging, ms(600), "/safe/scan"), ["d2".to_owned()].into());
}
