//! Requests whose prompts may crash backend servers.

use balance::Outcome;
use connection::Probe;

use super::Relay;
use crate::Error;

impl Relay {
    /// The outcome of a failed attempt. An attempt that broke off without an event may
    /// have ended with a crash of its server.
    pub(super) async fn outcome(&self, error: Error) -> Outcome {
        match error.outcome() {
            Outcome::Broken | Outcome::StaleConnection
                if !self.ticket.begun && self.is_crashed().await =>
            {
                Outcome::Crashed
            }
            outcome => outcome,
        }
    }

    /// Whether the backend server has crashed: it refuses connections.
    async fn is_crashed(&self) -> bool {
        match connection::probe(self.target.address).await {
            Probe::Refused => true,
            Probe::Accepted(connection) => {
                self.context.pool.put(connection);
                false
            }
            Probe::Unanswered => false,
        }
    }
}
