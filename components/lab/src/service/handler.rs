//! The service behind HTTP.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::web::{self, Bytes, Data, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use arcstr::ArcStr;
use serde::Deserialize;
use tokio::sync::watch;

use super::settings::Settings;
use super::state::{Effect, State, expected};
use crate::engine::cut;
use crate::server::{self, Handle, ServeError};

/// Request header: the key of non-idempotent work.
pub const KEY_HEADER: &str = "idempotency-key";
/// Request header: tells one request of a test from another.
pub const RUN_ID_HEADER: &str = "x-run-id";
/// Most bytes of a request body.
const BODY_LIMIT: usize = 4 << 20;

/// A running service, with its counts for tests.
#[derive(Debug)]
pub struct Service {
    /// The server.
    pub handle: Handle,
    shared: Shared,
}

#[derive(Clone, Debug)]
struct Shared {
    state: Arc<Mutex<State>>,
    settings: Settings,
    /// Carries the incarnation to waiting requests.
    lives: Arc<watch::Sender<u64>>,
}

/// Which counts are asked for.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum By {
    #[default]
    Key,
    RunId,
}

#[derive(Debug, Deserialize)]
struct Counts {
    #[serde(default)]
    by: By,
}

/// Starts a service on `settings.listen`.
///
/// # Errors
///
/// If the address can't be listened on.
///
/// ```
/// let service = lab::service::serve(Default::default()).unwrap();
/// assert!(service.runs().is_empty());
/// service.stop();
/// ```
pub fn serve(settings: Settings) -> Result<Service, ServeError> {
    let listen = settings.listen;
    let (lives, _) = watch::channel(0);
    let shared = Shared { state: Arc::default(), settings, lives: Arc::new(lives) };
    let data = shared.clone();
    let configure = move |config: &mut ServiceConfig| {
        config
            .app_data(Data::new(data.clone()))
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
            .route("/control/runs", web::get().to(runs))
            .default_service(web::to(run));
    };
    let handle = server::start(listen, configure, async {})?;
    Ok(Service { handle, shared })
}

impl Service {
    /// Runs by `Idempotency-Key`.
    ///
    /// ```
    /// let service = lab::service::serve(Default::default()).unwrap();
    /// assert_eq!(service.runs().len(), 0);
    /// ```
    pub fn runs(&self) -> BTreeMap<ArcStr, u64> {
        self.shared.lock().by_key.clone()
    }

    /// Stops serving at once and waits for the thread.
    pub fn stop(self) {
        self.handle.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn runs(shared: Data<Shared>, query: Query<Counts>) -> HttpResponse {
    let state = shared.lock().clone();
    match query.by {
        By::Key => HttpResponse::Ok().json(state.by_key),
        By::RunId => HttpResponse::Ok().json(state.by_run_id),
    }
}

async fn run(shared: Data<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let mut lives = shared.lives.subscribe();
    let key = header(&request, KEY_HEADER);
    let run_id = header(&request, RUN_ID_HEADER);
    let (effect, incarnation) = {
        let mut state = shared.lock();
        let effect = state.run(&shared.settings, key, run_id, &body);
        (effect, state.incarnation)
    };
    match effect {
        Effect::Crash => {
            shared.lives.send_replace(incarnation);
            return cut();
        }
        Effect::Hang => {
            // The sender lives as long as the service.
            let _ = lives.changed().await;
            return cut();
        }
        Effect::Answer => (),
    }
    let delay = tokio::time::timeout(shared.settings.delay, lives.changed());
    if delay.await.is_ok() {
        return cut();
    }
    let answer = expected(request.path(), &body);
    HttpResponse::Ok().content_type("application/json").body(answer)
}

fn header(request: &HttpRequest, name: &str) -> Option<ArcStr> {
    request.headers().get(name)?.to_str().ok().map(ArcStr::from)
}
