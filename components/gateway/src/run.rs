//! Starts and stops the tasks and listeners of the entry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balance::content::Kind;
use balance::{Balancer, Options};
use daemon::{Error, ListenError};
use listener::{Bounds, Handler, Listener};
use registry::Registration;
use telemetry::Metrics;

use crate::intake::Intake;
use crate::meter::Meter;
use crate::quota::Quota;
use crate::relay::Context;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{front, memory, operations, peers, reload, store};

/// Time within which callers take their final responses before the process exits.
const RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Interval at which open requests are counted while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between sweeps of idle connections to backend servers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs an entry until `stop` completes, then drains open requests.
///
/// # Errors
///
/// If a listener or the link cannot be opened, or the metrics cannot be set up.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    memory::configure_allocator();
    let metrics = Metrics::new()?;
    let incarnation = daemon::incarnation();
    let mut balancer = Balancer::new(Options {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        link: settings.link_name(),
        seeds: settings.seed_links(),
        limits: settings.limits,
        holds: settings.holds,
        freshness: settings.freshness,
        grace: settings.grace,
        seed: incarnation,
    });
    balancer.set_zones(settings.zones);
    let self_description = balancer.self_description();
    let quota = Quota::new(settings.memory_mb << 20);
    let intake = Intake::new(settings.memory_mb << 20);
    let meter = Meter::new(&metrics, settings.zone.clone());
    let shared = Arc::new(Shared::new(balancer, meter, quota, intake));
    let store = registry::Store::new(settings.store);
    let (name, link) = (settings.name.clone(), settings.link_name());
    let frame_exchange = peers::start(shared.clone(), store.clone(), name, link)?;
    let callers = serve(&settings, &shared, metrics)?;
    actix_rt::spawn(frame_exchange);
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
    drain(&shared, &callers).await;
    log::info!(target: "entry", name:% = settings.name, open = shared.open_requests(); "stopped");
    log::logger().flush();
    Ok(())
}

fn serve(settings: &Settings, shared: &Arc<Shared>, metrics: Metrics) -> Result<Listener, Error> {
    let callers = serve_callers(
        settings.listen,
        memory::bounds(settings.memory_mb << 20, settings.descriptors),
        shared.clone(),
    )
    .map_err(|source| ListenError { address: settings.listen, source })?;
    let ready = operations::configure_ready(shared.clone());
    daemon::serve(settings.ready, 1, settings.grace, ready)?;
    let operations = operations::configure(shared.clone(), metrics);
    daemon::serve(settings.operations, 1, settings.grace, operations)?;
    Ok(callers)
}

/// Serves callers on a thread of its own, which also owns the connections to backend
/// servers.
fn serve_callers(
    address: SocketAddr,
    bounds: Bounds,
    shared: Arc<Shared>,
) -> std::io::Result<Listener> {
    Listener::start(address, move || {
        let context = Rc::new(Context { shared, pool: connection::Pool::default() });
        let sweeper = context.clone();
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(SWEEP_INTERVAL).await;
                sweeper.pool.sweep();
            }
        });
        let (limited, recorded) = (context.shared.clone(), context.shared.clone());
        Handler {
            bounds,
            limits: Box::new(move || front::limits(&limited)),
            on_rejection: Box::new(move |rejection| {
                front::record_rejection(&recorded, &rejection);
            }),
            respond: move |request| front::serve(context.clone(), request),
        }
    })
}

/// Reports the entry as not ready and waits for open requests to complete. Those that
/// can't complete before the forced stop get a final response.
async fn drain(shared: &Shared, callers: &Listener) {
    let drain = shared.leave();
    let ends_in = drain.ends_at().saturating_sub(shared.now());
    log::info!(target: "entry", open = shared.open_requests(),
        ends_in_ms = ends_in.as_millis() as u64; "stopping");
    let until = |time: Duration| actix_rt::time::sleep(time.saturating_sub(shared.now()));
    until(drain.accepts_until()).await;
    // Closes idle connections, since later requests on them could not complete.
    callers.stop();
    wait_while_busy(shared, callers, drain.ends_at()).await;
    if shared.open_requests() > 0 {
        log::warn!(target: "entry", open = shared.open_requests(); "ending open requests");
    }
    shared.end_requests();
    wait_while_busy(shared, callers, drain.ends_at() + RESPONSE_TIME).await;
}

/// Waits until all callers have read their responses, at most until `limit`.
async fn wait_while_busy(shared: &Shared, callers: &Listener, limit: Duration) {
    let is_busy = || shared.open_requests() > 0 || callers.open() > 0;
    while is_busy() && shared.now() < limit {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
