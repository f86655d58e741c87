//! The stand-in for a plain service, such as bookings or payments.
//!
//! It runs whatever is asked, on any path, and counts how often it ran each
//! request, so that a test sees doubles: by `Idempotency-Key` and by
//! `x-run-id`. `GET /control/runs` shows the counts by key and
//! `GET /control/runs?by=run_id` those by run id.

mod handler;
mod settings;
mod state;

pub use handler::{KEY_HEADER, RUN_ID_HEADER, Service, serve};
pub use settings::Settings;
pub use state::{Effect, State, expected};
