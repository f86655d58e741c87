//! Reloads the settings while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::settings::Settings;
use crate::shared::Shared;

/// Interval at which the file is checked for changes made without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changed settings on SIGHUP and when the file changes.
pub async fn follow(shared: Arc<Shared>, path: PathBuf, mut current: Settings) {
    let Ok(mut hup) = signal(SignalKind::hangup()) else {
        log::error!(target: "settings", "cannot handle SIGHUP, settings will not be reloaded");
        return;
    };
    loop {
        tokio::select! {
            _ = hup.recv() => log::info!(target: "settings", "SIGHUP received, reloading"),
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
        }
        let changed = match ::settings::load::<Settings>(&path) {
            Ok(changed) => changed,
            Err(error) => {
                log::warn!(target: "settings", error:% = error;
                    "settings not taken over, keeping the current ones");
                continue;
            }
        };
        if changed == current {
            continue;
        }
        let unchanged = Settings {
            limits: current.limits,
            freshness: current.freshness,
            grace: current.grace,
            zones: current.zones,
            seeds: current.seeds.clone(),
            ..changed.clone()
        };
        let needs_restart = unchanged != current;
        let mut balancer = shared.balancer();
        balancer.set_limits(changed.limits, changed.freshness, changed.grace);
        balancer.set_zones(changed.zones);
        drop(balancer);
        log::info!(target: "settings", needs_restart = needs_restart; "settings taken over");
        current = changed;
    }
}
