//! Requests whose prompts may crash backend servers.

use std::time::Duration;

use balance::{Outcome, Reason, Refusal, Target, Ticket};
use connection::Probe;

use super::Relay;
use crate::Error;
use crate::shared::Shared;

/// Time for which a request waits for the trial of a suspected prompt part. A
/// trial of a sound part ends with its first event.
const TRIAL_WAIT: Duration = Duration::from_millis(400);

/// Interval between checks whether a trial has ended.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Chooses the first backend server. A request with a suspected prompt part waits
/// for the trial of that part.
pub(super) async fn choose(shared: &Shared, ticket: &mut Ticket) -> Result<Target, Refusal> {
    loop {
        match choose_now(shared, ticket) {
            Some(chosen) => return chosen,
            None => actix_rt::time::sleep(TRIAL_POLL_INTERVAL).await,
        }
    }
}

/// The choice, or `None` if the request has to wait for a trial.
fn choose_now(shared: &Shared, ticket: &mut Ticket) -> Option<Result<Target, Refusal>> {
    let now = shared.now();
    let mut balancer = shared.balancer();
    let chosen = balancer.choose(now, ticket);
    let is_suspected = chosen.as_ref().is_err_and(|refusal| refusal.reason == Reason::Suspected);
    let waits =
        is_suspected && now < ticket.arrived + TRIAL_WAIT && balancer.awaits_trial(now, ticket);
    (!waits).then_some(chosen)
}

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
