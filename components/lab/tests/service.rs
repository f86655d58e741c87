//! The stand-in service over loopback.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use awc::Client;
use lab::service::{KEY_HEADER, RUN_ID_HEADER, Settings, expected, serve};

/// Longest wait for an answer.
const DEADLINE: Duration = Duration::from_secs(30);

fn client() -> Client {
    Client::builder().timeout(DEADLINE).finish()
}

#[actix_rt::test]
async fn post_twice_counts_double() {
    let service = serve(Settings::default()).unwrap();
    let url = service.handle.to_url();
    for run in ["r1", "r2"] {
        let request = client().post(format!("{url}/bookings?x=1"));
        let request = request.insert_header((KEY_HEADER, "k")).insert_header((RUN_ID_HEADER, run));
        let mut response = request.send_body("bench 3").await.unwrap();
        assert_eq!(response.body().await.unwrap(), expected("/bookings", b"bench 3"));
    }
    assert_eq!(service.runs()["k"], 2);
    let mut response = client().get(format!("{url}/control/runs?by=run_id")).send().await.unwrap();
    let runs: BTreeMap<String, u64> = response.json().await.unwrap();
    assert_eq!(runs, [("r1".to_owned(), 1), ("r2".to_owned(), 1)].into());
}

#[actix_rt::test]
async fn get_availability() {
    let service = serve(Settings::default()).unwrap();
    let url = service.handle.to_url();
    let mut response = client().get(format!("{url}/availability/3")).send().await.unwrap();
    assert_eq!(response.body().await.unwrap(), expected("/availability/3", b""));
    let mut response = client().get(format!("{url}/control/runs")).send().await.unwrap();
    assert_eq!(response.body().await.unwrap(), "{}");
}

/// A request that hangs is cut off by the crash, and both have run.
#[actix_rt::test]
async fn post_marked_runs_without_answer() {
    let (crash_marker, hang_marker) = (Some("boom".into()), Some("wait".into()));
    let service = serve(Settings { crash_marker, hang_marker, ..Settings::default() }).unwrap();
    let url = service.handle.to_url();
    let post = |key: &'static str, body: &'static str| {
        let request = client().post(format!("{url}/b")).insert_header((KEY_HEADER, key));
        async move {
            match request.send_body(body).await {
                Ok(mut response) => response.body().await.is_ok(),
                Err(_) => false,
            }
        }
    };
    let hanging = actix_rt::spawn(post("hang", "wait for it"));
    let started = Instant::now();
    while !service.runs().contains_key("hang") {
        assert!(started.elapsed() < DEADLINE);
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!post("crash", "go boom").await);
    assert!(!hanging.await.unwrap());
    assert!(post("calm", "bench").await);
    assert_eq!(service.runs().into_values().collect::<Vec<_>>(), [1, 1, 1]);
}
