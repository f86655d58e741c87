//! Startup and shutdown of the agent.

use std::time::Duration;

use actix::{Addr, AsyncContext};
use daemon::Error;
use tables::PoolKind;
use telemetry::Metrics;
use tokio::sync::oneshot;
use wire::{Link, Sender};

use crate::client::Client;
use crate::core::{Core, Inbound, Leave, Targets};
use crate::meter::Meter;
use crate::operations;
use crate::rank::Rank;
use crate::rank_actor::Member;
use crate::settings::Settings;
use crate::state::{Options, State};

/// Worker threads of the operations address.
const OPERATIONS_WORKERS: usize = 1;
/// Time to wait for the last frames to be sent.
const FINAL_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Runs an agent until `stop` completes, then drains it.
///
/// # Errors
///
/// If an address can't be bound.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let metrics = Metrics::new()?;
    let core = start_core(&settings, &metrics)?;
    let configure = operations::configure(core.clone(), metrics);
    let operators =
        daemon::serve(settings.operations, OPERATIONS_WORKERS, settings.drain_timeout, configure)?;
    log::info!("agent {} started for backend server {}", settings.name, settings.backend);
    stop.await;
    drain(&settings, &core).await;
    operators.stop(false).await;
    log::info!("agent {} stopped", settings.name);
    Ok(())
}

fn start_core(settings: &Settings, metrics: &Metrics) -> Result<Addr<Core>, Error> {
    let backend = Client::new(settings.backend.clone());
    let incarnation = daemon::incarnation();
    let sender = Sender { name: settings.name.clone(), incarnation, link: settings.link.clone() };
    let options = Options {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        pool: settings.pool.clone(),
        incarnation,
        limit: settings.limit,
        cold: settings.kind == PoolKind::Model,
        peers: settings.peers.clone(),
        partitions: settings.partitions,
        claims: settings.claims.clone(),
    };
    let targets = Targets {
        backend: backend.clone(),
        kind: settings.kind,
        platform: platform::Client::new(settings.platform.clone(), settings.platform_timeout),
        pool: settings.pool.clone(),
        check_interval: settings.check_interval,
    };
    let context = actix::Context::<Core>::new();
    let inbound = context.address();
    let link = Link::open(sender, move |frame| inbound.do_send(Inbound(frame)))?;
    let state = State::new(Duration::ZERO, options);
    let member = settings.group.as_ref().map(|membership| {
        let rank = Rank::new(Duration::ZERO, incarnation, membership.clone());
        Member::new(rank, membership.name.clone(), backend, metrics)
    });
    Ok(context.run(Core::new(state, link, Meter::new(metrics), targets, member)))
}

/// Refuses new requests and waits until the open ones are answered.
async fn drain(settings: &Settings, core: &Addr<Core>) {
    let (drained, wait) = oneshot::channel();
    core.do_send(Leave { drained });
    if actix_rt::time::timeout(settings.drain_timeout, wait).await.is_err() {
        log::warn!(
            "drain timeout of {:?} exceeded with requests still open",
            settings.drain_timeout
        );
    }
    actix_rt::time::sleep(FINAL_FLUSH_DELAY).await;
}
