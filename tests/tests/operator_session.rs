//! Operator sessions in one process: races and outages between plan and write.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use lab::platform::{Fault, Handle, Settings, serve};
use operator::{Desired, Error, Outcome, Plan, Session, plan};
use serde_json::{Value, json};
use tables::{Key, Kind};

fn start(accept: Duration) -> (Handle, Session) {
    let objects = json!({"zone": {"accra-1": {"out": false}}});
    let settings =
        Settings { objects: serde_json::from_value(objects).unwrap(), ..Settings::default() };
    let handle = serve("127.0.0.1:0".parse().unwrap(), settings).unwrap();
    let settings = operator::Settings {
        platform: vec![handle.url()],
        operations: vec![],
        timeout: Duration::from_secs(10),
        accept,
        wait: Duration::from_secs(1),
    };
    (handle, Session::new(settings))
}

async fn planned(session: &Session, kind: Kind, name: &str, value: Option<Value>) -> Plan {
    let key = Key { kind, name: name.into() };
    let present = session.present().await.unwrap();
    plan(&present, vec![Desired { key, value, expect: None }]).unwrap()
}

async fn outcome(session: &Session, plan: Plan) -> Outcome {
    session.execute(plan).await.changes.remove(0).outcome
}

#[actix_rt::test]
async fn execute_race_second_operator_gets_conflict() {
    let (_handle, session) = start(Duration::from_secs(10));
    let first = planned(&session, Kind::Zone, "accra-1", Some(json!({"out": true}))).await;
    let second = planned(&session, Kind::Zone, "accra-1", None).await;
    assert!(matches!(outcome(&session, first).await, Outcome::Accepted { read_back: false, .. }));
    let Outcome::Conflict { current: Some(current) } = outcome(&session, second).await else {
        panic!("no conflict")
    };
    assert_eq!(current.value, json!({"out": true}));
}

#[actix_rt::test]
async fn execute_create_race_has_one_winner() {
    let (_handle, session) = start(Duration::from_secs(10));
    let first = planned(&session, Kind::Zone, "tema", Some(json!({"out": true}))).await;
    let second = planned(&session, Kind::Zone, "tema", Some(json!({"out": false}))).await;
    let (first, second) = futures_util::join!(outcome(&session, first), outcome(&session, second));
    let accepted = [first, second]
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Accepted { .. }))
        .count();
    assert_eq!(accepted, 1);
}

#[actix_rt::test]
async fn execute_outage_after_plan_is_unknown() {
    let (handle, session) = start(Duration::from_secs(1));
    let plan = planned(&session, Kind::Zone, "accra-1", Some(json!({"out": true}))).await;
    handle.set_fault(Fault { outage: true, ..Fault::default() });
    assert_eq!(outcome(&session, plan).await, Outcome::Unknown { current: None });
}

#[actix_rt::test]
async fn execute_short_outage_is_resolved() {
    let (handle, session) = start(Duration::from_secs(60));
    let plan = planned(&session, Kind::Zone, "accra-1", Some(json!({"out": true}))).await;
    handle.set_fault(Fault { outage: true, ..Fault::default() });
    let before = handle.revision();
    let writer = session.clone();
    let writing = actix_rt::spawn(async move { outcome(&writer, plan).await });
    while handle.calls().outage < 2 {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
    handle.set_fault(Fault::default());
    assert!(matches!(writing.await.unwrap(), Outcome::Accepted { .. }));
    assert_eq!(handle.revision(), before + 1);
}

#[actix_rt::test]
async fn execute_platform_stopped_is_refused_without_effect() {
    let (handle, session) = start(Duration::from_millis(500));
    let plan = planned(&session, Kind::Zone, "accra-1", Some(json!({"out": true}))).await;
    handle.stop();
    let outcome = outcome(&session, plan).await;
    let unknown = Outcome::Unknown { current: None };
    // If a connection was still open at the stop, the effect is unknown.
    assert!(matches!(outcome, Outcome::Refused { .. }) || outcome == unknown, "{outcome:?}");
    assert!(matches!(session.present().await, Err(Error::Platform { .. })));
}

#[actix_rt::test]
async fn execute_over_rate_waits_and_succeeds() {
    let settings = Settings { writes_per_second: Some(2), ..Settings::default() };
    let handle = serve("127.0.0.1:0".parse().unwrap(), settings).unwrap();
    let settings = operator::Settings {
        platform: vec![handle.url()],
        operations: vec![],
        timeout: Duration::from_secs(10),
        accept: Duration::from_secs(60),
        wait: Duration::from_secs(1),
    };
    let session = Session::new(settings);
    let wanted = (0..6).map(|number| Desired {
        key: Key { kind: Kind::Zone, name: format!("z{number}").into() },
        value: Some(json!({"out": true})),
        expect: None,
    });
    let report = session.change(wanted.collect()).await.unwrap();
    assert!(report.is_accepted(), "{report}");
    assert_eq!(handle.revision(), 6);
}
