//! A request that crashes each engine that runs it, sent again and again.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lab::engine;
use rstest::rstest;
use system::caller;
use system::cluster::{Cluster, Plan, explain, wait_for};

/// What a prompt contains that crashes its engine.
const MARKER: &str = "poisonous";
/// Times that the request is sent.
const SENDS: usize = 50;
/// Most crashes. The request is sent one at a time, and each time only once the
/// evidence of the last time is known everywhere: two crashes beside other
/// requests ([`admission::suspect::SHARED_CRASHES`]), and one alone.
const CRASH_LIMIT: u64 = admission::suspect::SHARED_CRASHES as u64 + 1;
/// Tokens of an innocent stream.
const TOKENS: u32 = 40;
/// Time after which a caller that was refused comes back.
const COME_BACK: Duration = Duration::from_millis(100);

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];

fn plan(report_lag: Duration) -> Plan {
    let engine = engine::Settings {
        report_lag,
        crash_marker: Some(MARKER.into()),
        restart: Duration::from_millis(200),
        ..Default::default()
    };
    Plan {
        entries: ENTRIES.to_vec(),
        engines: ENGINES.iter().map(|name| (*name, "accra-1")).collect(),
        services: Vec::new(),
        engine,
        ..Plan::default()
    }
}

/// The incarnation of each engine, which rises by one with each crash.
async fn incarnations(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for engine in cluster.engines.values() {
        let url = format!("{}/v1/load", engine.to_url());
        let mut response = awc::Client::default().get(url).send().await.unwrap();
        let load: engine::Load = response.json().await.unwrap();
        sum += load.incarnation;
    }
    sum
}

/// What became of the innocent streams of one caller.
#[derive(Debug, Default)]
struct Tally {
    whole: u64,
    /// Bodies of streams that ended with a problem, and the entry's account.
    broken: Vec<String>,
}

/// Streams one after the other until told to stop. One that finds its engine
/// starting may be told to come back, before any of its answer. What comes
/// must be right, byte by byte, and a stream that isn't whole must say so.
async fn stream(
    url: String,
    operations: SocketAddr,
    name: &'static str,
    stop: Rc<Cell<bool>>,
) -> Tally {
    let mut tally = Tally::default();
    let mut count = 0;
    while !stop.get() {
        let prompt = format!("{name} asks {count}");
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(reply.whole);
        if reply.ran().as_deref() == Some("not_run") && reply.retry_after.is_some() {
            actix_rt::time::sleep(COME_BACK).await;
            continue;
        }
        count += 1;
        let (text, done) = reply.chat();
        let expected = engine::expected(&prompt, TOKENS);
        if done {
            assert_eq!(text, expected);
            tally.whole += 1;
        } else {
            assert!(expected.starts_with(&text), "{body}");
            assert!(body.contains("\"ran\":"), "{body}");
            let id = reply.request_id.as_deref().unwrap_or_default();
            let account = explain(operations, id).await.unwrap_or_default();
            tally.broken.push(format!("{body} {account}"));
        }
    }
    tally
}

/// Waits until the evidence in the platform is known to all agents.
async fn wait_for_evidence(cluster: &Cluster) {
    wait_for("the end of the agents' writes", || async {
        for agent in cluster.agents.values() {
            let state = system::cluster::dump(agent.operations).await?;
            if state["suspect_changes_waiting"].as_u64()? > 0 {
                return None;
            }
        }
        Some(())
    })
    .await;
    let client = platform::Client::new(vec![cluster.platform.url()], Duration::from_secs(30));
    let rows = client.list("suspect").await.unwrap();
    let newest = rows.objects.iter().map(|object| object.version).max().unwrap_or(0);
    cluster.wait_for_revision(newest).await;
}

/// Sends the request fifty times through three entries, with innocent streams
/// beside it. Returns the number of crashes and what became of the streams.
async fn send_fifty(report_lag: Duration) -> (u64, Vec<Tally>) {
    let cluster = Cluster::start(plan(report_lag)).await;
    let before = incarnations(&cluster).await;
    let stop = Rc::new(Cell::new(false));
    let innocent = |entry: &'static str| {
        let operations = cluster.entries[entry].operations;
        actix_rt::spawn(stream(cluster.url(entry), operations, entry, stop.clone()))
    };
    let innocents: Vec<_> = ENTRIES.into_iter().map(innocent).collect();

    let prompt = format!("a {MARKER} foot");
    let mut refused = 0;
    for number in 0..SENDS {
        let url = cluster.url(ENTRIES[number % ENTRIES.len()]);
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        let ran = reply.ran().unwrap_or_else(|| panic!("not a typed problem: {body}"));
        match reply.reason().as_deref() {
            Some("poison") => {
                assert_eq!(reply.status, 422);
                refused += 1;
            }
            // A refusal is final: no entry lets it run afterwards.
            reason => assert_eq!(refused, 0, "{reason:?} {ran}"),
        }
        if refused == 0 {
            wait_for_evidence(&cluster).await;
        }
    }
    // By then each entry refuses it, as not run.
    for entry in ENTRIES {
        let reply = caller::chat(&cluster.url(entry), &prompt, TOKENS).await.unwrap();
        assert_eq!(reply.reason().as_deref(), Some("poison"));
        assert_eq!(reply.ran().as_deref(), Some("not_run"));
        assert_eq!(reply.retry_after, None);
    }
    stop.set(true);
    let mut tallies = Vec::new();
    for task in innocents {
        tallies.push(task.await.unwrap());
    }
    // The load report lags, but counts each crash in the end.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    (incarnations(&cluster).await - before, tallies)
}

#[rstest]
#[case::report_at_once(Duration::ZERO)]
#[case::report_late(Duration::from_millis(200))]
#[actix_rt::test]
async fn bound_crashes_of_fifty_sends(#[case] report_lag: Duration) {
    let (crashes, _) = send_fifty(report_lag).await;
    assert!((1..=CRASH_LIMIT).contains(&crashes), "{crashes} crashes");
}

#[rstest]
#[case::report_at_once(Duration::ZERO)]
#[case::report_late(Duration::from_millis(200))]
#[actix_rt::test]
async fn keep_innocent_streams_whole(#[case] report_lag: Duration) {
    let (_, tallies) = send_fifty(report_lag).await;
    for tally in tallies {
        assert!(tally.whole > 0);
        assert_eq!(tally.broken, Vec::<String>::new());
    }
}
