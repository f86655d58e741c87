//! The platform is unreachable, or its replies are lost.
#![allow(clippy::unwrap_used)]

use lab::platform::Fault;
use lab::{engine, service};
use serde_json::json;
use system::caller::{self, Reply};
use system::cluster::{Cluster, Plan, dump, wait_for};

fn plan() -> Plan {
    Plan {
        entries: vec!["entry-1", "entry-2"],
        engines: vec![("engine-1", "accra-1"), ("engine-2", "accra-2")],
        services: vec![("service-1", "accra-1")],
        ..Plan::default()
    }
}

fn outage() -> Fault {
    Fault { outage: true, ..Fault::default() }
}

async fn assert_chat(url: &str, prompt: &str) {
    let reply = caller::chat(url, prompt, 20).await.unwrap();
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    assert_eq!(reply.chat(), (engine::expected(prompt, 20), true));
}

fn assert_booked(reply: &Reply, body: &str) {
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    assert_eq!(reply.body, service::expected("/book", body.as_bytes()).into_bytes());
}

#[actix_rt::test]
async fn serve_without_platform() {
    let cluster = Cluster::start(plan()).await;
    let url = cluster.url("entry-1");
    cluster.platform.set_fault(outage());

    assert_chat(&url, "a wide foot").await;
    let lookup = caller::lookup(&url, "any bench").await.unwrap();
    assert_eq!(lookup.status, 200);
    assert_eq!(lookup.body, service::expected("/free", b"any bench").into_bytes());
    for number in 0..3 {
        let key = format!("key-{number}");
        let refused = caller::book(&url, &key, "bench 4").await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.execution().as_deref(), Some("not_run"));
        // The claim cannot be stored: refused at once, not at the deadline.
        assert_eq!(refused.reason().as_deref(), Some("claims"));
        assert!(refused.retry_after.is_some());
        assert_eq!(cluster.runs(&key), 0);
    }

    cluster.platform.set_fault(Fault::default());
    let reply = wait_for("a booking after the outage", || async {
        let reply = caller::book(&url, "key-0", "bench 4").await?;
        assert!(reply.status == 200 || reply.execution().as_deref() == Some("not_run"));
        (reply.status == 200).then_some(reply)
    })
    .await;
    assert_booked(&reply, "bench 4");
    assert_eq!(cluster.runs("key-0"), 1);
}

#[actix_rt::test]
async fn restart_without_platform() {
    let mut cluster = Cluster::start(plan()).await;
    let version = cluster.put("zone", "accra-2", json!({"out": true})).await;
    cluster.wait_for_revision(version).await;
    cluster.platform.set_fault(outage());

    cluster.entries.get_mut("entry-1").unwrap().process.kill();
    cluster.restart_entry("entry-1");
    cluster.wait_until_ready().await;
    assert_chat(&cluster.url("entry-1"), "a wide foot").await;
    for agent in ["engine-1", "engine-2", "service-1"] {
        cluster.agents.get_mut(agent).unwrap().process.kill();
        cluster.restart_agent(agent);
    }
    cluster.wait_until_ready().await;
    for entry in ["entry-1", "entry-2"] {
        assert_chat(&cluster.url(entry), "a narrow foot").await;
        assert_eq!(caller::lookup(&cluster.url(entry), "any").await.unwrap().status, 200);
    }
    // The change accepted before the outage is applied after the restarts.
    cluster.wait_for_revision(version).await;
    assert_eq!(dump(cluster.agents["engine-2"].operations).await.unwrap()["out"], true);
    assert_eq!(cluster.counter("engine-2", "run").await, 0);

    cluster.platform.set_fault(Fault::default());
    let version = cluster.put("zone", "accra-2", json!({"out": false})).await;
    cluster.wait_for_revision(version).await;
    assert_eq!(dump(cluster.agents["engine-2"].operations).await.unwrap()["out"], false);
}

#[actix_rt::test]
async fn book_with_lost_replies() {
    let cluster = Cluster::start(plan()).await;
    let url = cluster.url("entry-1");
    let mut lost = 0;
    for (number, replies) in [1, 2].into_iter().enumerate() {
        let fault = Fault { lose_replies: replies, ..Fault::default() };
        cluster.platform.set_fault(fault);
        let key = format!("key-{number}");
        let reply = wait_for("the answer", || async {
            let reply = caller::book(&url, &key, "bench 4").await?;
            // A refusal must be accurate; the booking is then retried.
            let refused = reply.execution().as_deref() == Some("not_run");
            assert!(reply.status == 200 || refused, "{:?}", reply.json());
            assert!(!refused || cluster.runs(&key) == 0);
            (reply.status == 200).then_some(reply)
        })
        .await;
        assert_booked(&reply, "bench 4");
        assert_eq!(cluster.runs(&key), 1);
        wait_for("the lost replies", || async {
            (cluster.platform.calls().lost == lost + u64::from(replies)).then_some(())
        })
        .await;
        lost += u64::from(replies);
        // A resend gets the recorded answer.
        assert_booked(&caller::book(&url, &key, "bench 4").await.unwrap(), "bench 4");
        assert_eq!(cluster.runs(&key), 1);
    }
}
