//! Load reports: confidence by age, and correction by this entry's requests.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use routing::report::{Tracker, View};
use rstest::rstest;
use wire::Report;

const NOW: Duration = Duration::from_secs(100);

#[rstest]
#[case::fresh(100, 1.0)]
#[case::half(600, 0.5)]
#[case::quarter(1100, 0.25)]
#[case::expired(10_000, 0.0)]
fn confidence_of_report(#[case] age: u64, #[case] confidence: f64) {
    let mut tracker = Tracker::default();
    tracker.observe(NOW, &"s1".into(), Report::default());
    let view = tracker.view(NOW + Duration::from_millis(age), "s1");
    assert!((view.confidence - confidence).abs() < 1e-9, "{view:?}");
}

#[test]
fn view_corrected_by_own_requests() {
    let mut tracker = Tracker::default();
    let server = "s1".into();
    tracker.observe(NOW, &server, Report { running: 3, prefill: 100, ..Report::default() });
    tracker.started(NOW, &server, 50);
    tracker.started(NOW, &server, 70);
    tracker.ended(NOW, &server, 50);
    let report = tracker.view(NOW, "s1").report.unwrap();
    assert_eq!((report.running, report.prefill), (4, 170));
    assert_eq!((tracker.in_flight("s1"), tracker.tokens("s1")), (1, 70));
    tracker.observe(NOW, &server, Report { running: 5, ..Report::default() });
    assert_eq!(tracker.view(NOW, "s1").report.unwrap().running, 5);
    assert_eq!(tracker.in_flight("s1"), 1);
}

#[test]
fn view_of_unknown_server() {
    let mut tracker = Tracker::default();
    tracker.observe(NOW, &"s1".into(), Report::default());
    tracker.remove("s1");
    assert_eq!(tracker.view(NOW, "s1"), View::default());
}
