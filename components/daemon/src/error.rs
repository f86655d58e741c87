//! Why a daemon could not run.

use wire::LinkError;

use crate::ListenError;

/// Why a daemon could not run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The link address can't be used.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// An HTTP address can't be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] telemetry::MetricsError),
}
