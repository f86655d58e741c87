//! The platform client against the stand-in over loopback.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use lab::platform::{Fault, Handle, Settings, serve};
use platform::{Client, Error, Expect};
use rstest::rstest;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);
const WAIT: Duration = Duration::from_secs(10);

fn start(settings: Settings) -> (Handle, Client) {
    let handle = serve("127.0.0.1:0".parse().unwrap(), settings).unwrap();
    let client = Client::new(vec![handle.url()], TIMEOUT);
    (handle, client)
}

fn faulty(fault: Fault) -> Settings {
    Settings { fault, ..Settings::default() }
}

#[actix_rt::test]
async fn put_absent_then_read() {
    let (_handle, client) = start(Settings::default());
    let value = json!({"out": true});
    let version = client.put("zone", "accra-1", Expect::Absent, &value).await.unwrap();
    let object = client.get("zone", "accra-1").await.unwrap().unwrap();
    assert_eq!((object.version, object.value), (version, value));
    assert_eq!(client.get("zone", "kumasi-1").await, Ok(None));
}

#[actix_rt::test]
async fn put_name_with_reserved_characters() {
    let (_handle, client) = start(Settings::default());
    let name = "a/b c?d#é%2F";
    client.put("claim-benches", name, Expect::Absent, &json!(1)).await.unwrap();
    assert_eq!(client.get("claim-benches", name).await.unwrap().unwrap().name, name);
    let listing = client.list("claim-benches").await.unwrap();
    assert_eq!(listing.objects[0].name, name);
}

#[actix_rt::test]
async fn put_old_version_conflicts_with_both_sides() {
    let (_handle, client) = start(Settings::default());
    let first = client.put("zone", "a", Expect::Absent, &json!({"out": true})).await.unwrap();
    let second =
        client.put("zone", "a", Expect::Version(first), &json!({"out": false})).await.unwrap();
    let error = client.put("zone", "a", Expect::Version(first), &json!({})).await.unwrap_err();
    let Error::Conflict { current: Some(current) } = error else { panic!("{error:?}") };
    assert_eq!((current.version, current.value), (second, json!({"out": false})));
}

#[actix_rt::test]
async fn delete_absent_conflicts() {
    let (_handle, client) = start(Settings::default());
    let result = client.delete("zone", "a", Expect::Version(3)).await;
    assert_eq!(result, Err(Error::Conflict { current: None }));
    let result = client.delete("zone", "a", Expect::Absent).await;
    assert_eq!(result, Err(Error::Conflict { current: None }));
}

#[actix_rt::test]
async fn put_again_after_delete_takes_new_version() {
    let (_handle, client) = start(Settings::default());
    let first = client.put("zone", "a", Expect::Absent, &json!(1)).await.unwrap();
    let gone = client.delete("zone", "a", Expect::Version(first)).await.unwrap();
    let again = client.put("zone", "a", Expect::Absent, &json!(1)).await.unwrap();
    assert!(first < gone && gone < again);
}

#[actix_rt::test]
async fn put_lost_reply_is_unknown_and_took_effect() {
    let (handle, client) = start(faulty(Fault { lose_replies: 1, ..Fault::default() }));
    let result = client.put("zone", "a", Expect::Absent, &json!(7)).await;
    assert_eq!(result, Err(Error::Unknown));
    assert_eq!(client.get("zone", "a").await.unwrap().unwrap().value, json!(7));
    assert_eq!(handle.calls().lost, 1);
    assert_eq!(handle.calls().put, 1, "a write that may have arrived is not sent again");
}

#[actix_rt::test]
async fn call_in_outage_has_no_effect() {
    let (handle, client) = start(faulty(Fault { outage: true, ..Fault::default() }));
    assert_eq!(client.get("zone", "a").await, Err(Error::Unreachable));
    assert_eq!(client.put("zone", "a", Expect::Absent, &json!(1)).await, Err(Error::Unknown));
    handle.set_fault(Fault::default());
    assert_eq!(client.get("zone", "a").await, Ok(None));
}

#[actix_rt::test]
async fn put_refused_connection_goes_to_next_url() {
    let (handle, _) = start(Settings::default());
    let urls = vec!["http://127.0.0.1:1".into(), handle.url()];
    let client = Client::new(urls, TIMEOUT);
    assert_eq!(client.put("zone", "a", Expect::Absent, &json!(1)).await, Ok(1));
}

#[actix_rt::test]
async fn put_refused_connection_is_unreachable() {
    let client = Client::new(vec!["http://127.0.0.1:1".into()], TIMEOUT);
    let result = client.put("zone", "a", Expect::Absent, &json!(1)).await;
    assert_eq!(result, Err(Error::Unreachable));
}

#[actix_rt::test]
async fn put_slow_platform_is_unknown() {
    let latency = Duration::from_secs(60);
    let (handle, _) = start(faulty(Fault { latency, ..Fault::default() }));
    let client = Client::new(vec![handle.url()], Duration::from_millis(300));
    let result = client.put("zone", "a", Expect::Absent, &json!(1)).await;
    assert_eq!(result, Err(Error::Unknown));
}

#[rstest]
#[case::at_limit((1 << 20) - 2, true)]
#[case::over_limit((1 << 20) - 1, false)]
#[actix_rt::test]
async fn put_large(#[case] letters: usize, #[case] fits: bool) {
    let (_handle, client) = start(Settings::default());
    let value = Value::String("x".repeat(letters));
    let result = client.put("group", "g", Expect::Absent, &value).await;
    assert_eq!(result.is_ok(), fits);
    if !fits {
        assert_eq!(result, Err(Error::TooLarge { size: letters + 2 }));
    }
}

#[actix_rt::test]
async fn put_over_rate_is_busy_without_effect() {
    let settings = Settings { writes_per_second: Some(1), ..Settings::default() };
    let (handle, client) = start(settings);
    let mut busy = None;
    for number in 0..50 {
        let name = format!("z{number}");
        let result = client.put("zone", &name, Expect::Absent, &json!(1)).await;
        if let Err(Error::Busy { retry_after }) = result {
            busy = Some((name, retry_after));
            break;
        }
    }
    let (name, retry_after) = busy.unwrap();
    assert!(retry_after > Duration::ZERO && retry_after <= Duration::from_secs(1));
    assert_eq!(client.get("zone", &name).await, Ok(None));
    assert_eq!(handle.calls().busy, 1);
}

#[actix_rt::test]
async fn list_pages_through_all() {
    let (handle, client) = start(Settings { page: 3, ..Settings::default() });
    for number in 0..8 {
        let name = format!("p{number}");
        client.put("pool", &name, Expect::Absent, &json!(number)).await.unwrap();
    }
    client.put("poolside", "x", Expect::Absent, &json!(0)).await.unwrap();
    let listing = client.list("pool").await.unwrap();
    assert_eq!(listing.objects.len(), 8);
    assert_eq!(listing.revision, 9);
    assert_eq!(handle.calls().list, 3);
}

#[actix_rt::test]
async fn watch_returns_last_change_of_each_object() {
    let (_handle, client) = start(Settings::default());
    let first = client.put("zone", "a", Expect::Absent, &json!(1)).await.unwrap();
    let last = client.put("zone", "a", Expect::Version(first), &json!(2)).await.unwrap();
    client.put("claim-x", "k", Expect::Absent, &json!(0)).await.unwrap();
    let changes = client.watch(&["zone", "pool"], 0, WAIT).await.unwrap();
    assert_eq!(changes.revision, 3);
    assert_eq!(changes.changes.len(), 1);
    assert_eq!(changes.changes[0].version, last);
}

#[actix_rt::test]
async fn watch_waits_for_change() {
    let (handle, client) = start(Settings::default());
    let watcher = client.clone();
    let waiting = actix_rt::spawn(async move { watcher.watch(&["zone"], 0, WAIT).await });
    while handle.calls().waiting == 0 {
        actix_rt::task::yield_now().await;
    }
    client.put("zone", "a", Expect::Absent, &json!(1)).await.unwrap();
    let changes = waiting.await.unwrap().unwrap();
    assert_eq!(changes.changes.len(), 1);
    assert_eq!(handle.calls().watch, 1);
}

#[actix_rt::test]
async fn watch_late_still_brings_change() {
    let watch_delay = Duration::from_millis(200);
    let (_handle, client) = start(faulty(Fault { watch_delay, ..Fault::default() }));
    client.put("zone", "a", Expect::Absent, &json!(1)).await.unwrap();
    let changes = client.watch(&["zone"], 0, Duration::ZERO).await.unwrap();
    assert_eq!(changes.changes.len(), 1);
}

#[actix_rt::test]
async fn watch_too_old_is_gone() {
    let (_handle, client) = start(Settings { history: 2, ..Settings::default() });
    for number in 0..5 {
        let name = format!("z{number}");
        client.put("zone", &name, Expect::Absent, &json!(1)).await.unwrap();
    }
    assert_eq!(client.watch(&["zone"], 1, WAIT).await, Err(Error::Gone));
    assert_eq!(client.watch(&["zone"], 3, WAIT).await.unwrap().changes.len(), 2);
}

#[actix_rt::test]
async fn watch_is_cut_off_by_outage() {
    let (handle, client) = start(Settings::default());
    let waiting = actix_rt::spawn(async move { client.watch(&["zone"], 0, WAIT).await });
    while handle.calls().waiting == 0 {
        actix_rt::task::yield_now().await;
    }
    handle.set_fault(Fault { outage: true, ..Fault::default() });
    assert_eq!(waiting.await.unwrap(), Err(Error::Unreachable));
}

#[actix_rt::test]
async fn watch_over_waiting_limit_is_busy() {
    let (handle, client) = start(Settings { waiting_limit: Some(1), ..Settings::default() });
    let watcher = client.clone();
    let waiting = actix_rt::spawn(async move { watcher.watch(&["zone"], 0, WAIT).await });
    while handle.calls().waiting == 0 {
        actix_rt::task::yield_now().await;
    }
    let second = client.watch(&["zone"], 0, WAIT).await;
    assert!(matches!(second, Err(Error::Busy { .. })));
    waiting.abort();
}

#[actix_rt::test]
async fn fault_and_calls_over_http() {
    let (handle, client) = start(Settings::default());
    let http = awc::Client::default();
    let url = handle.url();
    let fault = json!({"outage": true});
    let reply = http.post(format!("{url}/control/fault")).send_json(&fault).await.unwrap();
    assert_eq!(reply.status().as_u16(), 204);
    assert_eq!(client.get("zone", "a").await, Err(Error::Unreachable));
    let mut reply = http.get(format!("{url}/control/calls")).send().await.unwrap();
    let calls: lab::platform::Calls = reply.json().await.unwrap();
    assert_eq!((calls.get, calls.outage), (1, 1));
}
