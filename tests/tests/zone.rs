//! An availability zone is taken out of service and returned under load.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lab::{engine, service};
use serde_json::json;
use system::caller;
use system::cluster::{Cluster, Plan, dump, wait_for};

/// Time after which a zone taken out of service gets no new work.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the zone is then observed.
const OBSERVATION: Duration = Duration::from_secs(2);
/// Concurrent callers of each kind for each entry.
const CALLERS: usize = 2;
/// Backend servers in the zone that is taken out of service.
const ZONE_SERVERS: [&str; 2] = ["engine-2", "service-2"];
/// Tokens of a chat.
const TOKENS: u32 = 15;

fn plan() -> Plan {
    Plan {
        entries: vec!["entry-1", "entry-2"],
        engines: vec![("engine-1", "accra-1"), ("engine-2", "accra-2")],
        services: vec![("service-1", "accra-1"), ("service-2", "accra-2")],
        ..Plan::default()
    }
}

/// Requests chats one after the other until `stop` is set. Returns their number.
async fn chat(url: String, name: String, stop: Rc<Cell<bool>>) -> u64 {
    let mut count = 0;
    while !stop.get() {
        let prompt = format!("{name} asks {count}");
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        assert!(reply.complete);
        assert_eq!(reply.chat(), (engine::expected(&prompt, TOKENS), true));
        count += 1;
    }
    count
}

/// Sends bookings one after the other until `stop` is set. Returns the expected
/// number of executions by key.
async fn book(url: String, name: String, stop: Rc<Cell<bool>>) -> BTreeMap<String, u64> {
    let mut keys = BTreeMap::new();
    while !stop.get() {
        let key = format!("{name}-{}", keys.len());
        let reply = caller::book(&url, &key, &key).await.expect("an answer");
        assert!(reply.complete);
        if reply.status == 200 {
            let answer = service::expected("/book", key.as_bytes()).into_bytes();
            assert_eq!(reply.body, answer);
            keys.insert(key, 1);
        } else {
            let ran = reply.execution();
            assert_eq!(ran.as_deref(), Some("not_run"), "{:?}", reply.json());
            keys.insert(key, 0);
        }
    }
    keys
}

async fn started_counts(cluster: &Cluster) -> Vec<u64> {
    let mut counts = Vec::new();
    for agent in ZONE_SERVERS {
        counts.push(cluster.counter(agent, "run").await);
    }
    counts
}

/// Waits until each backend server of the zone has started more requests than
/// `before`.
async fn wait_for_work(cluster: &Cluster, before: &[u64]) {
    wait_for("work in the zone", || async {
        let now = started_counts(cluster).await;
        let more = now.iter().zip(before).all(|(now, before)| now > before);
        more.then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn take_out_and_return_under_load() {
    let cluster = Cluster::start(plan()).await;
    let stop = Rc::new(Cell::new(false));
    let (mut chats, mut bookings) = (Vec::new(), Vec::new());
    for entry in ["entry-1", "entry-2"] {
        for number in 0..CALLERS {
            let name = format!("{entry}-{number}");
            let url = cluster.url(entry);
            chats.push(actix_rt::spawn(chat(url.clone(), name.clone(), stop.clone())));
            bookings.push(actix_rt::spawn(book(url, name, stop.clone())));
        }
    }
    wait_for_work(&cluster, &[0, 0]).await;

    cluster.put("zone", "accra-2", json!({"out": true})).await;
    let accepted = Instant::now();
    actix_rt::time::sleep(OUT_LIMIT.saturating_sub(accepted.elapsed())).await;
    let after = started_counts(&cluster).await;
    actix_rt::time::sleep(OBSERVATION).await;
    assert_eq!(
        started_counts(&cluster).await,
        after,
        "work started in the zone while out of service"
    );
    for agent in ZONE_SERVERS {
        let state = dump(cluster.agents[agent].operations).await.unwrap();
        assert_eq!(state["out"], true);
        assert_eq!(cluster.counter(agent, "run_while_out").await, 0);
    }

    cluster.put("zone", "accra-2", json!({"out": false})).await;
    wait_for_work(&cluster, &after).await;
    stop.set(true);
    let mut answered = 0;
    for task in chats {
        answered += task.await.unwrap();
    }
    assert!(answered > 0);
    for task in bookings {
        for (key, runs) in task.await.unwrap() {
            assert_eq!(cluster.runs(&key), runs, "{key}");
        }
    }
}
