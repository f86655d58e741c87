//! Signal handling of a daemon.

use tokio::signal::unix::{SignalKind, signal};

/// Completes when the process receives SIGTERM or SIGINT. If the handlers can't
/// be installed, it never completes.
pub async fn shutdown_signal() {
    let (Ok(mut sigterm), Ok(mut sigint)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("can't install the handlers for SIGTERM and SIGINT; no graceful shutdown");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = sigterm.recv() => log::info!("received SIGTERM; shutting down"),
        _ = sigint.recv() => log::info!("received SIGINT; shutting down"),
    }
}

/// Calls `on_hangup` at each SIGHUP until the future is dropped. Without a
/// handler, SIGHUP ends the process.
pub async fn on_sighup(mut on_hangup: impl FnMut()) {
    let Ok(mut sighup) = signal(SignalKind::hangup()) else {
        log::error!("can't install the handler for SIGHUP; the signal ends the process");
        return;
    };
    while sighup.recv().await.is_some() {
        on_hangup();
    }
}
