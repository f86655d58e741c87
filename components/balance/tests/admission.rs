//! Requests that differ in urgency: order of waiting, room, refusals, and overload
//! replayed against engines whose passes grow with the number of requests.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use balance::config::{Account, Config, Engine, Kind, Pool, Route};
use balance::content::{Group, Server};
use balance::queue::{Full, Queue, Waiter};
use balance::urgency::{Scale, Urgency};
use balance::{Balancer, Placement, Reason, Submission, Ticket};
use common::{blank, config, configured, listing, ms, server};
use rstest::rstest;
use tables::Name;

const RANKS: u32 = 12;
const GAP: Duration = Duration::from_millis(150);

fn engine() -> Engine {
    Engine {
        slots: 10,
        read_rate: 60_000.0,
        step: Duration::from_micros(4550),
        step_per_request: Duration::from_micros(1090),
        stride: 5,
        ..Engine::default()
    }
}

/// Three stream routes of rising priority value, and two accounts.
fn graded(version: u64) -> Config {
    let plain = config(version);
    let route = |priority: u32| Route {
        name: format!("/p{priority}/").as_str().into(),
        prefix: format!("/p{priority}/").as_str().into(),
        priority,
        gap: Some(GAP),
        objective: ms(500),
        kind: Kind::Stream { resumable: true },
        ..plain.routes[0].clone()
    };
    let account = |name: &str| Account { name: name.into(), priority: 1 };
    Config {
        routes: (0..3).map(route).collect(),
        pools: BTreeMap::from([("models".into(), Pool { cold_rate: 0.0, engine: Some(engine()) })]),
        keys: Some(BTreeMap::from([
            ("one".into(), account("one")),
            ("two".into(), account("two")),
        ])),
        ..plain
    }
}

fn ranks() -> Vec<(String, Server)> {
    let rank = |index: u32| {
        let group = Group { name: "g".into(), epoch: 1, rank: index, size: RANKS, open: true };
        let plain = server("models", "a", 8000 + index as u16);
        (format!("r{index:02}"), Server { group: Some(group), slots: 10, ..plain })
    };
    (0..RANKS).map(rank).collect()
}

fn entry() -> Balancer {
    let mut balancer = blank("entry-1");
    balancer.apply(ms(0), configured(2, graded(1)));
    let ranks = ranks();
    let named: Vec<_> = ranks.iter().map(|(name, rank)| (name.as_str(), rank.clone())).collect();
    balancer.apply(ms(0), listing(3, &named));
    balancer
}

fn request(path: &'static str, key: &'static str) -> Submission<'static> {
    Submission {
        host: "shop.example",
        path,
        key: Some(key),
        caller_timeout: Some(ms(8000)),
        prompt_tokens: 800,
        fingerprint: 1,
        shared_parts: &[],
    }
}

fn waiter(route: u32, account: &str, expires: u64) -> Waiter {
    Waiter {
        urgency: Urgency { account: 0, route },
        account: Some(account.into()),
        arrived: ms(0),
        expires: ms(expires),
    }
}

/// Ids of the queue in the order in which they are granted.
fn granted(queue: &mut Queue, now: Duration) -> Vec<u64> {
    let mut ids = Vec::new();
    while let Some(id) = queue.front(now) {
        queue.grant(id);
        ids.push(id);
    }
    ids
}

#[test]
fn front_account_priority_before_route() {
    let account =
        |account, route| Waiter { urgency: Urgency { account, route }, ..waiter(0, "one", 100) };
    let mut queue = Queue::new(8);
    for (id, urgency) in [(2, 0), (1, 2), (0, 9), (1, 0)].into_iter().enumerate() {
        queue.push(id as u64, account(urgency.0, urgency.1)).unwrap();
    }
    assert_eq!(granted(&mut queue, ms(0)), [2, 3, 1, 0]);
}

/// Guards against one account's backlog delaying the others of the same urgency.
#[test]
fn front_fair_between_accounts() {
    let mut queue = Queue::new(64);
    for id in 0..20 {
        queue.push(id, waiter(0, "large", 100)).unwrap();
    }
    queue.push(20, waiter(0, "small", 100)).unwrap();
    queue.push(21, waiter(0, "small", 100)).unwrap();
    let order = granted(&mut queue, ms(0));
    let place = |id: u64| order.iter().position(|other| *other == id).unwrap();
    assert!(place(20) <= 2 && place(21) <= 4, "{order:?}");
}

/// Guards against starvation: urgent requests keep arriving, yet a less urgent one is
/// dispatched within eight grants.
#[test]
fn front_ages_less_urgent() {
    let mut queue = Queue::new(64);
    queue.push(0, waiter(2, "one", 1000)).unwrap();
    for id in 1..=16 {
        queue.push(id, waiter(0, "one", 1000)).unwrap();
    }
    let order = granted(&mut queue, ms(0));
    assert!(order.iter().position(|id| *id == 0).unwrap() < 8, "{order:?}");
}

#[test]
fn front_skips_expired() {
    let mut queue = Queue::new(8);
    queue.push(0, waiter(0, "one", 100)).unwrap();
    queue.push(1, waiter(1, "one", 200)).unwrap();
    assert_eq!(queue.front(ms(100)), Some(1));
}

#[rstest]
#[case::more_urgent(0, Ok(Some(1)))]
#[case::equal(2, Err(Full))]
fn push_when_full(#[case] route: u32, #[case] expected: Result<Option<u64>, Full>) {
    let mut queue = Queue::new(2);
    queue.push(0, waiter(1, "one", 100)).unwrap();
    queue.push(1, waiter(2, "one", 100)).unwrap();
    assert_eq!(queue.push(2, waiter(route, "one", 100)), expected);
}

/// Guards against callers that were refused together and return together.
#[test]
fn schedule_return_spreads_callers() {
    let mut queue = Queue::new(8);
    for count in 0..200 {
        queue.record_dispatch(ms(count * 20));
    }
    let urgency = Urgency { account: 0, route: 2 };
    let waits: Vec<_> = (0..50).map(|_| queue.schedule_return(ms(4000), urgency)).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]));
    let rate = 49.0 / (waits[49] - waits[0]).as_secs_f64();
    assert!((40.0..60.0).contains(&rate), "returns at {rate}/s, dispatches at 50/s");
}

#[rstest]
#[case::one_priority(&[1, 1, 1], false)]
#[case::two_priorities(&[0, 1, 1], true)]
fn scale_is_graded(#[case] priorities: &[u32], #[case] expected: bool) {
    let mut config = graded(1);
    for (route, priority) in config.routes.iter_mut().zip(priorities) {
        route.priority = *priority;
    }
    assert_eq!(Scale::of(&config, "models").is_graded(), expected);
}

/// Accounts of different priority alone leave a pool as it was served before.
#[test]
fn scale_of_accounts_alone() {
    let mut config = graded(1);
    config.routes.truncate(1);
    config.keys.as_mut().unwrap().get_mut("two").unwrap().priority = 0;
    assert!(!Scale::of(&config, "models").is_graded());
}

/// Where all requests are equally urgent, none waits and the limits are as before.
#[test]
fn place_without_grades_never_waits() {
    let mut balancer = blank("entry-1");
    balancer.apply(ms(0), configured(2, config(1)));
    balancer.apply(ms(0), listing(3, &[("d1", server("web", "a", 1))]));
    for _ in 0..100 {
        let submission = common::submission("/safe/scan");
        let mut ticket = balancer.admit(ms(0), &submission).unwrap();
        assert_eq!(ticket.urgency, None);
        assert_ne!(balancer.place(ms(0), &mut ticket), Placement::Wait);
    }
}

/// A request whose caller has left must not hold a place or block those behind it.
#[test]
fn leave_queue_frees_place() {
    let mut balancer = entry();
    fill(&mut balancer, "/p0/x");
    let mut gone = balancer.admit(ms(0), &request("/p0/x", "one")).unwrap();
    assert_eq!(balancer.place(ms(0), &mut gone), Placement::Wait);
    let mut next = balancer.admit(ms(1), &request("/p0/x", "one")).unwrap();
    assert_eq!(balancer.place(ms(1), &mut next), Placement::Wait);
    balancer.leave_queue(&mut gone);
    for rank in 0..RANKS {
        balancer.release(&format!("r{rank:02}"));
    }
    assert!(matches!(balancer.place(ms(2), &mut next), Placement::Dispatch(_)));
}

/// A request that waited in vain is refused with a promise that holds: no server had it.
#[test]
fn place_refuses_after_wait() {
    let mut balancer = entry();
    fill(&mut balancer, "/p0/x");
    let mut ticket = balancer.admit(ms(0), &request("/p2/x", "one")).unwrap();
    assert_eq!(balancer.place(ms(0), &mut ticket), Placement::Wait);
    let Placement::Refuse(refusal) = balancer.place(ms(500), &mut ticket) else { panic!() };
    assert_eq!((refusal.reason, refusal.status), (Reason::Waited, 503));
    assert!(refusal.retry_after.is_some() && ticket.tried.is_empty());
}

/// A gateway that was frozen finds its waiting requests expired and refuses them.
#[test]
fn place_refuses_after_freeze() {
    let mut balancer = entry();
    fill(&mut balancer, "/p0/x");
    let mut ticket = balancer.admit(ms(0), &request("/p0/x", "one")).unwrap();
    assert_eq!(balancer.place(ms(0), &mut ticket), Placement::Wait);
    let placement = balancer.place(ms(9000), &mut ticket);
    assert!(matches!(placement, Placement::Refuse(_)), "{placement:?}");
}

/// Dispatches requests until there is no room.
fn fill(balancer: &mut Balancer, path: &'static str) {
    loop {
        let mut ticket = balancer.admit(ms(0), &request(path, "one")).unwrap();
        let placement = balancer.place(ms(0), &mut ticket);
        if !matches!(placement, Placement::Dispatch(_)) {
            balancer.leave_queue(&mut ticket);
            return;
        }
    }
}

/// What became of the requests of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    on_time: u32,
    late: u32,
}

impl Served {
    fn share_on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

struct Running {
    route: usize,
    server: Name,
    left: u32,
    is_late: bool,
}

/// Requests per second and route that arrive between two times in milliseconds.
type Load = fn(u64) -> [u64; 3];

/// Replays a load for eight seconds, and then until all streams have ended. Streams have 19 events; a pass takes `skew` times
/// as long as the cost model says.
fn replay(load: Load, skew: f64) -> [Served; 3] {
    const PATHS: [&str; 3] = ["/p0/x", "/p1/x", "/p2/x"];
    let mut balancer = entry();
    let mut served = [Served::default(); 3];
    let mut due = [0_u64; 3];
    let mut waiting: Vec<(usize, Ticket)> = Vec::new();
    let mut running: Vec<Running> = Vec::new();
    let (mut pass_ends, mut pass_began) = (Duration::ZERO, Duration::ZERO);
    for time in 0..12_000 {
        let now = ms(time);
        let rates = if time < 8000 { load(time) } else { [0; 3] };
        for (route, rate) in rates.into_iter().enumerate() {
            due[route] += rate;
            while due[route] >= 1000 {
                due[route] -= 1000;
                served[route].asked += 1;
                let key = if served[route].asked % 2 == 0 { "one" } else { "two" };
                waiting.push((route, balancer.admit(now, &request(PATHS[route], key)).unwrap()));
            }
        }
        waiting.retain_mut(|(route, ticket)| match balancer.place(now, ticket) {
            Placement::Wait => true,
            Placement::Refuse(_) => false,
            Placement::Dispatch(target) => {
                let server = target.server;
                running.push(Running { route: *route, server, left: 19, is_late: false });
                false
            }
        });
        if now < pass_ends {
            continue;
        }
        let gap = now - pass_began;
        for stream in &mut running {
            balancer.record_gap(now, &"models".into(), &stream.server, gap);
            stream.is_late |= stream.left < 19 && gap > GAP;
            stream.left -= 1;
        }
        for stream in running.extract_if(.., |stream| stream.left == 0) {
            balancer.release(&stream.server);
            let counts = &mut served[stream.route];
            *(if stream.is_late { &mut counts.late } else { &mut counts.on_time }) += 1;
        }
        let mean = running.len() as f64 / f64::from(RANKS);
        let engine = engine();
        let pass = (engine.step + engine.step_per_request.mul_f64(mean)) * engine.stride;
        (pass_began, pass_ends) = (now, now + pass.mul_f64(skew).max(ms(1)));
    }
    served
}

/// Load: for four seconds, far more of the least urgent requests than there is room for.
/// Guards against urgent callers that pay for it.
#[test]
fn replay_burst_of_least_urgent() {
    let load: Load = |time| if (2000..6000).contains(&time) { [15, 20, 70] } else { [15, 20, 7] };
    let served = replay(load, 1.8);
    assert!(served[0].share_on_time() >= 0.85, "{served:?}");
    assert!(served[0].share_on_time() >= served[2].share_on_time(), "{served:?}");
    assert!(served[2].on_time + served[2].late > 0, "the least urgent starve: {served:?}");
}

/// Load: for four seconds, far more of the most urgent requests than there is room for.
/// Guards against all being admitted and all being late.
#[test]
fn replay_burst_of_most_urgent() {
    let load: Load = |time| if (2000..6000).contains(&time) { [60, 20, 7] } else { [15, 20, 7] };
    let served = replay(load, 1.8);
    let (late, on_time) =
        served.iter().fold((0, 0), |sum, route| (sum.0 + route.late, sum.1 + route.on_time));
    assert!(on_time > 2 * late, "{served:?}");
}

/// Load: all callers return at once after an outage, while passes take 2.5 times as long.
/// Guards against a wave that makes everybody late for seconds.
#[test]
fn replay_return_after_outage() {
    let load: Load = |time| match time {
        0..2000 => [0, 0, 0],
        2000..2500 => [120, 160, 60],
        _ => [15, 20, 7],
    };
    let served = replay(load, 2.5);
    assert!(served[0].share_on_time() >= served[2].share_on_time(), "{served:?}");
    assert!(served.iter().all(|route| route.on_time > route.late), "{served:?}");
}
