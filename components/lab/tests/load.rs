//! The load: its arrivals, its counts and its honesty about stalls.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use lab::load::{Answer, Kind, Outcome, Plan, Reader, Tally, Target, Work, run};
use lab::{engine, service};

const MS: Duration = Duration::from_millis(1);

fn bookings() -> Plan {
    Plan { rate: 200.0, length: 400 * MS, booking_share: 1.0, ..Plan::default() }
}

#[test]
fn arrivals_same_seed() {
    let plan = Plan { length: Duration::from_secs(20), ..Plan::default() };
    let all: Vec<_> = plan.arrivals().collect();
    assert_eq!(all, plan.arrivals().collect::<Vec<_>>());
    assert_ne!(all, Plan { seed: 2, ..plan.clone() }.arrivals().collect::<Vec<_>>());
    assert!((850..1150).contains(&all.len()), "{}", all.len());
    assert!(all.is_sorted_by_key(|arrival| arrival.at));
    let booked = all.iter().filter(|arrival| arrival.work.kind() == Kind::Booking).count();
    assert!((140..260).contains(&booked), "{booked}");
}

#[test]
fn arrivals_keys_unique() {
    let keys = |epoch| {
        let plan = Plan { epoch, ..bookings() };
        let key = |work| match work {
            Work::Booking { key, .. } => key,
            Work::Chat { prompt, .. } => panic!("chat {prompt}"),
        };
        plan.arrivals().map(|arrival| key(arrival.work)).collect::<Vec<_>>()
    };
    let mut all = [keys(Duration::ZERO), keys(Duration::from_secs(1))].concat();
    let count = all.len();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), count);
    assert!(all.iter().all(|key| key.as_bytes()[14] == b'7'));
}

/// A server that stalls for a second holds up 100 requests that were to start
/// 10 ms apart. All end right after the stall.
#[test]
fn record_stall_not_hidden() {
    let mut tally = Tally::default();
    for number in 0..100 {
        tally.record(&Answer {
            kind: Kind::Booking,
            intended: number * 10 * MS,
            first: None,
            gaps: Vec::new(),
            ended: 1000 * MS,
            outcome: Outcome::Whole,
        });
    }
    let total = tally.lines()[0].total_ms;
    assert!((490.0..520.0).contains(&total.p50), "{total:?}");
    assert!(total.p99 > 970.0, "{total:?}");
}

/// The sender itself stalls for a second at the first arrival; requests sent
/// late because of that count from when they were to start.
#[actix_rt::test]
async fn run_late_start_not_hidden() {
    let service = service::serve(service::Settings::default()).unwrap();
    let target = Target::new(service.handle.to_url());
    let stall = |progress: lab::load::Progress| {
        if progress.sent == 1 {
            std::thread::sleep(1000 * MS);
        }
    };
    let tally = run(&bookings(), target, stall).await;
    let line = tally.lines().remove(0);
    assert_eq!(line.count.whole, bookings().arrivals().count() as u64);
    assert!(line.total_ms.p50 > 600.0, "{:?}", line.total_ms);
    assert!(service.runs().values().all(|runs| *runs == 1));
}

#[actix_rt::test]
async fn run_chat_whole() {
    let settings =
        engine::Settings { token_interval: MS, warm_up_tokens: 0, ..engine::Settings::default() };
    let engine = engine::serve(settings).unwrap();
    let plan = Plan { booking_share: 0.0, ..bookings() };
    let tally = run(&plan, Target::new(engine.to_url()), |_| ()).await;
    let line = tally.lines().remove(0);
    assert_eq!(line.count.whole, plan.arrivals().count() as u64);
    assert_eq!(line.first_ms.count, line.count.whole);
    assert!(line.gap_ms.count > line.count.whole);
}

#[actix_rt::test]
async fn run_broken_answers_lost() {
    let crash_marker = Some("booking".into());
    let settings = service::Settings { crash_marker, ..service::Settings::default() };
    let service = service::serve(settings).unwrap();
    let count = run(&bookings(), Target::new(service.handle.to_url()), |_| ()).await.count();
    assert_eq!((count.lost, count.whole), (count.sent, 0));
}

/// A service on another path answers something else.
#[actix_rt::test]
async fn run_other_answers_wrong() {
    let service = service::serve(service::Settings::default()).unwrap();
    let target =
        Target { booking_path: "/bookings?x=1".into(), ..Target::new(service.handle.to_url()) };
    let count = run(&bookings(), target, |_| ()).await.count();
    assert_eq!((count.wrong, count.whole), (count.sent, 0));
}

#[test]
fn push_any_split() {
    let bytes = b"data: {\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}\n\n\
        data: {\"choices\":[{\"delta\":{}}]}\n\nevent: error\ndata: {\"ran\":\"not_run\"}\n\n";
    let mut reader = Reader::default();
    let chunks: usize = bytes.iter().map(|byte| reader.push(&[*byte]).unwrap()).sum();
    assert_eq!((chunks, reader.text.as_str(), reader.done), (1, "ab", false));
    assert_eq!(reader.refused.unwrap().outcome(), Outcome::NotRun);
}
