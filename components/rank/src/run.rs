//! Starts the agent's parts and stops them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use balance::config::Config;
use balance::content::{Agent as Described, Content, Kind};
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

/// Time between two looks at which agents there are.
const LOOK: Duration = Duration::from_secs(2);

/// The same once all agents are known.
const LOOK_COMPLETE: Duration = Duration::from_secs(6);

/// Time to copy an expert where the configuration states none: a slow link.
const COPY_UNKNOWN: Duration = Duration::from_secs(1);

/// Pause between events that callers accept where no route states one.
const PAUSE_UNKNOWN: Duration = Duration::from_secs(1);

/// Wait before the rank is asked again for its first report.
const FIRST_REPORT: Duration = Duration::from_millis(200);

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
        // The receiver is gone only when the process ends.
        let _ = frames.send(Event::Frame(frame));
    })?;
    serve_operations(&settings, metrics)?;
    let (remote, mut reports) = mpsc::unbounded_channel();
    let forward = events.clone();
    actix_rt::spawn(async move {
        while let Some((address, report)) = reports.recv().await {
            let _ = forward.send(Event::Remote(address, report));
        }
    });
    let store = Store::new(settings.store);
    let leads = Rc::new(Cell::new(false));
    actix_rt::spawn(look(settings.clone(), store, events, leads.clone()));
    let agent = Agent::new(settings.clone(), link, remote, leads);
    actix_rt::spawn(agent.run(received));
    actix_rt::spawn(daemon::on_sighup(|| {
        log::info!(target: "settings", "told to reload; changes need a restart");
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

/// Enters the agent into the store and looks for the others.
async fn look(
    settings: Settings,
    store: Store,
    events: mpsc::UnboundedSender<Event>,
    leads: Rc<Cell<bool>>,
) {
    let report = first_report(&settings).await;
    let described = Described {
        link: settings.link_name(),
        address: settings.rank,
        group: report.group.as_str().into(),
    };
    let description = adapter::store::encode_agent(&described);
    let name = settings.name.clone();
    let mut registration = Registration::new(Kind::Agent, name, description, daemon::incarnation());
    let era = registration.register(&store).await;
    actix_rt::spawn(registration.keep_registered(store.clone(), era));
    let started = Instant::now();
    let mut roster = Roster::default();
    let mut served = None;
    loop {
        if served.is_none() {
            served = model(&store, &settings.pool).await;
        }
        if let Some((era, agents)) = agents(&store).await {
            roster.learn(started.elapsed(), era, agents);
        }
        let whole = roster.agents().len() >= report.size as usize;
        if !roster.agents().is_empty() {
            let _ = events.send(Event::Known(roster.agents().clone(), served));
        }
        if leads.get()
            && let Some(links) = entries(&store).await
        {
            let _ = events.send(Event::Entries(links));
        }
        let complete = whole && served.is_some();
        actix_rt::time::sleep(if complete { LOOK_COMPLETE } else { LOOK }).await;
    }
}

async fn first_report(settings: &Settings) -> Report {
    let pool = Pool::default();
    loop {
        match rank_client::report(&pool, settings.rank).await {
            Ok(report) => return report,
            Err(error) => {
                log::info!(target: "rank", error:% = error; "no report yet");
                actix_rt::time::sleep(FIRST_REPORT).await;
            }
        }
    }
}

/// The links of the entries, for a leader that has something to tell them.
async fn entries(store: &Store) -> Option<Vec<Name>> {
    let (_, rows) = list(store, Kind::Peer, "entries not listed").await?;
    let links = rows.into_iter().filter_map(|(_, content)| match content {
        Content::Peer(peer) => Some(peer.link),
        _ => None,
    });
    Some(links.collect())
}

/// The agents that the store names, and the store's era.
async fn agents(store: &Store) -> Option<(u64, Vec<(Name, Described)>)> {
    let (era, rows) = list(store, Kind::Agent, "agents not listed").await?;
    let agents = rows.into_iter().filter_map(|(name, content)| match content {
        Content::Agent(agent) => Some((name, agent)),
        _ => None,
    });
    Some((era, agents.collect()))
}

/// What the configuration says of the model that the pool serves.
async fn model(store: &Store, pool: &Name) -> Option<Model> {
    let (_, rows) = list(store, Kind::Config, "configuration not read").await?;
    rows.into_iter().find_map(|(_, content)| match content {
        Content::Config(config) => served_model(&config, pool),
        _ => None,
    })
}

/// The objects of a kind, of data that may be seconds old, and the store's era.
/// Nothing, and a line in the log, if they can't be had.
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

/// The model as far as maps are concerned. Figures that the configuration
/// lacks are taken to be such that maps change seldom.
fn served_model(config: &Config, pool: &Name) -> Option<Model> {
    let experts = config.pools.get(pool)?.engine?.experts?;
    let serving =
        config.routes.iter().filter(|route| route.pools.iter().any(|(name, _)| name == pool));
    let gap = serving.filter_map(|route| route.gap).min();
    if experts.copy.is_none() || gap.is_none() {
        log::warn!(target: "settings", copy_known = experts.copy.is_some(),
            gap_known = gap.is_some(); "the configuration lacks figures of the model");
    }
    let bounds = Bounds {
        places: experts.places as usize,
        fresh: experts.fresh as usize,
        // The leader says how much a change may copy, and for which gain.
        copies: 0,
        gain: 0.0,
    };
    Some(Model {
        sets: experts.sets as usize,
        experts: experts.count as usize,
        bounds,
        copy: experts.copy.unwrap_or(COPY_UNKNOWN),
        pause: gap.unwrap_or(PAUSE_UNKNOWN),
    })
}
