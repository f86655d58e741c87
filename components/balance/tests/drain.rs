//! Planned stops: requests that come late, and those that are still open at the end.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use balance::drain::Drain;
use balance::freshness::Bounds;
use balance::{Decision, Limits, Outcome, Reason};
use common::*;
use rstest::rstest;

const STOPPED_AT: Duration = Duration::from_secs(60);

const LIMITS: Limits =
    Limits { retry_ratio: 0.2, retry_slack: 30.0, retry_window: Duration::from_secs(10) };

#[rstest]
#[case::usual(8000, 2500, 7700)]
#[case::long(60_000, 2500, 59_700)]
#[case::short(1000, 500, 700)]
#[case::very_short(200, 100, 100)]
#[case::none(0, 0, 0)]
fn new_fits_grace_period(#[case] grace: u64, #[case] accepts: u64, #[case] ends: u64) {
    let drain = Drain::new(STOPPED_AT, Duration::from_millis(grace));
    assert_eq!(drain.accepts_until(), STOPPED_AT + Duration::from_millis(accepts));
    assert_eq!(drain.ends_at(), STOPPED_AT + Duration::from_millis(ends));
}

/// A request that is complete late in a planned stop must not be passed on.
#[rstest]
#[case::at_once(0, None)]
#[case::in_time(2400, None)]
#[case::late(2600, Some(Reason::Leaving))]
#[case::at_the_end(7900, Some(Reason::Leaving))]
fn admit_until_drain_closes(#[case] after: u64, #[case] reason: Option<Reason>) {
    let mut balancer = ready(&[("d0", server("web", "a", 1))]);
    balancer.leave(STOPPED_AT);
    let admitted = balancer.admit(STOPPED_AT + ms(after), &submission("/once/book"));
    let refusal = admitted.err();
    assert_eq!(refusal.map(|refusal| refusal.reason), reason);
    if let Some(refusal) = refusal {
        // Other entries serve it at once.
        assert_eq!((refusal.status, refusal.retry_after), (503, Some(Duration::ZERO)));
    }
}

/// What is still open at the end gets a final response, and no further attempt.
#[rstest]
#[case::once("/once/book", Outcome::Stopped, 502)]
#[case::idempotent("/safe/scan", Outcome::Stopped, 502)]
#[case::not_sent("/safe/scan", Outcome::ConnectFailed, 503)]
#[case::refused("/once/book", Outcome::Refused, 503)]
fn fail_at_end_of_drain(#[case] path: &str, #[case] outcome: Outcome, #[case] status: u16) {
    let servers = [("d0", server("web", "a", 1)), ("d1", server("web", "b", 2))];
    let mut balancer = ready(&servers);
    let mut ticket = balancer.admit(STOPPED_AT, &submission(path)).unwrap();
    balancer.choose(STOPPED_AT, &mut ticket).unwrap();
    balancer.set_limits(LIMITS, Bounds::default(), ms(3000));
    let drain = balancer.leave(STOPPED_AT);
    let decision = balancer.fail(drain.ends_at(), &mut ticket, outcome);
    let Decision::Stop(refusal) = decision else { panic!("{decision:?}") };
    assert_eq!((refusal.reason, refusal.status), (Reason::Leaving, status));
}
