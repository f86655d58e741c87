//! Requests that wait for their first backend server.

use std::time::Duration;

use balance::{Placement, Reason, Refusal, Target, Ticket};

use crate::shared::Shared;

/// Time for which a request waits for the trial of a suspected prompt part. A
/// trial of a sound part ends with its first event.
const TRIAL_WAIT: Duration = Duration::from_millis(400);

/// Interval between checks whether a trial has ended.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between checks whether there is room for a request that waits.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a request waits for.
enum Step {
    Done(Result<Target, Refusal>),
    Trial,
    Room,
}

/// Removes a request from the queue of its pool when its caller leaves.
struct Place<'a> {
    shared: &'a Shared,
    ticket: &'a mut Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.ticket.waiter.is_some() {
            self.shared.balancer().leave_queue(self.ticket);
        }
    }
}

/// Chooses the first backend server. A request with a suspected prompt part waits for
/// the trial of that part, and one whose pool has no room waits for its turn.
pub(super) async fn choose(
    shared: &Shared,
    id: &str,
    ticket: &mut Ticket,
) -> Result<Target, Refusal> {
    let place = Place { shared, ticket };
    let mut has_waited = false;
    loop {
        match step(shared, place.ticket) {
            Step::Done(chosen) => {
                if has_waited {
                    record_wait(shared, place.ticket, &chosen);
                }
                if let Err(refusal) = &chosen
                    && place.ticket.urgency.is_some()
                {
                    log_refusal(shared, id, place.ticket, refusal);
                }
                return chosen;
            }
            Step::Trial => actix_rt::time::sleep(TRIAL_POLL_INTERVAL).await,
            Step::Room => {
                has_waited = true;
                actix_rt::time::sleep(ROOM_POLL_INTERVAL).await;
            }
        }
    }
}

fn step(shared: &Shared, ticket: &mut Ticket) -> Step {
    let now = shared.now();
    let mut balancer = shared.balancer();
    match balancer.place(now, ticket) {
        Placement::Dispatch(target) => Step::Done(Ok(target)),
        Placement::Wait => Step::Room,
        Placement::Refuse(refusal) => {
            let waits = refusal.reason == Reason::Suspected
                && now < ticket.arrived + TRIAL_WAIT
                && balancer.awaits_trial(now, ticket);
            if waits { Step::Trial } else { Step::Done(Err(refusal)) }
        }
    }
}

fn record_wait(shared: &Shared, ticket: &Ticket, chosen: &Result<Target, Refusal>) {
    let wait = shared.now().saturating_sub(ticket.arrived);
    shared.meter.wait_seconds.record(wait.as_secs_f64());
    shared.meter.record_wait(ticket.level, chosen.as_ref().err().map(|refusal| refusal.reason));
}

/// Logs what a refusal was decided by.
fn log_refusal(shared: &Shared, id: &str, ticket: &Ticket, refusal: &Refusal) {
    let now = shared.now();
    let crowding = shared.balancer().crowding(now, ticket);
    log::info!(target: "request", id:% = id, pool:% = ticket.pool, route:% = ticket.route,
        level = ticket.level, reason:% = refusal.reason,
        age_ms = now.saturating_sub(ticket.arrived).as_millis() as u64,
        waiting = crowding.waiting, open = crowding.open,
        report_age_ms = crowding.report_age.as_millis() as u64; "no room");
}
