//! Backend server selection and prefix cache estimates.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::choice::{Candidate, choose, score};
use routing::experiment::{Policy, Setting, run};
use routing::prefix::{EXPIRY, HOLDER_LIMIT, Prefix};
use routing::report::View;
use rstest::rstest;
use wire::Report;

const NOW: Duration = Duration::from_secs(1);

fn candidate(name: &str, report: Report) -> Candidate {
    let view = View { report: Some(report), age: Duration::ZERO, confidence: 1.0 };
    let server = name.into();
    Candidate { server, same_zone: true, in_service: true, view, in_flight: 0, cached: 0.0 }
}

fn idle(name: &str) -> Candidate {
    candidate(name, Report { limit: 32, ..Report::default() })
}

/// Number of times each candidate is chosen in 300 trials.
fn tally(candidates: &[Candidate]) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..300 {
        counts[choose(&mut rng, candidates, 1000).unwrap()] += 1;
    }
    counts
}

#[rstest]
#[case::out(Candidate { in_service: false, ..idle("a") })]
#[case::leaving(candidate("a", Report { limit: 32, leaving: true, ..Report::default() }))]
fn choose_skips_ineligible(#[case] ineligible: Candidate) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(choose(&mut rng, std::slice::from_ref(&ineligible), 100), None);
    assert_eq!(tally(&[ineligible, idle("b")]), [0, 300]);
}

#[test]
fn choose_cold_backend_server_lightly() {
    let cold = candidate("a", Report { limit: 2, cold: true, ..Report::default() });
    let busy = Candidate { in_flight: 1, ..cold };
    let loaded = Report { running: 20, prefill: 5000, limit: 32, ..Report::default() };
    assert_eq!(tally(&[busy, candidate("b", loaded), candidate("c", loaded)])[0], 0);
}

#[test]
fn choose_less_loaded() {
    let loaded =
        candidate("a", Report { running: 30, prefill: 9000, limit: 32, ..Report::default() });
    assert_eq!(tally(&[loaded, idle("b")]), [0, 300]);
}

#[test]
fn choose_same_zone() {
    let far = Candidate { same_zone: false, ..idle("a") };
    assert_eq!(tally(&[far, idle("b")]), [0, 300]);
}

#[test]
fn choose_cached_beyond_sample() {
    let mut candidates: Vec<Candidate> = (0..40).map(|i| idle(&format!("s{i}"))).collect();
    candidates[17].cached = 0.9;
    assert_eq!(tally(&candidates)[17], 300);
}

#[test]
fn choose_spills_from_crowded_cache_holder() {
    let mut candidates: Vec<Candidate> = (0..40).map(|i| idle(&format!("s{i}"))).collect();
    candidates[17].cached = 0.9;
    candidates[17].in_flight = 20;
    assert!(tally(&candidates)[17] < 60);
}

#[test]
fn score_discounts_stale_report() {
    let loaded = Report { running: 30, prefill: 9000, limit: 32, ..Report::default() };
    let fresh = candidate("a", loaded);
    let mut stale = fresh.clone();
    stale.view.confidence = 0.1;
    assert!(score(&stale, 100) < score(&fresh, 100) * 0.5);
}

#[test]
fn prefix_hit_despite_gaps() {
    let body: Vec<u8> = (0..4096u32).map(|i| (i / 512) as u8).collect();
    let blocks = Prefix::blocks(&body);
    let mut prefix = Prefix::default();
    prefix.record(NOW, &"s1".into(), &blocks[5..6]);
    assert_eq!(prefix.hit(NOW, "s1", &blocks), 0.75);
    assert_eq!(prefix.hit(NOW, "s2", &blocks), 0.0);
    assert_eq!(prefix.shares(NOW, &blocks)["s1"], 0.75);
}

#[test]
fn prefix_of_other_conversation() {
    let mut prefix = Prefix::default();
    prefix.record(NOW, &"s1".into(), &Prefix::blocks(&[1; 2048]));
    assert_eq!(prefix.hit(NOW, "s1", &Prefix::blocks(&[2; 2048])), 0.0);
}

#[test]
fn prefix_expires() {
    let mut prefix = Prefix::default();
    prefix.record(NOW, &"s1".into(), &[1, 2]);
    assert_eq!(prefix.hit(NOW + EXPIRY, "s1", &[1, 2]), 0.0);
    prefix.record(NOW + EXPIRY, &"s1".into(), &[3]);
    assert_eq!(prefix.len(), 1);
}

#[test]
fn prefix_removes_restarted_server() {
    let mut prefix = Prefix::default();
    prefix.record(NOW, &"s1".into(), &[1, 2]);
    prefix.record(NOW, &"s2".into(), &[1]);
    prefix.remove_server("s1");
    assert_eq!(prefix.hit(NOW, "s1", &[1, 2]), 0.0);
    assert_eq!(prefix.hit(NOW, "s2", &[1, 2]), 0.5);
}

#[test]
fn prefix_bounded() {
    let mut prefix = Prefix::default();
    for block in 0..HOLDER_LIMIT as u64 + 500 {
        prefix.record(NOW + Duration::from_micros(block), &"s1".into(), &[block]);
    }
    assert!(prefix.len() <= HOLDER_LIMIT);
    assert_eq!(prefix.hit(NOW, "s1", &[0]), 0.0);
    assert_eq!(prefix.hit(NOW, "s1", &[HOLDER_LIMIT as u64 + 499]), 1.0);
}

/// Guards against a scored choice that has a higher p95 first-token latency than
/// the least-in-flight baseline or than the choice without cache information,
/// with reports up to 300 ms old (100 ms here), or that overloads cold servers.
#[test]
fn choice_beats_baselines() {
    let run_with = |policy| {
        let lag = Duration::from_millis(100);
        run(Setting { seed: 1, policy, lag, gaps: 0.3, load: 0.6 })
    };
    let scored = run_with(Policy::Scored);
    assert!(scored.p95 < run_with(Policy::LeastInFlight).p95);
    assert!(scored.p95 < run_with(Policy::Uncached).p95);
    assert!(scored.cold_queue <= 4, "{scored:?}");
}
