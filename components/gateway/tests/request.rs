//! Translation of callers' requests.
#![allow(clippy::unwrap_used)]

use gateway::request::Request;
use rstest::rstest;

fn request(key: &str, target: &str, body: &'static [u8]) -> Request {
    let (head, ()) = http::Request::post(target)
        .header("host", "shop.example")
        .header("authorization", format!("Bearer {key}"))
        .body(())
        .unwrap()
        .into_parts();
    let mut request = Request::read(&head).unwrap();
    request.body = body.into();
    request
}

/// Requests whose parts differ but join to the same bytes. A sound one was blocked with
/// another that crashes servers.
#[rstest]
#[case::target_and_body(["k", "/safe/ab", ""], ["k", "/safe/a", "b"])]
#[case::key_and_target(["k/safe", "/a", "x"], ["k", "/safe/a", "x"])]
fn fingerprint_of_other_parts(#[case] first: [&'static str; 3], #[case] second: [&'static str; 3]) {
    let fingerprint = |[key, target, body]: [&'static str; 3]| {
        request(key, target, body.as_bytes()).fingerprint()
    };
    assert_ne!(fingerprint(first), fingerprint(second));
    assert_eq!(fingerprint(first), fingerprint(first));
}
