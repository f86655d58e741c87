//! A rank group on loopback: an engine and an agent for each rank, and the
//! platform, without an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use ::platform::{Client, Expect};
use lab::engine::{Step, StepRecord};
use lab::{engine, platform};
use serde_json::{Value, json};
use tables::Name;

use crate::cluster::{dump, wait_for};
use crate::port;
use crate::process::Process;

/// Name of the group.
const GROUP: &str = "ranks";
/// Number of ranks in the group.
const RANKS: usize = 3;
/// Longest wait for a reply of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(30);

/// One rank.
pub struct Rank {
    /// The stand-in engine.
    pub engine: lab::Handle,
    /// The agent.
    pub process: Process,
    /// The agent's address for operators.
    pub operations: SocketAddr,
    settings: Value,
}

/// A running group.
pub struct Ranks {
    /// The stand-in for the platform.
    pub platform: platform::Handle,
    /// The ranks, rank 0 first.
    pub ranks: Vec<Rank>,
}

impl Ranks {
    /// Starts a group whose engines check fencing numbers if `fencing`.
    pub fn start(fencing: bool) -> Ranks {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::serve(listen, platform::Settings::default());
        let platform = platform.expect("the platform starts");
        let links: Vec<Name> =
            (0..RANKS).map(|_| format!("tcp://{}", port::free()).into()).collect();
        let rank = |rank| start_rank(rank, fencing, &links, &platform.url());
        let ranks = (0..RANKS).map(rank).collect();
        Ranks { platform, ranks }
    }

    /// Restarts the agent of a rank.
    pub fn restart(&mut self, rank: usize) {
        let rank = &mut self.ranks[rank];
        rank.process = Process::start(&["wisteria-agent"], "agent", &rank.settings);
    }

    /// Writes the group's expert map, replacing an existing one.
    pub async fn put_map(&self, value: Value) {
        let client = Client::new(vec![self.platform.url()], PLATFORM_TIMEOUT);
        let current = client.get("map", GROUP).await.expect("the platform answers");
        let expect = current.map_or(Expect::Absent, |object| Expect::Version(object.version));
        client.put("map", GROUP, expect, &value).await.expect("the map is written");
    }

    /// The steps that each engine has executed.
    pub async fn records(&self) -> Vec<StepRecord> {
        let mut records = Vec::new();
        for rank in &self.ranks {
            let url = format!("{}/v1/group/steps", rank.engine.to_url());
            let record = wait_for("an engine's record", || async {
                let mut response = awc::Client::default().get(&url).send().await.ok()?;
                response.json().limit(64 << 20).await.ok()
            });
            records.push(record.await);
        }
        records
    }

    /// Waits for a leader other than `former`, and returns its rank and fencing
    /// number.
    pub async fn leader(&self, former: Option<usize>) -> (usize, u64) {
        wait_for("a leader", || async {
            for (number, rank) in self.ranks.iter().enumerate() {
                if former == Some(number) {
                    continue;
                }
                let Some(dump) = dump(rank.operations).await else { continue };
                let fence = &dump["group"]["agent"]["leader"]["fence"]["number"];
                if let Some(fence) = fence.as_u64() {
                    return Some((number, fence));
                }
            }
            None
        })
        .await
    }

    /// Waits until every engine has executed another `count` steps.
    pub async fn wait_for_steps(&self, count: usize) {
        let before = self.records().await;
        wait_for("steps of all ranks", || async {
            let records = self.records().await;
            let grown = |(now, before): (&StepRecord, &StepRecord)| {
                now.steps.len() >= before.steps.len() + count
            };
            records.iter().zip(&before).all(grown).then_some(())
        })
        .await;
    }

    /// Waits until every engine executes steps under a map not in `former`.
    pub async fn wait_for_map(&self, former: &BTreeSet<u64>) {
        wait_for("the new map in force", || async {
            let records = self.records().await;
            let new = |record: &StepRecord| {
                record.steps.last().is_some_and(|step| !former.contains(&step.map))
            };
            records.iter().all(new).then_some(())
        })
        .await;
    }

    /// Asserts that each step was executed under one map only, and at most once
    /// by each rank.
    pub async fn assert_agreement(&self) {
        let records = self.records().await;
        let mut maps: BTreeMap<u64, Step> = BTreeMap::new();
        for (rank, record) in records.iter().enumerate() {
            let mut own = BTreeSet::new();
            for step in &record.steps {
                assert!(own.insert(step.step), "rank {rank} ran {step:?} twice");
                let other = maps.entry(step.step).or_insert(*step);
                assert_eq!(other.map, step.map, "rank {rank} ran {step:?}, another {other:?}");
            }
        }
    }

    /// Asserts that all ranks executed the same steps, up to the last step of the
    /// least advanced one.
    pub async fn assert_no_gaps(&self) {
        let records = self.records().await;
        let last = |record: &StepRecord| record.steps.last().map_or(0, |step| step.step);
        let end = records.iter().map(last).min().unwrap_or(0);
        let run = |record: &StepRecord| -> BTreeSet<u64> {
            record.steps.iter().map(|step| step.step).filter(|step| *step <= end).collect()
        };
        let first = run(&records[0]);
        for (rank, record) in records.iter().enumerate() {
            let other = run(record);
            let missing: Vec<&u64> = first.symmetric_difference(&other).collect();
            assert!(missing.is_empty(), "ranks 0 and {rank} differ in steps {missing:?}");
        }
    }

    /// All maps under which steps have been executed.
    pub async fn maps(&self) -> BTreeSet<u64> {
        let records = self.records().await;
        records.iter().flat_map(|record| &record.steps).map(|step| step.map).collect()
    }
}

fn start_rank(rank: usize, fencing: bool, links: &[Name], platform: &str) -> Rank {
    let model = format!("rank-{rank}").into();
    let settings = engine::Settings { fencing, model, ..engine::Settings::default() };
    let engine = engine::serve(settings).expect("an engine starts");
    let operations = port::free();
    let settings = json!({
        "name": format!("engine-{rank}"), "zone": "accra-1", "pool": "chat", "kind": "model",
        "backend": engine.to_url(), "operations": operations, "link": links[rank],
        "platform": [platform], "check_ms": 100, "platform_timeout_ms": 500, "drain_ms": 5_000,
        "group": {
            "name": GROUP, "rank": rank, "members": links, "block": 16, "heartbeat_ms": 100,
            "timeout_ms": 1_000, "stagger_ms": 300, "fenced": fencing,
            "map": {"experts": [0, 1, 2]}, "map_interval_ms": 1_000,
        },
    });
    let process = Process::start(&["wisteria-agent"], &format!("agent-{rank}"), &settings);
    Rank { engine, process, operations, settings }
}
