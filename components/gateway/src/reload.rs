//! Settings that change while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::settings::Settings;
use crate::shared::Shared;

/// Time between two looks at the file, for changes that no signal announces.
const LOOK: Duration = Duration::from_secs(2);

/// Takes over changed settings on SIGHUP and when the file changes.
pub async fn follow(shared: Arc<Shared>, path: PathBuf, mut present: Settings) {
    let Ok(mut hup) = signal(SignalKind::hangup()) else {
        log::error!(target: "settings", "SIGHUP can't be handled");
        return;
    };
    loop {
        tokio::select! {
            _ = hup.recv() => log::info!(target: "settings", "told to reload"),
            () = actix_rt::time::sleep(LOOK) => {}
        }
        let changed = match ::settings::load::<Settings>(&path) {
            Ok(changed) => changed,
            Err(error) => {
                log::warn!(target: "settings", error:% = error; "settings not taken over");
                continue;
            }
        };
        if changed == present {
            continue;
        }
        let restart =
            Settings { limits: present.limits, seeds: present.seeds.clone(), ..changed.clone() }
                != present;
        shared.balancer().set_limits(changed.limits);
        log::info!(target: "settings", needs_restart = restart; "settings taken over");
        present = changed;
    }
}
