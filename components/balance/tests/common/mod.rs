//! Fixtures for the tests: an entry with routes and backend servers.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use balance::config::{Account, Config, Kind as RouteKind, Limits, Pool, Route};
use balance::content::{Content, Group, Kind, Server};
use balance::{Balancer, Options, Submission, Ticket, Update};
use tables::{Name, Position, Row};

/// A time or duration in milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// An entry without a configuration or servers.
pub fn blank(name: &str) -> Balancer {
    Balancer::new(Options {
        name: name.into(),
        zone: "a".into(),
        link: format!("tcp://10.0.0.1:{}", name.len()).into(),
        seeds: Vec::new(),
        limits: balance::Limits { retry_ratio: 0.2, retry_slack: 30.0, retry_window: ms(10_000) },
        holds: balance::hold::Bounds::default(),
        freshness: balance::freshness::Bounds::default(),
        grace: ms(8000),
        seed: 7,
    })
}

/// A configuration with one route of each kind: `/stream/`, `/safe/`, `/once/`.
pub fn config(version: u64) -> Config {
    let route = |prefix: &str, pool: &str, kind| Route {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        pools: vec![(pool.into(), 1)],
        kind,
        timeout: ms(8000),
        objective: ms(400),
        attempts: 3,
        priority: 1,
        gap: None,
        public: false,
    };
    let cold = Pool { cold_rate: 10.0, engine: None };
    Config {
        version,
        routes: vec![
            route("/stream/", "models", RouteKind::Stream { resumable: true }),
            route("/safe/", "web", RouteKind::Idempotent),
            route("/once/", "web", RouteKind::Once),
        ],
        pools: BTreeMap::from([("models".into(), cold), ("web".into(), Pool::default())]),
        keys: Some(BTreeMap::from([(
            "key".into(),
            Account { name: "benches".into(), priority: 1 },
        )])),
        limits: Limits { body: 1000, ..Limits::default() },
    }
}

/// A warm server.
pub fn server(pool: &str, zone: &str, port: u16) -> Server {
    Server {
        pool: pool.into(),
        address: ([10, 0, 0, 9], port).into(),
        zone: zone.into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
        started_ms: 1,
        group: None,
    }
}

/// A rank of a group.
pub fn rank(port: u16, open: bool) -> Server {
    let group = Group { name: "g".into(), epoch: 1, rank: 0, size: 1, open };
    Server { group: Some(group), ..server("models", "a", port) }
}

/// A position in the store's first era.
pub fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

/// A listing of servers.
pub fn listing(revision: u64, servers: &[(&str, Server)]) -> Update {
    let row = |(name, server): &(&str, Server)| {
        let body = Some(Content::Server(server.clone()));
        (Name::from(*name), Row { version: revision, body })
    };
    Update::Listing {
        kind: Kind::Server,
        position: at(revision),
        rows: servers.iter().map(row).collect(),
    }
}

/// A listing of the configuration.
pub fn configured(revision: u64, config: Config) -> Update {
    let body = Some(Content::Config(Box::new(config)));
    let rows = vec![("main".into(), Row { version: revision, body })];
    Update::Listing { kind: Kind::Config, position: at(revision), rows }
}

/// A listing of zones that are out of service.
pub fn zones_out(revision: u64, zones: &[&str]) -> Update {
    let row =
        |zone: &&str| (Name::from(*zone), Row { version: revision, body: Some(Content::ZoneOut) });
    Update::Listing {
        kind: Kind::Zone,
        position: at(revision),
        rows: zones.iter().map(row).collect(),
    }
}

/// A ready entry with the given servers.
pub fn ready(servers: &[(&str, Server)]) -> Balancer {
    let mut balancer = blank("entry-1");
    balancer.apply(ms(0), configured(2, config(1)));
    balancer.apply(ms(0), listing(3, servers));
    balancer
}

/// A caller's request for a path.
pub fn submission(path: &str) -> Submission<'_> {
    Submission {
        host: "shop.example",
        path,
        key: Some("key"),
        caller_timeout: Some(ms(4000)),
        prompt_tokens: 100,
        fingerprint: 1,
        shared_parts: &[],
    }
}

/// The set of servers chosen for 40 consecutive requests.
pub fn chosen(balancer: &mut Balancer, now: Duration, path: &str) -> BTreeSet<String> {
    let mut send = || {
        let (_, server) = sent(balancer, now, path);
        balancer.release(&server);
        server.to_string()
    };
    (0..40).map(|_| send()).collect()
}

/// Admits a request and chooses its first server.
pub fn sent(balancer: &mut Balancer, now: Duration, path: &str) -> (Ticket, Name) {
    let mut ticket = balancer.admit(now, &submission(path)).unwrap();
    let target = balancer.choose(now, &mut ticket).unwrap();
    (ticket, target.server)
}
