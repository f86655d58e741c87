//! An availability zone is taken out and returned under load.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lab::{engine, service};
use serde_json::json;
use system::caller;
use system::cluster::{Cluster, Plan, dump, wait_for};

/// Time after which a zone that is out gets no new work.
const OUT_AFTER: Duration = Duration::from_secs(3);
/// Time for which the zone is watched from then on.
const WATCH: Duration = Duration::from_secs(2);
/// Callers of each kind at a time, through each entry.
const CALLERS: usize = 2;
/// Servers in the zone that leaves and returns.
const THERE: [&str; 2] = ["engine-2", "service-2"];
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

/// Chats one after the other until told to stop. Returns how many.
async fn chat(url: String, name: String, stop: Rc<Cell<bool>>) -> u64 {
    let mut count = 0;
    while !stop.get() {
        let prompt = format!("{name} asks {count}");
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        assert!(reply.whole);
        assert_eq!(reply.chat(), (engine::expected(&prompt, TOKENS), true));
        count += 1;
    }
    count
}

/// Bookings one after the other until told to stop. Returns the runs that each
/// key must have had.
async fn book(url: String, name: String, stop: Rc<Cell<bool>>) -> BTreeMap<String, u64> {
    let mut keys = BTreeMap::new();
    while !stop.get() {
        let key = format!("{name}-{}", keys.len());
        let reply = caller::book(&url, &key, &key).await.expect("an answer");
        assert!(reply.whole);
        if reply.status == 200 {
            let answer = service::expected("/book", key.as_bytes()).into_bytes();
            assert_eq!(reply.body, answer);
            keys.insert(key, 1);
        } else {
            let ran = reply.ran();
            assert_eq!(ran.as_deref(), Some("not_run"), "{:?}", reply.json());
            keys.insert(key, 0);
        }
    }
    keys
}

async fn work(cluster: &Cluster) -> Vec<u64> {
    let mut counts = Vec::new();
    for agent in THERE {
        counts.push(cluster.counter(agent, "run").await);
    }
    counts
}

/// Waits until each backend server of the zone has begun more than `before`.
async fn wait_for_work(cluster: &Cluster, before: &[u64]) {
    wait_for("work in the zone", || async {
        let now = work(cluster).await;
        let more = now.iter().zip(before).all(|(now, before)| now > before);
        more.then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn leave_and_return_under_load() {
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
    actix_rt::time::sleep(OUT_AFTER.saturating_sub(accepted.elapsed())).await;
    let after = work(&cluster).await;
    actix_rt::time::sleep(WATCH).await;
    assert_eq!(work(&cluster).await, after, "work begun in the zone after it was out");
    for agent in THERE {
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
