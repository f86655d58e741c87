//! Calls that wait.

use std::time::Duration;

use actix_web::web::Data;

use super::shared::{Refusal, Shared, State};

/// Longest wait that a caller may ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Counts a waiting watch for as long as it lives.
struct Waiting(Data<Shared>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().calls.waiting -= 1;
    }
}

/// Waits until `ready` gives a result or the time is over; then `idle` does.
pub async fn wait<T>(
    shared: &Data<Shared>,
    time: Duration,
    ready: impl Fn(&State) -> Option<T>,
    idle: impl Fn(&State) -> T,
) -> Result<T, Refusal> {
    let mut changed = shared.subscribe();
    let deadline = tokio::time::Instant::now() + time.min(WAIT_LIMIT);
    shared.lock().begin_wait()?;
    let _waiting = Waiting(shared.clone());
    loop {
        {
            let state = shared.lock();
            if state.fault.outage {
                return Err(Refusal::Outage);
            }
            if let Some(result) = ready(&state) {
                return Ok(result);
            }
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return Ok(idle(&shared.lock()));
        }
    }
}
