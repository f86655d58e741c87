//! Load reports: confidence by age, and correction by this entry's requests.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use routing::report::{Book, View};
use rstest::rstest;
use wire::Report;

const NOW: Duration = Duration::from_secs(100);

#[rstest]
#[case::fresh(100, 1.0)]
#[case::half(600, 0.5)]
#[case::quarter(1100, 0.25)]
#[case::expired(10_000, 0.0)]
fn trust_of_report(#[case] age: u64, #[case] trust: f64) {
    let mut book = Book::default();
    book.observe(NOW, &"s1".into(), Report::default());
    let view = book.view(NOW + Duration::from_millis(age), "s1");
    assert!((view.trust - trust).abs() < 1e-9, "{view:?}");
}

#[test]
fn view_corrected_by_own_requests() {
    let mut book = Book::default();
    let server = "s1".into();
    book.observe(NOW, &server, Report { running: 3, prefill: 100, ..Report::default() });
    book.started(NOW, &server, 50);
    book.started(NOW, &server, 70);
    book.ended(NOW, &server, 50);
    let report = book.view(NOW, "s1").report.unwrap();
    assert_eq!((report.running, report.prefill), (4, 170));
    assert_eq!((book.in_flight("s1"), book.tokens("s1")), (1, 70));
    book.observe(NOW, &server, Report { running: 5, ..Report::default() });
    assert_eq!(book.view(NOW, "s1").report.unwrap().running, 5);
    assert_eq!(book.in_flight("s1"), 1);
}

#[test]
fn view_of_unknown_server() {
    let mut book = Book::default();
    book.observe(NOW, &"s1".into(), Report::default());
    book.forget("s1");
    assert_eq!(book.view(NOW, "s1"), View::default());
}
