//! Dispatch of requests: admission, server selection, retries and refusals.
#![allow(clippy::unwrap_used)]

mod common;

use balance::{Decision, Outcome, Reason};
use common::{
    blank, config, configured, listing, ms, rank, ready, sent, server, submission, zones_out,
};
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tables::Name;

const OUTCOMES: [Outcome; 8] = [
    Outcome::ConnectFailed,
    Outcome::Refused,
    Outcome::Misdirected,
    Outcome::Broken,
    Outcome::StaleConnection,
    Outcome::Failed,
    Outcome::TimedOut,
    Outcome::DeadlineExceeded,
];

fn services(count: u16) -> Vec<(String, balance::content::Server)> {
    (0..count).map(|index| (format!("d{index}"), server("web", "a", 8000 + index))).collect()
}

fn with_services(count: u16) -> balance::Balancer {
    let services = services(count);
    let named: Vec<_> =
        services.iter().map(|(name, server)| (name.as_str(), server.clone())).collect();
    ready(&named)
}

#[rstest]
#[case::connect_failed(Outcome::ConnectFailed, true)]
#[case::refused(Outcome::Refused, true)]
#[case::misdirected(Outcome::Misdirected, true)]
#[case::broken(Outcome::Broken, false)]
#[case::stale_connection(Outcome::StaleConnection, false)]
#[case::failed(Outcome::Failed, false)]
#[case::timed_out(Outcome::TimedOut, false)]
fn fail_once(#[case] outcome: Outcome, #[case] retried: bool) {
    let mut balancer = with_services(3);
    let (mut ticket, _) = sent(&mut balancer, ms(2000), "/once/book");
    let next = balancer.fail(ms(2010), &mut ticket, outcome);
    assert_eq!(matches!(next, Decision::Retry(_)), retried, "{next:?}");
}

#[rstest]
#[case::broken(Outcome::Broken)]
#[case::failed(Outcome::Failed)]
fn fail_idempotent_retries_at_another_server(#[case] outcome: Outcome) {
    let mut balancer = with_services(2);
    let (mut ticket, first) = sent(&mut balancer, ms(2000), "/safe/scan");
    let Decision::Retry(target) = balancer.fail(ms(2010), &mut ticket, outcome) else { panic!() };
    assert_ne!(target.server, first);
}

/// A route whose shares are all zero sent its requests to the first pool.
#[rstest]
#[case::zero(&[("web", 0), ("models", 0)])]
#[case::none(&[])]
fn admit_route_without_shares(#[case] shares: &[(&str, u32)]) {
    let mut balancer = with_services(2);
    let mut config = config(2);
    let shares = shares.iter().map(|(pool, weight)| (Name::from(*pool), *weight));
    config.routes[1].pools = shares.collect();
    balancer.apply(ms(0), configured(9, config));
    let refusal = balancer.admit(ms(2000), &submission("/safe/scan")).unwrap_err();
    assert_eq!((refusal.reason, refusal.status), (Reason::NoServer, 503));
    assert!(refusal.retry_after.is_some());
    assert!(balancer.admit(ms(2000), &submission("/once/book")).is_ok());
}

/// Weights whose sum exceeds their type ended the process or lost shares.
#[test]
fn admit_route_with_large_weights() {
    let mut balancer = with_services(2);
    let mut config = config(2);
    config.routes[1].pools = vec![("web".into(), u32::MAX), ("models".into(), u32::MAX)];
    balancer.apply(ms(0), configured(9, config));
    assert!(balancer.admit(ms(2000), &submission("/safe/scan")).is_ok());
}

/// Random outcomes: a non-repeatable request is never retried after it may have
/// run, and a request that may have run is never reported as not run.
#[test]
fn fail_random_walk() {
    for seed in 0..2000 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut balancer = with_services(4);
        let path = ["/once/book", "/safe/scan"][rng.random_range(0..2)];
        let (mut ticket, _) = sent(&mut balancer, ms(2000), path);
        let mut may_have_run = false;
        for step in 0..6 {
            let outcome = OUTCOMES[rng.random_range(0..OUTCOMES.len())];
            let not_executed = [Outcome::ConnectFailed, Outcome::Refused, Outcome::Misdirected];
            may_have_run |= !not_executed.contains(&outcome);
            match balancer.fail(ms(2010 + step * 10), &mut ticket, outcome) {
                Decision::Retry(_) => {
                    assert!(
                        !may_have_run || path == "/safe/scan",
                        "seed {seed}: retried after it may have run"
                    );
                    assert!(ticket.tried.len() <= 3, "seed {seed}: too many servers");
                }
                Decision::Stop(refusal) => {
                    let not_run = [503, 429, 421, 408].contains(&refusal.status);
                    assert!(!(may_have_run && not_run), "seed {seed}: {refusal:?}");
                    assert_eq!(refusal.retry_after.is_some(), !may_have_run, "seed {seed}");
                    break;
                }
            }
        }
    }
}

#[test]
fn admit_without_configuration_is_not_run() {
    let refusal = blank("entry-1").admit(ms(0), &submission("/safe/scan")).unwrap_err();
    assert_eq!((refusal.reason, refusal.status), (Reason::Unconfigured, 503));
    assert!(refusal.retry_after.is_some());
}

#[rstest]
#[case::unknown_path("/nowhere/", Some("key"), 404)]
#[case::unknown_key("/safe/scan", Some("other"), 401)]
#[case::no_key("/safe/scan", None, 401)]
fn admit_refused(#[case] path: &str, #[case] key: Option<&str>, #[case] status: u16) {
    let refusal = with_services(1)
        .admit(ms(0), &balance::Submission { key, ..submission(path) })
        .unwrap_err();
    assert_eq!(refusal.status, status);
}

#[test]
fn choose_no_server_in_zone_out() {
    let mut balancer = ready(&[("d1", server("web", "a", 1)), ("d2", server("web", "b", 2))]);
    balancer.apply(ms(0), zones_out(9, &["a"]));
    for _ in 0..5 {
        assert_eq!(sent(&mut balancer, ms(0), "/safe/scan").1, "d2");
    }
    balancer.apply(ms(10), zones_out(12, &[]));
    let chosen: Vec<_> = (0..5).map(|_| sent(&mut balancer, ms(10), "/safe/scan").1).collect();
    assert!(chosen.iter().any(|name| name == "d1"));
}

#[test]
fn choose_no_draining_server() {
    let leaving = balance::content::Server { draining: true, ..server("web", "a", 1) };
    let mut balancer = ready(&[("d1", leaving), ("d2", server("web", "a", 2))]);
    for _ in 0..8 {
        assert_eq!(sent(&mut balancer, ms(0), "/safe/scan").1, "d2");
    }
}

#[test]
fn choose_nothing_in_broken_group() {
    let mut balancer = ready(&[("r1", rank(1, false))]);
    let mut ticket = balancer.admit(ms(0), &submission("/stream/notes")).unwrap();
    let refusal = balancer.choose(ms(0), &mut ticket).unwrap_err();
    assert_eq!((refusal.reason, refusal.status), (Reason::NoServer, 503));
}

/// A pool restarts cold under load: no entry exceeds its share of the rate that a
/// cold server tolerates.
#[test]
fn choose_cold_server_within_its_rate() {
    let cold = balance::content::Server { cold: ms(5000), ..rank(1, true) };
    let mut balancer = ready(&[("r1", cold)]);
    let mut taken = 0;
    for step in 0..200 {
        let now = ms(1000 + step * 10);
        let mut ticket = balancer.admit(now, &submission("/stream/notes")).unwrap();
        if let Ok(target) = balancer.choose(now, &mut ticket) {
            assert!(target.cold);
            balancer.record_first_event(ms(2000), &target.server, &ticket.prompt);
            balancer.release(&target.server);
            taken += 1;
        }
    }
    assert!((10..=22).contains(&taken), "{taken} in two seconds at 10 a second");
}

#[test]
fn choose_least_busy_server() {
    let mut balancer = ready(&[("d1", server("web", "a", 1)), ("d2", server("web", "a", 2))]);
    let chosen: Vec<_> = (0..8).map(|_| sent(&mut balancer, ms(0), "/safe/scan").1).collect();
    assert_eq!(chosen.iter().filter(|name| *name == "d1").count(), 4);
}

#[test]
fn choose_refuses_when_all_are_full() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    let mut refusal = None;
    for _ in 0..40 {
        let mut ticket = balancer.admit(ms(0), &submission("/safe/scan")).unwrap();
        if let Err(refused) = balancer.choose(ms(0), &mut ticket) {
            refusal = Some(refused);
        }
    }
    let refusal = refusal.unwrap();
    assert_eq!((refusal.reason, refusal.status), (Reason::Full, 503));
}

#[test]
fn fail_misdirected_server_is_skipped_until_it_registers_again() {
    let mut balancer = ready(&[("d1", server("web", "a", 1))]);
    let (mut ticket, _) = sent(&mut balancer, ms(2000), "/safe/scan");
    assert!(matches!(
        balancer.fail(ms(2001), &mut ticket, Outcome::Misdirected),
        Decision::Stop(_)
    ));
    let mut second = balancer.admit(ms(2002), &submission("/safe/scan")).unwrap();
    assert!(balancer.choose(ms(2002), &mut second).is_err());
    let newer = balance::content::Server { started_ms: 2, ..server("web", "a", 1) };
    balancer.apply(ms(2003), listing(20, &[("d1", newer)]));
    assert!(balancer.choose(ms(2003), &mut second).is_ok());
}

#[test]
fn fail_pauses_server_after_several_failures() {
    let mut balancer = ready(&[("d1", server("web", "a", 1)), ("d2", server("web", "a", 2))]);
    for _ in 0..2 {
        let mut ticket = balancer.admit(ms(2000), &submission("/safe/scan")).unwrap();
        while balancer.choose(ms(2000), &mut ticket).unwrap().server != "d1" {
            ticket.tried.clear();
        }
        balancer.fail(ms(2000), &mut ticket, Outcome::Failed);
    }
    for _ in 0..8 {
        assert_eq!(sent(&mut balancer, ms(2010), "/safe/scan").1, "d2");
    }
}

#[test]
fn fail_retries_stay_within_the_budget() {
    let mut balancer = with_services(3);
    let mut retries = 0;
    for step in 0..500 {
        let now = ms(5000 + step);
        let Ok(mut ticket) = balancer.admit(now, &submission("/safe/scan")) else { continue };
        let Ok(target) = balancer.choose(now, &mut ticket) else { continue };
        if matches!(balancer.fail(now, &mut ticket, Outcome::Refused), Decision::Retry(_)) {
            retries += 1;
        }
        balancer.release(&target.server);
    }
    // 0.2 x 500 by the ratio, plus 0.5 s at a tenth of the slack per second, plus
    // the maximum of accumulated retries.
    assert!(retries <= 100 + 2 + 20, "{retries}");
}

#[test]
fn admit_refuses_request_that_crashed_three_servers() {
    let mut balancer = with_services(4);
    let (mut ticket, _) = sent(&mut balancer, ms(2000), "/safe/scan");
    for _ in 0..3 {
        balancer.fail(ms(2001), &mut ticket, Outcome::Broken);
    }
    let refusal = balancer.admit(ms(2002), &submission("/safe/scan")).unwrap_err();
    assert_eq!((refusal.reason, refusal.status), (Reason::Crashes, 503));
    let other = balance::Submission { fingerprint: 2, ..submission("/safe/scan") };
    assert!(balancer.admit(ms(2002), &other).is_ok());
}

/// Other requests crash servers three times while a stream runs there. The stream
/// produced events each time, so it isn't refused.
#[test]
fn fail_cut_of_producing_stream_is_no_crash() {
    let servers = [1, 2, 3, 4].map(|port| (format!("m{port}"), server("models", "a", port)));
    let named = servers.each_ref().map(|(name, server)| (name.as_str(), server.clone()));
    let mut balancer = ready(&named);
    for at in [2000, 4000, 6000] {
        let (mut ticket, _) = sent(&mut balancer, ms(at), "/stream/notes");
        ticket.begun = true;
        balancer.fail(ms(at + 1), &mut ticket, Outcome::Broken);
    }
    assert!(balancer.admit(ms(6002), &submission("/stream/notes")).is_ok());
}

#[test]
fn apply_listing_out_of_order_changes_nothing() {
    let mut balancer = with_services(1);
    balancer.apply(ms(0), configured(30, common::config(5)));
    balancer.apply(ms(0), configured(20, common::config(4)));
    assert_eq!(balancer.config().unwrap().version, 5);
}

/// While a rank group is down, `Retry-After` points to its expected recovery, is
/// spread over callers and stays within a third of the caller's remaining time.
#[test]
fn choose_in_outage_spreads_retries() {
    let mut balancer = ready(&[("r1", rank(1, false))]);
    let mut waits = Vec::new();
    for _ in 0..50 {
        let mut ticket = balancer
            .admit(ms(0), &balance::Submission { caller_timeout: None, ..submission("/stream/n") });
        let refusal = balancer.choose(ms(0), ticket.as_mut().unwrap()).unwrap_err();
        waits.push(refusal.retry_after.unwrap());
    }
    assert!(waits.iter().all(|wait| *wait >= ms(1400) && *wait <= ms(8000) / 3));
    let spread = *waits.iter().max().unwrap() - *waits.iter().min().unwrap();
    assert!(spread > ms(600), "{spread:?}");
    let mut short = balancer.admit(ms(0), &submission("/stream/n")).unwrap();
    assert!(balancer.choose(ms(0), &mut short).unwrap_err().retry_after.unwrap() <= ms(4000) / 3);
}

/// A rank group stalls for seconds, for example because one of its hosts is
/// frozen. Its ranks must not be paused, since the group may resume at any time.
#[test]
fn fail_timed_out_ranks_are_not_paused() {
    let mut balancer = ready(&[("r1", rank(1, true)), ("r2", rank(2, true))]);
    for step in 0..6 {
        let now = ms(2000 + step);
        let (mut ticket, server) = sent(&mut balancer, now, "/stream/notes");
        balancer.fail(now, &mut ticket, Outcome::TimedOut);
        balancer.release(&server);
    }
    assert!(!matches!(
        balancer
            .admit(ms(2010), &submission("/stream/notes"))
            .map(|mut ticket| { balancer.choose(ms(2010), &mut ticket) }),
        Ok(Err(balance::Refusal { reason: Reason::NoServer, .. }))
    ));
}

#[test]
fn fail_timed_out_plain_servers_are_paused() {
    let mut balancer = ready(&[("d1", server("web", "a", 1)), ("d2", server("web", "a", 2))]);
    for _ in 0..2 {
        let mut ticket = balancer.admit(ms(2000), &submission("/safe/scan")).unwrap();
        ticket.tried.push("d2".into());
        balancer.choose(ms(2000), &mut ticket).unwrap();
        balancer.fail(ms(2000), &mut ticket, Outcome::TimedOut);
    }
    for _ in 0..4 {
        assert_eq!(sent(&mut balancer, ms(2010), "/safe/scan").1, "d2");
    }
}

/// One slow rank makes all passes of its group many times as long, here 800 ms
/// instead of 50 ms: a stream that waits must not move to another rank. Once the
/// passes are short again, a stalled stream points to its own rank.
#[test]
fn is_slow_pool_with_long_passes() {
    let mut balancer = ready(&[("r1", rank(1, true)), ("r2", rank(2, true))]);
    let pool = "models".into();
    assert!(!balancer.is_slow(ms(1000), "models", "r1"), "no stream yet");
    let pass = |balancer: &mut balance::Balancer, from, gap, passes| {
        for step in 1..=passes {
            balancer.record_gap(ms(from + gap * step), &pool, "r1", ms(gap));
        }
        from + gap * passes
    };
    let at = pass(&mut balancer, 1000, 50, 40);
    assert!(!balancer.is_slow(ms(at), "models", "r1"));
    let at = pass(&mut balancer, at, 800, 10);
    assert!(balancer.is_slow(ms(at), "models", "r1"));
    let at = pass(&mut balancer, at, 50, 40);
    assert!(!balancer.is_slow(ms(at), "models", "r1"));
}

/// No stream of the pool makes progress: with work at several ranks, the group is
/// stalled; with work at one rank only, that rank may be unreachable.
#[test]
fn is_slow_stalled_pool() {
    let mut balancer = ready(&[("r1", rank(1, true)), ("r2", rank(2, true))]);
    let (_, one) = sent(&mut balancer, ms(2000), "/stream/notes");
    balancer.record_gap(ms(2000), &"models".into(), "r1", ms(50));
    assert!(!balancer.is_slow(ms(3700), "models", &one));
    let (_, other) = sent(&mut balancer, ms(2000), "/stream/notes");
    assert_ne!(one, other);
    assert!(balancer.is_slow(ms(3700), "models", &one));
}

/// With passes of 800 ms, as with one slow rank, fewer requests are admitted, down
/// to half of the slots. Once passes are short, the limit is normal again.
#[test]
fn choose_fewer_while_passes_are_long() {
    let mut balancer = ready(&[("r1", rank(1, true))]);
    let open = |balancer: &mut balance::Balancer, at| {
        let mut sent = 0;
        loop {
            let mut ticket = balancer.admit(ms(at), &submission("/stream/notes")).unwrap();
            match balancer.choose(ms(at), &mut ticket) {
                Ok(_) => sent += 1,
                Err(refusal) => {
                    assert_eq!((refusal.reason, refusal.status), (Reason::Full, 503));
                    assert!(refusal.retry_after.is_some());
                    break;
                }
            }
        }
        (0..sent).for_each(|_| balancer.release("r1"));
        sent
    };
    let pool = "models".into();
    let normal = open(&mut balancer, 1000);
    for step in 1..=10 {
        balancer.record_gap(ms(1000 + 800 * step), &pool, "r1", ms(800));
    }
    let long = open(&mut balancer, 9000);
    assert!(long < normal / 2, "{long} of {normal}");
    assert!(long >= 2, "half of the four slots");
    for step in 1..=120 {
        balancer.record_gap(ms(9000 + 50 * step), &pool, "r1", ms(50));
    }
    assert_eq!(open(&mut balancer, 15_000), normal);
}

/// Gaps of 250 ms are too long for an accepted gap of 120 ms but not for 200 ms.
#[rstest]
#[case::short_gap(120, true)]
#[case::long_gap(200, false)]
fn record_gap_against_accepted_gap(#[case] accepted: u64, #[case] fewer: bool) {
    let mut config = common::config(5);
    config.routes[0].gap = Some(ms(accepted));
    let mut balancer = ready(&[("r1", rank(1, true))]);
    balancer.apply(ms(10), configured(20, config));
    let (_, server) = sent(&mut balancer, ms(1000), "/stream/notes");
    balancer.release(&server);
    let shares = (1..=20).filter_map(|step| {
        balancer.record_gap(ms(1000 + 500 * step), &"models".into(), "r1", ms(250))
    });
    assert_eq!(shares.count() > 0, fewer);
}
