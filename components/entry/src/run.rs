//! Startup and shutdown of the entry.

use std::sync::Arc;

use actix::Addr;
use actix_web::dev::ServerHandle;
use actix_web::web;
use daemon::{Error, ListenError};
use routing::{Options, Router};
use telemetry::Metrics;
use tokio::sync::oneshot;
use wire::{Link, Sender};

use crate::core::{Core, End, Inbound, Leave, PlatformUpdate, Retire};
use crate::http::{self, Shared};
use crate::intake::Intake;
use crate::meter::Meter;
use crate::operations;
use crate::settings::Settings;

/// Worker threads of the operations address.
const OPERATIONS_WORKERS: usize = 1;

/// Runs an entry until `stop` completes, then drains it.
///
/// # Errors
///
/// If an address can't be bound.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let metrics = Metrics::new()?;
    let core = start_core(&settings, &metrics)?;
    let core_address = core.clone();
    let watch = platform::follow(
        platform::Client::new(settings.platform.clone(), settings.platform_timeout),
        settings.watch.clone(),
        move |update| core_address.do_send(PlatformUpdate(update)),
    );
    let watch = actix_rt::spawn(watch);
    let intake = Intake::new(settings.body_limit, settings.body_budget, &metrics);
    let configure = operations::configure(core.clone(), metrics);
    let operators =
        daemon::serve(settings.operations, OPERATIONS_WORKERS, settings.linger, configure)?;
    let callers = serve_callers(&settings, core.clone(), intake)?;
    log::info!(
        "entry {} started on {}, operations on {}",
        settings.name,
        settings.listen,
        settings.operations
    );
    stop.await;
    drain(&settings, &core).await;
    callers.stop(true).await;
    operators.stop(false).await;
    watch.abort();
    log::info!("entry {} stopped", settings.name);
    Ok(())
}

fn start_core(settings: &Settings, metrics: &Metrics) -> Result<Addr<Core>, Error> {
    let sender = Sender {
        name: settings.name.clone(),
        incarnation: daemon::incarnation(),
        link: settings.link.clone(),
    };
    let options = Options {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        link: settings.link.clone(),
        peers: settings.peers.clone(),
        seed: settings.seed,
    };
    let context = actix::Context::<Core>::new();
    let inbound = actix::AsyncContext::address(&context);
    let link = Link::open(sender, move |frame| inbound.do_send(Inbound(frame)))?;
    let core = Core::new(Router::new(options), link, Meter::new(metrics));
    Ok(context.run(core))
}

fn serve_callers(
    settings: &Settings,
    core: Addr<Core>,
    intake: Intake,
) -> Result<ServerHandle, ListenError> {
    let shared = web::Data::new(Shared { core, intake: Arc::new(intake) });
    let configure = move |config: &mut web::ServiceConfig| {
        config.app_data(shared.clone()).default_service(web::to(http::serve));
    };
    let options =
        daemon::Options { connections: settings.connections, ..daemon::Options::default() };
    let (workers, drain_timeout) = (settings.workers, settings.drain_timeout);
    daemon::serve_with(settings.listen, workers, drain_timeout, options, configure)
}

/// Reports not ready for `linger`, then refuses new requests and waits until
/// the open ones are answered, those that take too long with a problem.
async fn drain(settings: &Settings, core: &Addr<Core>) {
    let (drained, wait) = oneshot::channel();
    core.do_send(Retire);
    actix_rt::time::sleep(settings.linger).await;
    core.do_send(Leave { drained });
    let result = actix_rt::time::timeout(settings.drain_timeout, wait).await;
    if result.is_err() {
        log::warn!(
            "drain timeout of {:?} exceeded with requests still open",
            settings.drain_timeout
        );
        core.do_send(End);
    }
}
