//! The model between its connections and its clock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, mpsc};

use super::model::{Id, Input, Model, Output, Request};

/// What a connection gets of its answer. A closed channel without an end means
/// that the engine crashed.
#[derive(Debug)]
pub enum Piece {
    /// The next token.
    Token(String),
    /// The answer is whole.
    End,
    /// The engine is starting.
    Unavailable,
}

/// The model and the connections that wait for answers.
#[derive(Debug)]
struct State {
    model: Model,
    next_id: Id,
    answers: HashMap<Id, mpsc::UnboundedSender<Piece>>,
}

/// Clones share one model.
#[derive(Clone, Debug)]
pub struct Shared {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    started: Instant,
}

/// One connection's answer; dropping it cancels the request.
#[derive(Debug)]
pub struct Answer {
    id: Id,
    pieces: mpsc::UnboundedReceiver<Piece>,
    shared: Shared,
}

impl Shared {
    pub fn new(model: Model) -> Self {
        let state = State { model, next_id: 1, answers: HashMap::new() };
        let changed = Arc::new(Notify::new());
        Self { state: Arc::new(Mutex::new(state)), changed, started: Instant::now() }
    }

    /// Calls `read` with the model and the present time.
    pub fn with<T>(&self, read: impl FnOnce(&mut Model, Duration) -> T) -> T {
        let now = self.started.elapsed();
        let result = read(&mut self.lock().model, now);
        self.changed.notify_one();
        result
    }

    /// Hands the model an input and spreads what it does.
    pub fn step(&self, input: Input) {
        let now = self.started.elapsed();
        self.lock().step(now, input);
        self.changed.notify_one();
    }

    /// Hands the model a request; its number is given here.
    pub fn ask(&self, mut request: Request) -> Answer {
        let (sender, pieces) = mpsc::unbounded_channel();
        let mut state = self.lock();
        request.id = state.next_id;
        state.next_id += 1;
        state.answers.insert(request.id, sender);
        let id = request.id;
        let now = self.started.elapsed();
        state.step(now, Input::Arrive(request));
        drop(state);
        self.changed.notify_one();
        Answer { id, pieces, shared: self.clone() }
    }

    /// Wakes the model whenever it has something to do.
    pub async fn drive(self) {
        loop {
            let due = self.lock().model.due();
            let changed = self.changed.notified();
            match due {
                None => changed.await,
                Some(due) => {
                    let wait = due.saturating_sub(self.started.elapsed());
                    // Either way the model is asked again.
                    let _ = tokio::time::timeout(wait, changed).await;
                }
            }
            let now = self.started.elapsed();
            self.lock().step(now, Input::Tick);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn step(&mut self, now: Duration, input: Input) {
        for output in self.model.step(now, input) {
            // A receiver that is gone has cancelled its request.
            let _ = match output {
                Output::Token { id, text, .. } => {
                    self.answers.get(&id).map(|answer| answer.send(Piece::Token(text)))
                }
                Output::Finish(id) => {
                    self.answers.remove(&id).map(|answer| answer.send(Piece::End))
                }
                Output::Unavailable(id) => {
                    self.answers.remove(&id).map(|answer| answer.send(Piece::Unavailable))
                }
                Output::Crashed => {
                    log::info!("crashed, incarnation {}", self.model.incarnation());
                    self.answers.clear();
                    None
                }
            };
        }
    }
}

impl Answer {
    /// The next piece; none if the engine crashed.
    pub async fn next(&mut self) -> Option<Piece> {
        self.pieces.recv().await
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.shared.lock().answers.remove(&self.id).is_some() {
            self.shared.step(Input::Cancel(self.id));
        }
    }
}
