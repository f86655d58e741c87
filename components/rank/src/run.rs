//! Starts and stops the agent's tasks.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use balance::config::Config;
use balance::content::{Agent as Record, Content, Kind};
use connection::Pool;
use daemon::Error;
use group::placement::even::Bounds;
use group::switch::{Model, Report};
use registry::{Registration, Store};
use tables::Name;
use telemetry::{Metrics, Readiness};
use tokio::sync::mpsc;
use wire::{Link, Sender};

use crate::agent::{Agent, Event};
use crate::rank_client;
use crate::roster::Roster;
use crate::settings::Settings;

/// Time between two listings of the store.
const LISTING_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two listings once all agents and the model are known.
const LISTING_INTERVAL_COMPLETE: Duration = Duration::from_secs(6);

/// Time to copy an expert if the configuration lacks it; assumes a slow link.
const DEFAULT_COPY_TIME: Duration = Duration::from_secs(1);

/// Pause between events that callers accept, if no route states one.
const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

/// Time between two attempts to read the rank's first report.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Runs an agent until `stop` completes.
///
/// # Errors
///
/// If an address can't be used.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let metrics = Metrics::new()?;
    let (events, received) = mpsc::unbounded_channel();
    let identity = Sender {
        name: settings.name.clone(),
        incarnation: daemon::incarnation(),
        link: settings.link_name(),
    };
    let frames = events.clone();
    let link = Link::open(identity, move |frame| {
        // Fails only at exit, after the receiver was dropped.
        let _ = frames.send(Event::Frame(frame));
    })?;
    serve_operations(&settings, metrics)?;
    let (remote_reports, mut reports) = mpsc::unbounded_channel();
    let forward = events.clone();
    actix_rt::spawn(async move {
        while let Some((address, report)) = reports.recv().await {
            let _ = forward.send(Event::RemoteReport(address, report));
        }
    });
    let store = Store::new(settings.store);
    let is_leader = Rc::new(Cell::new(false));
    actix_rt::spawn(follow_store(settings.clone(), store, events, is_leader.clone()));
    let agent = Agent::new(settings.clone(), link, remote_reports, is_leader);
    actix_rt::spawn(agent.run(received));
    actix_rt::spawn(daemon::on_sighup(|| {
        log::info!(target: "settings", "reload requested; changed settings need a restart");
    }));
    log::info!(target: "agent", name:% = settings.name, rank:% = settings.rank; "started");
    stop.await;
    log::info!(target: "agent", name:% = settings.name; "stopped");
    log::logger().flush();
    Ok(())
}

fn serve_operations(settings: &Settings, metrics: Metrics) -> Result<(), Error> {
    let ready = || async { Readiness::Ready };
    let name = settings.name.clone();
    let dump = move || {
        let name = name.clone();
        async move { serde_json::json!({ "name": name }) }
    };
    let configure = telemetry::operations(metrics, ready, dump);
    daemon::serve(settings.operations, 1, Duration::from_secs(1), configure)?;
    Ok(())
}

/// Registers the agent in the store, then lists agents, model and entries
/// periodically.
async fn follow_store(
    settings: Settings,
    store: Store,
    events: mpsc::UnboundedSender<Event>,
    is_leader: Rc<Cell<bool>>,
) {
    let report = wait_for_report(&settings).await;
    let record = Record {
        link: settings.link_name(),
        address: settings.rank,
        group: report.group.as_str().into(),
    };
    let description = adapter::store::encode_agent(&record);
    let name = settings.name.clone();
    let mut registration = Registration::new(Kind::Agent, name, description, daemon::incarnation());
    let era = registration.register(&store).await;
    actix_rt::spawn(registration.keep_registered(store.clone(), era));
    let started = Instant::now();
    let mut roster = Roster::default();
    let mut model = None;
    loop {
        if model.is_none() {
            model = read_model(&store, &settings.pool).await;
        }
        if let Some((era, agents)) = list_agents(&store).await {
            roster.apply_listing(started.elapsed(), era, agents);
        }
        let all_listed = roster.agents().len() >= report.size as usize;
        if !roster.agents().is_empty() {
            let _ = events.send(Event::Listing(roster.agents().clone(), model));
        }
        if is_leader.get()
            && let Some(links) = list_entries(&store).await
        {
            let _ = events.send(Event::Entries(links));
        }
        let complete = all_listed && model.is_some();
        actix_rt::time::sleep(if complete { LISTING_INTERVAL_COMPLETE } else { LISTING_INTERVAL })
            .await;
    }
}

async fn wait_for_report(settings: &Settings) -> Report {
    let pool = Pool::default();
    loop {
        match rank_client::report(&pool, settings.rank).await {
            Ok(report) => return report,
            Err(error) => {
                log::info!(target: "rank", error:% = error;
                    "could not read the first report, retrying");
                actix_rt::time::sleep(FIRST_REPORT_INTERVAL).await;
            }
        }
    }
}

/// Returns the links of the entries, to which the leader reports slow ranks.
async fn list_entries(store: &Store) -> Option<Vec<Name>> {
    let (_, rows) = list(store, Kind::Peer, "could not list entries").await?;
    let links = rows.into_iter().filter_map(|(_, content)| match content {
        Content::Peer(peer) => Some(peer.link),
        _ => None,
    });
    Some(links.collect())
}

/// Returns the store's era and the agents that it lists.
async fn list_agents(store: &Store) -> Option<(u64, Vec<(Name, Record)>)> {
    let (era, rows) = list(store, Kind::Agent, "could not list agents").await?;
    let agents = rows.into_iter().filter_map(|(name, content)| match content {
        Content::Agent(agent) => Some((name, agent)),
        _ => None,
    });
    Some((era, agents.collect()))
}

/// Reads the model that the pool serves from the configuration.
async fn read_model(store: &Store, pool: &Name) -> Option<Model> {
    let (_, rows) = list(store, Kind::Config, "could not read the configuration").await?;
    rows.into_iter().find_map(|(_, content)| match content {
        Content::Config(config) => served_model(&config, pool),
        _ => None,
    })
}

/// Returns the store's era and the objects of a kind. The data may be seconds
/// old. If the call fails, logs `failure` and returns `None`.
async fn list(
    store: &Store,
    kind: Kind,
    failure: &'static str,
) -> Option<(u64, Vec<(Name, Content)>)> {
    match store.list_stale(kind).await {
        Ok(listed) => {
            let rows = listed.page.rows.into_iter();
            let rows = rows.filter_map(|(name, row)| Some((name, row.body?)));
            Some((listed.position.era, rows.collect()))
        }
        Err(error) => {
            log::info!(target: "store", error:% = error; "{failure}");
            None
        }
    }
}

/// Returns the properties of the pool's model that matter for maps. The defaults
/// for missing figures are chosen such that maps change rarely.
fn served_model(config: &Config, pool: &Name) -> Option<Model> {
    let experts = config.pools.get(pool)?.engine?.experts?;
    let serving =
        config.routes.iter().filter(|route| route.pools.iter().any(|(name, _)| name == pool));
    let gap = serving.filter_map(|route| route.gap).min();
    if experts.copy.is_none() || gap.is_none() {
        log::warn!(target: "settings", copy_known = experts.copy.is_some(),
            gap_known = gap.is_some();
            "configuration lacks copy time or accepted gap of the model");
    }
    let bounds = Bounds {
        places: experts.places as usize,
        fresh: experts.fresh as usize,
        // The leader sets the limits on copies and gain for each change.
        copies: 0,
        gain: 0.0,
    };
    Some(Model {
        sets: experts.sets as usize,
        experts: experts.count as usize,
        bounds,
        copy: experts.copy.unwrap_or(DEFAULT_COPY_TIME),
        pause: gap.unwrap_or(DEFAULT_PAUSE),
    })
}
