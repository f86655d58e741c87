//! Following the platform through outages, against the stand-in.
#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lab::platform::{Fault, Handle, Settings, serve};
use platform::{Client, Expect, Update, follow, watch};
use serde_json::json;
use tables::{Host, Table};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Long enough for any machine; a follower that works needs far less.
const DEADLINE: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Seen {
    table: RefCell<Table>,
    hosts: RefCell<Vec<Host>>,
    listings: Cell<u32>,
    stale: Cell<u32>,
    fresh: Cell<u32>,
}

impl Seen {
    fn take(&self, update: Update) {
        match &update {
            Update::Listing { .. } => self.listings.set(self.listings.get() + 1),
            Update::Hosts { hosts, .. } => *self.hosts.borrow_mut() = hosts.clone(),
            Update::Stale => self.stale.set(self.stale.get() + 1),
            Update::Fresh => self.fresh.set(self.fresh.get() + 1),
            Update::Delta { .. } => {}
        }
        let before = self.table.borrow().revision();
        update.apply(&mut self.table.borrow_mut());
        assert!(self.table.borrow().revision() >= before);
    }
}

fn start(settings: Settings) -> (Handle, Client, Rc<Seen>) {
    let handle = serve("127.0.0.1:0".parse().unwrap(), settings).unwrap();
    let client = Client::new(vec![handle.url()], TIMEOUT);
    let seen = Rc::new(Seen::default());
    let taken = seen.clone();
    let pace = watch::Settings {
        interval: Duration::from_millis(20),
        hosts_interval: Duration::from_millis(20),
        wait: Duration::from_millis(300),
        backoff_min: Duration::from_millis(10),
        backoff_max: Duration::from_millis(50),
        stale_after: Duration::from_secs(1),
        seed: 7,
    };
    actix_rt::spawn(follow(client.clone(), pace, move |update| taken.take(update)));
    (handle, client, seen)
}

async fn until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
    };
    actix_rt::time::timeout(DEADLINE, poll).await.expect("the condition never came true");
}

fn host(name: &str) -> Host {
    let value = json!({"name": name, "role": "server", "zone": "accra-1",
        "link": "tcp://127.0.0.1:9", "pool": "fit", "state": "live"});
    serde_json::from_value(value).unwrap()
}

#[actix_rt::test]
async fn follow_sees_changes_and_hosts() {
    let settings = Settings { hosts: vec![host("s1")], ..Settings::default() };
    let (_handle, client, seen) = start(settings);
    until(|| seen.fresh.get() == 1).await;
    assert_eq!(seen.hosts.borrow().len(), 1);
    client.put("zone", "accra-1", Expect::Absent, &json!({"out": true})).await.unwrap();
    until(|| seen.table.borrow().is_zone_out("accra-1")).await;
    client.put_host(&host("s2")).await.unwrap();
    until(|| seen.hosts.borrow().len() == 2).await;
    client.delete_host("s1").await.unwrap();
    until(|| seen.hosts.borrow().len() == 1).await;
    assert_eq!(seen.listings.get(), 1);
}

#[actix_rt::test]
async fn follow_says_stale_and_comes_back_after_outage() {
    let (handle, client, seen) = start(Settings::default());
    until(|| seen.fresh.get() == 1).await;
    let version = client.put("zone", "a", Expect::Absent, &json!({"out": true})).await.unwrap();
    until(|| seen.table.borrow().is_zone_out("a")).await;
    handle.set_fault(Fault { outage: true, ..Fault::default() });
    until(|| seen.stale.get() == 1).await;
    assert!(seen.table.borrow().is_zone_out("a"), "an outage takes nothing back");
    handle.set_fault(Fault::default());
    until(|| seen.fresh.get() == 2).await;
    client.put("zone", "a", Expect::Version(version), &json!({"out": false})).await.unwrap();
    until(|| !seen.table.borrow().is_zone_out("a")).await;
    assert_eq!(seen.listings.get(), 1, "a short outage needs no new listing");
}

#[actix_rt::test]
async fn follow_lists_again_when_history_is_gone() {
    let (handle, client, seen) = start(Settings { history: 2, ..Settings::default() });
    let version = client.put("zone", "a", Expect::Absent, &json!({"out": true})).await.unwrap();
    until(|| seen.table.borrow().is_zone_out("a")).await;
    // Replies to watches wait, so that many changes pass by unseen.
    handle.set_fault(Fault { watch_delay: Duration::from_millis(500), ..Fault::default() });
    client.delete("zone", "a", Expect::Version(version)).await.unwrap();
    for number in 0..200 {
        let name = format!("z{number}");
        client.put("zone", &name, Expect::Absent, &json!({"out": true})).await.unwrap();
    }
    handle.set_fault(Fault::default());
    until(|| seen.table.borrow().is_zone_out("z199")).await;
    assert!(seen.listings.get() >= 2);
    assert!(!seen.table.borrow().is_zone_out("a"), "the deletion shows by its absence");
    assert!(seen.table.borrow().is_zone_out("z0"));
}

#[actix_rt::test]
async fn follow_keeps_row_that_cannot_be_decoded() {
    let (_handle, client, seen) = start(Settings::default());
    let version = client.put("zone", "a", Expect::Absent, &json!({"out": true})).await.unwrap();
    until(|| seen.table.borrow().is_zone_out("a")).await;
    let bad = client.put("zone", "a", Expect::Version(version), &json!("bad")).await.unwrap();
    until(|| seen.table.borrow().revision() >= bad).await;
    assert!(seen.table.borrow().is_zone_out("a"));
}

#[actix_rt::test]
async fn follow_hosts_by_changes_and_whole_when_forgotten() {
    let hosts = (0..20).map(|number| host(&format!("s{number}"))).collect();
    let (handle, client, seen) = start(Settings { hosts, history: 2, ..Settings::default() });
    until(|| seen.hosts.borrow().len() == 20).await;
    let since = handle.revision();
    client.delete_host("s3").await.unwrap();
    client.delete_host("s4").await.unwrap();
    client.put_host(&host("s3")).await.unwrap();
    let changes = client.hosts(since, Duration::ZERO).await.unwrap();
    assert_eq!((changes.since, changes.hosts.len(), changes.gone.len()), (since, 1, 2));
    until(|| seen.hosts.borrow().len() == 19).await;
    for name in ["s5", "s6", "s7", "s8"] {
        client.delete_host(name).await.unwrap();
    }
    let whole = client.hosts(since, Duration::ZERO).await.unwrap();
    assert_eq!((whole.since, whole.hosts.len()), (0, 15));
    until(|| seen.hosts.borrow().len() == 15).await;
}
