//! The signals that tell a daemon to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Completes when the process gets SIGTERM or SIGINT.
pub async fn stopped() {
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
