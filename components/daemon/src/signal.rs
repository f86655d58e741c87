//! The signals that tell a daemon to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Completes when the process gets SIGTERM or SIGINT.
pub async fn shutdown_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("signals can't be handled; the process stops when killed");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => log::info!("told to stop by SIGTERM"),
        _ = int.recv() => log::info!("told to stop by SIGINT"),
    }
}

/// Calls `on_hangup` at each SIGHUP, until the future is dropped. A process
/// that does not listen for it is ended by it.
pub async fn on_sighup(mut on_hangup: impl FnMut()) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("SIGHUP can't be handled; it ends the process");
        return;
    };
    while hangup.recv().await.is_some() {
        on_hangup();
    }
}
