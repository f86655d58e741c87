//! Starts the entry's parts and stops them in order.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use actix_web::web;
use balance::content::Kind;
use balance::{Balancer, Options};
use daemon::Error;
use registry::Registration;
use telemetry::Metrics;

use crate::meter::Meter;
use crate::quota::Quota;
use crate::relay::Context;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{front, operations, peers, reload, store};

/// Time after the signal to stop in which callers may still come: the platform
/// takes an entry out after two questions, a second apart.
const LINGER: Duration = Duration::from_millis(2500);

/// Time between the last look at open requests and the end by force.
const MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at open requests while stopping.
const LOOK: Duration = Duration::from_millis(20);

/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_millis(500);

/// Idle time of a caller's connection. Longer than operators let callers idle.
const CALLER_IDLE: Duration = Duration::from_secs(75);

/// Runs an entry until `stop` completes, then lets open requests end.
///
/// # Errors
///
/// If an address can't be used.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let metrics = Metrics::new()?;
    let incarnation = daemon::incarnation();
    let balancer = Balancer::new(Options {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        link: settings.link_name(),
        seeds: settings.seed_links(),
        limits: settings.limits,
        holds: settings.holds,
        seed: incarnation,
    });
    let self_description = balancer.self_description();
    let quota = Quota::new(settings.memory_mb << 20);
    let shared = Arc::new(Shared::new(balancer, Meter::new(&metrics), quota));
    let store = registry::Store::new(settings.store);
    let (name, link) = (settings.name.clone(), settings.link_name());
    let talk = peers::start(shared.clone(), store.clone(), name, link)?;
    let callers = serve(&settings, &shared, metrics)?;
    actix_rt::spawn(talk);
    for (index, kind) in Kind::ALL.into_iter().enumerate() {
        let seed = incarnation.wrapping_add(index as u64);
        actix_rt::spawn(store::follow(shared.clone(), store.clone(), kind, seed));
    }
    actix_rt::spawn(store::follow_peers(shared.clone(), store.clone()));
    let description = adapter::store::encode_peer(&self_description);
    let name = settings.name.clone();
    let mut registration = Registration::new(Kind::Peer, name, description, incarnation);
    actix_rt::spawn(async move {
        let era = registration.register(&store).await;
        registration.keep_registered(store, era).await;
    });
    actix_rt::spawn(reload::follow(shared.clone(), path, settings.clone()));
    log::info!(target: "entry", name:% = settings.name, zone:% = settings.zone,
        listen:% = settings.listen, incarnation = incarnation; "started");
    stop.await;
    drain(&settings, &shared, &callers).await;
    log::info!(target: "entry", name:% = settings.name, open = shared.open(); "stopped");
    log::logger().flush();
    Ok(())
}

fn serve(
    settings: &Settings,
    shared: &Arc<Shared>,
    metrics: Metrics,
) -> Result<ServerHandle, Error> {
    let options = daemon::Options { keep_alive: CALLER_IDLE, half_closed: false };
    let context_shared = shared.clone();
    let configure = move |config: &mut web::ServiceConfig| {
        // Made on the thread that serves: connections stay on it.
        let pool = connection::Pool::default();
        let context = Rc::new(Context { shared: context_shared.clone(), pool });
        let swept = context.clone();
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(SWEEP).await;
                swept.pool.sweep();
            }
        });
        config.default_service(web::to(move |request, payload| {
            front::serve(context.clone(), request, payload)
        }));
    };
    let callers = daemon::serve_with(settings.listen, 1, settings.grace, options, configure)?;
    let ready = operations::configure_ready(shared.clone());
    daemon::serve(settings.ready, 1, settings.grace, ready)?;
    let operations = operations::configure(shared.clone(), metrics);
    daemon::serve(settings.operations, 1, settings.grace, operations)?;
    Ok(callers)
}

/// Says that callers should go elsewhere and waits for open requests.
async fn drain(settings: &Settings, shared: &Shared, callers: &ServerHandle) {
    let begun = Instant::now();
    shared.leave();
    log::info!(target: "entry", open = shared.open(); "stopping");
    actix_rt::time::sleep(LINGER.min(settings.grace / 2)).await;
    // Closes idle connections: what came on them later could not be finished.
    let stopped = callers.stop(true);
    actix_rt::spawn(stopped);
    while shared.open() > 0 && begun.elapsed() + MARGIN < settings.grace {
        actix_rt::time::sleep(LOOK).await;
    }
}
