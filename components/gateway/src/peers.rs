//! Exchanges frames with the other entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use balance::balancer::HEARTBEAT;
use balance::content::Kind;
use balance::gossip::Message;
use registry::Store;
use tables::Name;
use tokio::sync::mpsc;
use tokio::time::Interval;
use wire::{Frame, Link, Sender};

use crate::crossing;
use crate::shared::Shared;

/// Time within which a link that is dialled normally connects.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Interval of attempts to send frames during that time.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Opens the link; the returned future receives and sends frames until dropped.
///
/// # Errors
///
/// If the link cannot listen on its address.
pub fn start(
    shared: Arc<Shared>,
    store: Store,
    name: Name,
    link: Name,
) -> Result<impl Future<Output = ()>, wire::LinkError> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let identity = Sender { name, incarnation: daemon::incarnation(), link };
    let link = Link::open(identity, move |frame| {
        // Fails only at shutdown, when the receiver has been dropped.
        let _ = sender.send(frame);
    })?;
    Ok(exchange_frames(shared, store, link, receiver))
}

async fn exchange_frames(
    shared: Arc<Shared>,
    store: Store,
    mut link: Link,
    mut frames: mpsc::UnboundedReceiver<Frame>,
) {
    let mut heartbeat_timer = actix_rt::time::interval(HEARTBEAT);
    heartbeat_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut previous_links: Vec<Name> = Vec::new();
    let mut incarnations: HashMap<Name, u64> = HashMap::new();
    let mut connecting_until = shared.now() + CONNECT_TIME;
    loop {
        let is_connecting = link.backlog() > 0 && shared.now() < connecting_until;
        tokio::select! {
            () = actix_rt::time::sleep(RETRY_INTERVAL), if is_connecting => {}
            () = due(&mut heartbeat_timer, &shared) => {
                let now = shared.now();
                let mut balancer = shared.balancer();
                balancer.tick(now);
                let links = balancer.links();
                let heartbeat = balancer.heartbeat(now);
                let zone_changes = balancer.take_zone_changes();
                drop(balancer);
                zone_changes.iter().for_each(crossing::log);
                for removed in previous_links.iter().filter(|name| !links.contains(name)) {
                    link.forget(removed);
                    incarnations.remove(removed);
                }
                for address in &links {
                    push(&mut link, address, heartbeat.clone());
                }
                previous_links = links;
            }
            frame = frames.recv() => {
                let Some(frame) = frame else { return };
                let Sender { link: address, incarnation, .. } = &frame.sender;
                if incarnations.insert(address.clone(), *incarnation) != Some(*incarnation) {
                    // The process has started since the last frame. Its link is dialled
                    // again at once instead of after the backoff.
                    link.forget(address);
                    connecting_until = shared.now() + CONNECT_TIME;
                }
                for (address, message) in handle_frame(&shared, frame) {
                    push(&mut link, &address, message);
                }
            }
        }
        let (era, position) = {
            let balancer = shared.balancer();
            (balancer.era(), balancer.position(Kind::Config))
        };
        if store.observe_era(era) {
            log::warn!(target: "store", era = era; "store restore reported by another entry");
        }
        link.flush(position.revision);
    }
}

/// Waits until a heartbeat is due: after its interval, or when a trial starts.
async fn due(timer: &mut Interval, shared: &Shared) {
    tokio::select! {
        _ = timer.tick() => {}
        () = shared.trial_started.notified() => {}
    }
}

fn push(link: &mut Link, address: &Name, message: Message) {
    if let Err(error) = link.push(address, wire::Message::Entry(message)) {
        log::warn!(target: "peers", address:% = address, error:% = error; "link failed");
    }
}

fn handle_frame(shared: &Shared, frame: Frame) -> Vec<(Name, Message)> {
    let now = shared.now();
    let mut balancer = shared.balancer();
    let mut replies = Vec::new();
    let sender = frame.sender;
    for message in frame.messages {
        let wire::Message::Entry(message) = message else { continue };
        if let Message::Rows(kind, era, delta) = &message {
            log::info!(target: "peers", from:% = sender.name, kind:? = kind, era = era,
                revision = delta.revision, rows = delta.rows.len(); "rows from another entry");
        }
        if let Message::Heartbeat(heartbeat) = &message {
            let crashes = heartbeat.suspects.crashes.iter();
            for crash in crashes.filter(|crash| !balancer.knows_crash(&crash.start)) {
                log::info!(target: "suspect", from:% = sender.name, server:% = crash.start.server,
                    born = crash.start.started_ms, age_ms = crash.age_ms,
                    prompts:% = crash.label(); "crash reported by another entry");
            }
        }
        if let Message::Slowness(slowness) = message {
            let (group, epoch) = (slowness.group.clone(), slowness.epoch);
            let ranks = slowness.ranks.clone();
            if balancer.apply_slowness(now, slowness) {
                log::info!(target: "peers", from:% = sender.name, group:% = group, epoch = epoch,
                    ranks:? = ranks; "slow ranks changed");
            }
            continue;
        }
        replies.extend(balancer.handle(
            now,
            &sender.name,
            sender.incarnation,
            &sender.link,
            message,
        ));
    }
    replies
}
