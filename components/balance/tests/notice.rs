//! Notices of backend servers: shutdown and backoff.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use balance::content::Server;
use balance::gossip::Message;
use balance::notice::Start;
use balance::{Balancer, Decision, Outcome, Reason};
use common::{blank, configured, listing, ms, ready, sent, server, submission};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn service(index: u16) -> Server {
    server("web", "a", 8000 + index)
}

fn start(server: &str, started_ms: u64) -> Start {
    Start { server: server.into(), started_ms }
}

fn chosen(balancer: &mut Balancer, now: Duration) -> BTreeSet<String> {
    common::chosen(balancer, now, "/safe/scan")
}

fn refusal(balancer: &mut Balancer, now: Duration) -> Reason {
    let mut ticket = balancer.admit(now, &submission("/safe/scan")).unwrap();
    balancer.choose(now, &mut ticket).unwrap_err().reason
}

#[test]
fn choose_skips_leaving_server() {
    let mut balancer = ready(&[("d0", service(0)), ("d1", service(1))]);
    // Both servers have open requests when the notice arrives.
    assert_eq!(chosen(&mut balancer, ms(100)).len(), 2);
    assert!(balancer.record_leaving(ms(200), start("d0", 1)));
    assert!(!balancer.record_leaving(ms(210), start("d0", 1)), "the notice is already known");
    for later in [201, 2_000, 60_000, 900_000] {
        balancer.tick(ms(later));
        assert_eq!(chosen(&mut balancer, ms(later)), ["d1".into()].into());
    }
}

#[test]
fn choose_skips_leaving_server_listed_as_ready() {
    let mut balancer = ready(&[("d0", service(0)), ("d1", service(1))]);
    balancer.record_leaving(ms(200), start("d0", 1));
    // Its description changes, disappears and comes back.
    balancer.apply(
        ms(300),
        listing(4, &[("d0", Server { slots: 8, ..service(0) }), ("d1", service(1))]),
    );
    assert_eq!(chosen(&mut balancer, ms(310)), ["d1".into()].into());
    balancer.apply(ms(400), listing(5, &[("d1", service(1))]));
    balancer.tick(ms(500));
    balancer.apply(ms(600), listing(6, &[("d0", service(0)), ("d1", service(1))]));
    assert_eq!(chosen(&mut balancer, ms(610)), ["d1".into()].into());
}

#[test]
fn choose_restarted_server() {
    let mut balancer = ready(&[("d0", service(0))]);
    balancer.record_leaving(ms(200), start("d0", 1));
    assert_eq!(refusal(&mut balancer, ms(210)), Reason::NoServer);
    balancer.apply(ms(300), listing(4, &[("d0", Server { started_ms: 2, ..service(0) })]));
    assert_eq!(chosen(&mut balancer, ms(310)), ["d0".into()].into());
    // A delayed notice of the previous start doesn't apply to this one.
    balancer.record_leaving(ms(320), start("d0", 1));
    assert_eq!(chosen(&mut balancer, ms(330)), ["d0".into()].into());
}

#[test]
fn handle_leaving_notice_from_another_entry() {
    let mut first = ready(&[("d0", service(0)), ("d1", service(1))]);
    let mut second = blank("entry-two");
    second.apply(ms(0), configured(2, common::config(1)));
    second.apply(ms(0), listing(3, &[("d0", service(0)), ("d1", service(1))]));
    first.record_leaving(ms(200), start("d0", 1));
    // The notice must reach an entry that was frozen for a while.
    let heartbeat = first.heartbeat(ms(9_000));
    assert!(matches!(&heartbeat, Message::Heartbeat(beat) if beat.departing.len() == 1));
    second.handle(ms(9_000), &"entry-1".into(), 1, &"tcp://10.0.0.1:1".into(), heartbeat);
    assert_eq!(chosen(&mut second, ms(9_001)), ["d1".into()].into());
}

#[test]
fn choose_skips_server_during_backoff() {
    let mut balancer = ready(&[("d0", service(0)), ("d1", service(1))]);
    let (mut ticket, first) = sent(&mut balancer, ms(100), "/safe/scan");
    let refusing = first.clone();
    assert!(balancer.record_backoff(ms(110), start(&refusing, 1), ms(1_500)));
    // Neither retries nor new requests go there, and a shorter wait doesn't
    // replace the longer one.
    let next = balancer.fail(ms(120), &mut ticket, Outcome::Refused);
    assert!(matches!(next, Decision::Retry(target) if target.server != refusing));
    balancer.record_backoff(ms(130), start(&refusing, 1), ms(10));
    assert!(!chosen(&mut balancer, ms(1_609)).contains(refusing.as_str()));
    assert!(chosen(&mut balancer, ms(1_611)).contains(refusing.as_str()));
    // Backoff isn't reported to other entries.
    let Message::Heartbeat(beat) = balancer.heartbeat(ms(1_612)) else { panic!() };
    assert!(beat.departing.is_empty());
}

/// Random notices, restarts and changes of the store: no request goes to a start
/// that is shutting down, nor to one within its backoff.
#[test]
fn choose_random_walk_respects_notices() {
    for seed in 0..200 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut servers: BTreeMap<String, Server> =
            (0..4).map(|index| (format!("d{index}"), service(index))).collect();
        let mut balancer = blank("entry-1");
        balancer.apply(ms(0), configured(2, common::config(1)));
        let (mut leaving, mut backoffs) = (BTreeSet::new(), BTreeMap::new());
        let (mut now, mut sends) = (ms(0), 0);
        for revision in 3..400 {
            now += ms(rng.random_range(0..200));
            let names: Vec<String> = servers.keys().cloned().collect();
            let name = names.choose(&mut rng).unwrap();
            match rng.random_range(0..12) {
                0 => servers.get_mut(name).unwrap().started_ms = revision,
                1 => servers.get_mut(name).unwrap().slots = rng.random_range(2..9),
                _ => {}
            }
            // Sometimes the listing lacks a server.
            let hidden = rng.random_range(0..30);
            let listed: Vec<(&str, Server)> = servers
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != hidden)
                .map(|(_, (name, server))| (name.as_str(), server.clone()))
                .collect();
            balancer.apply(now, listing(revision, &listed));
            balancer.tick(now);
            let mut ticket = balancer.admit(now, &submission("/safe/scan")).unwrap();
            let mut next = balancer.choose(now, &mut ticket).ok();
            while let Some(target) = next.take() {
                sends += 1;
                let start = target.start();
                assert!(!leaving.contains(&start), "seed {seed}: sent to a leaving {start:?}");
                let until = backoffs.get(&start).copied().unwrap_or_default();
                assert!(now >= until, "seed {seed}: sent to {start:?}, backoff until {until:?}");
                balancer.release(&target.server);
                match rng.random_range(0..10) {
                    0 => {
                        balancer.record_leaving(now, start.clone());
                        leaving.insert(start);
                    }
                    1 | 2 => {
                        let wait = ms(rng.random_range(0..2_000));
                        balancer.record_backoff(now, start.clone(), wait);
                        backoffs.insert(start, until.max(now + wait));
                        if let Decision::Retry(target) =
                            balancer.fail(now, &mut ticket, Outcome::Refused)
                        {
                            next = Some(target);
                        }
                    }
                    _ => balancer.succeed(&ticket),
                }
            }
        }
        assert!(sends > 50, "seed {seed}: only {sends} sent");
    }
}
