//! Start-up errors of a daemon.

use wire::LinkError;

use crate::ListenError;

/// A daemon could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The link address can't be listened on or dialled.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// An HTTP address can't be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The metrics exporter can't be set up.
    #[error(transparent)]
    Metrics(#[from] telemetry::MetricsError),
}
