//! A request that crashes each engine that runs it, sent again and again.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lab::engine;
use system::caller;
use system::cluster::{Cluster, Plan, wait_for};

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

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];

fn plan() -> Plan {
    let engine = engine::Settings {
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

/// Streams one after the other until told to stop. All must come whole.
async fn stream(url: String, name: &'static str, stop: Rc<Cell<bool>>) -> u64 {
    let mut count = 0;
    while !stop.get() {
        let prompt = format!("{name} asks {count}");
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        let body = String::from_utf8_lossy(&reply.body);
        assert_eq!(reply.status, 200, "{prompt}: {body}");
        assert!(reply.whole);
        assert_eq!(reply.chat(), (engine::expected(&prompt, TOKENS), true), "{prompt}: {body}");
        count += 1;
    }
    count
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

#[actix_rt::test]
async fn bound_crashes_of_fifty_sends() {
    let cluster = Cluster::start(plan()).await;
    let before = incarnations(&cluster).await;
    let stop = Rc::new(Cell::new(false));
    let innocent =
        |entry: &'static str| actix_rt::spawn(stream(cluster.url(entry), entry, stop.clone()));
    let innocents: Vec<_> = ENTRIES.into_iter().map(innocent).collect();

    let prompt = format!("a {MARKER} foot");
    let mut refused = 0;
    for number in 0..SENDS {
        let url = cluster.url(ENTRIES[number % ENTRIES.len()]);
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        let ran = reply.ran().expect("a typed problem");
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
    for task in innocents {
        assert!(task.await.unwrap() > 0);
    }
    // The load report lags, but counts each crash in the end.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let crashes = incarnations(&cluster).await - before;
    assert!((1..=CRASH_LIMIT).contains(&crashes), "{crashes} crashes");
}
