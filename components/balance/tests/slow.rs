//! Slow ranks: all ranks of a group wait for the slowest one in each pass.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use balance::content::{Group, Server};
use balance::gossip::Message;
use balance::slow::Slowness;
use balance::{Balancer, Ticket, Update};
use common::{blank, config, configured, listing, ms, sent, server};
use rstest::rstest;

/// Accepted gap between events of the route.
const ACCEPTED_GAP: Duration = Duration::from_millis(120);

fn rank(index: u16) -> (String, Server) {
    let group = Group { name: "g".into(), epoch: 1, rank: u32::from(index), size: 4, open: true };
    let server = Server { group: Some(group), ..server("models", "a", 9000 + index) };
    (format!("m{index}"), server)
}

/// An entry with a group of four ranks.
fn with_ranks() -> Balancer {
    let mut config = config(1);
    config.routes[0].gap = Some(ACCEPTED_GAP);
    let ranks: Vec<(String, Server)> = (0..4).map(rank).collect();
    let named: Vec<_> = ranks.iter().map(|(name, rank)| (name.as_str(), rank.clone())).collect();
    let mut balancer = blank("entry-1");
    balancer.apply(ms(0), configured(2, config));
    let update: Update = listing(3, &named);
    balancer.apply(ms(0), update);
    balancer
}

fn report_slowness(balancer: &mut Balancer, now: Duration, epoch: u64, ranks: &[(u32, f64)]) {
    let slowness = Slowness { group: "g".into(), epoch, ranks: ranks.to_vec() };
    let link = "tcp://10.0.0.7:1".into();
    let replies = balancer.handle(now, &"agent-1".into(), 1, &link, Message::Slowness(slowness));
    assert!(replies.is_empty());
}

fn chosen(balancer: &mut Balancer, now: Duration) -> BTreeSet<String> {
    common::chosen(balancer, now, "/stream/notes")
}

#[test]
fn choose_skips_slow_rank() {
    let mut balancer = with_ranks();
    assert_eq!(chosen(&mut balancer, ms(10)).len(), 4);
    report_slowness(&mut balancer, ms(20), 1, &[(2, 12.0), (1, 1.2)]);
    let others = ["m0", "m1", "m3"].map(String::from).into();
    assert_eq!(chosen(&mut balancer, ms(30)), others, "slightly slower ranks are still used");
    assert_eq!(balancer.entries(ms(30)), 1, "an agent doesn't count as an entry");
    report_slowness(&mut balancer, ms(40), 1, &[]);
    assert_eq!(chosen(&mut balancer, ms(50)).len(), 4);
}

#[rstest]
#[case::of_unresponsive_leader(ms(5_000), 1, &[(2, 12.0)])]
#[case::of_earlier_epoch(ms(30), 0, &[(2, 12.0)])]
#[case::of_all_ranks(ms(30), 1, &[(0, 12.0), (1, 12.0), (2, 12.0), (3, 12.0)])]
fn choose_ignores_slowness(
    #[case] now: Duration,
    #[case] epoch: u64,
    #[case] ranks: &[(u32, f64)],
) {
    let mut balancer = with_ranks();
    report_slowness(&mut balancer, ms(20), epoch, ranks);
    assert_eq!(chosen(&mut balancer, now).len(), 4);
}

/// A stream on rank 2 of a pool with the given mean gap between events.
fn stream_on_slow_rank(balancer: &mut Balancer, gap: Duration) -> Ticket {
    let ticket = loop {
        let (ticket, server) = sent(balancer, ms(10), "/stream/notes");
        if server == "m2" {
            break ticket;
        }
        balancer.release(&server);
    };
    for event in 1..60 {
        balancer.record_gap(ms(10 + event), &"models".into(), "r1", gap);
    }
    ticket
}

#[test]
fn relocate_stream_from_slow_rank() {
    let mut balancer = with_ranks();
    let mut ticket = stream_on_slow_rank(&mut balancer, ms(500));
    assert_eq!(balancer.relocate(ms(100), &mut ticket), None, "no slowness reported yet");
    report_slowness(&mut balancer, ms(110), 1, &[(2, 12.0)]);
    let target = balancer.relocate(ms(120), &mut ticket).unwrap();
    assert_ne!(target.server, "m2");
    assert_eq!(ticket.tried.len(), 2);
    assert!(ticket.may_have_run, "the slow rank ran a part of it");
    // The stream stays at its new server.
    assert_eq!(balancer.relocate(ms(130), &mut ticket), None);
}

#[test]
fn relocate_keeps_streams_that_are_on_time() {
    let mut balancer = with_ranks();
    let mut ticket = stream_on_slow_rank(&mut balancer, ms(80));
    report_slowness(&mut balancer, ms(110), 1, &[(2, 12.0)]);
    assert_eq!(balancer.relocate(ms(120), &mut ticket), None);
}

/// A stream that can't be relocated stays where it is and isn't aborted.
#[test]
fn relocate_within_budget_and_attempts() {
    let mut balancer = with_ranks();
    let first = stream_on_slow_rank(&mut balancer, ms(500));
    report_slowness(&mut balancer, ms(110), 1, &[(2, 12.0)]);
    let mut last = Ticket { attempts_left: 0, ..first.clone() };
    assert_eq!(balancer.relocate(ms(120), &mut last), None);
    let mut once = first.clone();
    once.kind = balance::config::Kind::Stream { resumable: false };
    assert_eq!(balancer.relocate(ms(120), &mut once), None);
    let moved = (0..100).filter(|_| {
        let target = balancer.relocate(ms(130), &mut first.clone());
        target.inspect(|target| balancer.release(&target.server)).is_some()
    });
    let moved = moved.count();
    assert!((1..=30).contains(&moved), "{moved} relocated with a budget of 30");
}
