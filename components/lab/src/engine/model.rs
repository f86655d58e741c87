//! The engine's state machine: batching, prefill, prefix cache, cold start.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use arcstr::ArcStr;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::cache::{Cache, blocks};
use super::message::{CacheEvents, Load, Prepare, StepRecord, Steps};
use super::rank::{Rank, Refusal};
use super::settings::Settings;
use super::text::{count, token};

/// Most load reports kept for the lag.
const REPORTS: usize = 65_536;

/// Number of a request within the process.
pub type Id = u64;

/// A request as the model runs it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number; never used twice.
    pub id: Id,
    /// The prompt.
    pub prompt: ArcStr,
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// Tokens that the caller has already.
    pub resume: u32,
    /// Higher ones go first.
    pub priority: i32,
}

/// What happens to the model.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrives.
    Arrive(Request),
    /// Its caller has gone.
    Cancel(Id),
    /// Time passes.
    Tick,
    /// The process dies and starts again.
    Crash,
    /// Caches and compiled kernels are lost without a new start.
    Chill,
}

/// What the model does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token of an answer.
    Token {
        /// The request.
        id: Id,
        /// The token's index in the whole answer.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Finish(Id),
    /// The engine is starting and takes no request.
    Unavailable(Id),
    /// All connections drop.
    Crashed,
}

#[derive(Debug)]
struct Waiting {
    request: Request,
    blocks: Vec<u64>,
}

#[derive(Debug)]
struct Running {
    request: Request,
    next: u32,
    kv: u64,
}

/// A model engine without clock, sockets or threads.
#[derive(Debug)]
pub struct Model {
    settings: Settings,
    incarnation: u64,
    rng: ChaCha8Rng,
    cache: Cache,
    rank: Rank,
    up_at: Duration,
    work: u64,
    waiting: VecDeque<Waiting>,
    prefill: Option<(Duration, Waiting)>,
    running: BTreeMap<Id, Running>,
    batch: Option<(Duration, Vec<Id>)>,
    reports: VecDeque<(Duration, Load)>,
}

impl Model {
    /// A cold model that serves at once.
    ///
    /// ```
    /// use lab::engine::{Model, Settings};
    /// let model = Model::new(Settings::default(), 1);
    /// assert!(model.is_cold());
    /// ```
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let cache = Cache::new(settings.cache_tokens, settings.cache_event_loss);
        let rank = Rank::new(settings.step_interval, settings.fencing);
        let mut model = Self {
            settings,
            incarnation,
            rng,
            cache,
            rank,
            up_at: Duration::ZERO,
            work: 0,
            waiting: VecDeque::new(),
            prefill: None,
            running: BTreeMap::new(),
            batch: None,
            reports: VecDeque::new(),
        };
        model.report(Duration::ZERO);
        model
    }

    /// Advances to `now`, then takes `input`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lab::engine::{Input, Model, Output, Request, Settings, token};
    ///
    /// let mut model = Model::new(Settings::default(), 1);
    /// let prompt = "Which liner?";
    /// let request =
    ///     Request { id: 1, prompt: prompt.into(), tokens: 1, resume: 0, priority: 0 };
    /// assert!(model.step(Duration::ZERO, Input::Arrive(request)).is_empty());
    /// let outputs = model.step(Duration::from_secs(1), Input::Tick);
    /// let first = Output::Token { id: 1, index: 0, text: token(prompt, 0) };
    /// assert_eq!(outputs, [first, Output::Finish(1)]);
    /// ```
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = self.advance(now);
        match input {
            Input::Arrive(request) => self.arrive(now, request, &mut outputs),
            Input::Cancel(id) => self.cancel(now, id),
            Input::Tick => (),
            Input::Crash => self.crash(now, &mut outputs),
            Input::Chill => {
                self.work = 0;
                self.clear_cache();
            }
        }
        self.start(now);
        self.report(now);
        outputs
    }

    /// When the model next has something to do by itself.
    pub fn due(&self) -> Option<Duration> {
        let prefill = self.prefill.as_ref().map(|(at, _)| *at);
        let batch = self.batch.as_ref().map(|(at, _)| *at);
        [prefill, batch, self.rank.due()].into_iter().flatten().min()
    }

    /// Whether it can carry only a light load.
    pub fn is_cold(&self) -> bool {
        self.work < self.settings.warm_up_tokens
    }

    /// Rises with each start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The load as it was a lag ago.
    pub fn load(&self, now: Duration) -> Load {
        let until = now.saturating_sub(self.settings.report_lag);
        let seen = self.reports.iter().rev().find(|(at, _)| *at <= until);
        seen.or(self.reports.front()).map(|(_, load)| *load).unwrap_or_default()
    }

    /// Cache events above number `since`, late and with gaps.
    pub fn cache_events(&self, now: Duration, since: u64) -> CacheEvents {
        let until = now.saturating_sub(self.settings.cache_event_lag);
        CacheEvents { incarnation: self.incarnation, events: self.cache.events(since, until) }
    }

    /// Takes an order to load an expert map.
    pub fn prepare(&mut self, order: &Prepare) -> Result<(), Refusal> {
        self.rank.prepare(order)
    }

    /// Takes an order to run steps.
    pub fn run(&mut self, now: Duration, order: Steps) -> Result<(), Refusal> {
        self.rank.advance(now);
        self.rank.run(now, order)
    }

    /// The steps run, from step `since` on.
    pub fn steps(&mut self, now: Duration, since: u64) -> StepRecord {
        self.rank.advance(now);
        StepRecord {
            incarnation: self.incarnation,
            next: self.rank.next(),
            fence: self.rank.highest(),
            steps: self.rank.record(since),
        }
    }

    fn advance(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.rank.advance(now);
        loop {
            let prefill = self.prefill.as_ref().map(|(at, _)| *at).filter(|at| *at <= now);
            let batch = self.batch.as_ref().map(|(at, _)| *at).filter(|at| *at <= now);
            let at = match (prefill, batch) {
                (Some(prefill), batch) if batch.is_none_or(|batch| prefill <= batch) => {
                    self.end_prefill(prefill);
                    prefill
                }
                (_, Some(batch)) => {
                    self.end_batch(&mut outputs);
                    batch
                }
                (_, None) => return outputs,
            };
            self.start(at);
            self.report(at);
        }
    }

    fn arrive(&mut self, now: Duration, request: Request, outputs: &mut Vec<Output>) {
        if now < self.up_at {
            outputs.push(Output::Unavailable(request.id));
            return;
        }
        let marker = self.settings.crash_marker.as_ref();
        let marked = marker.is_some_and(|marker| request.prompt.contains(marker.as_str()));
        let held = self.running.len() + self.queued();
        let overloaded = self.is_cold() && held >= self.settings.capacity_cold;
        if marked || overloaded {
            self.crash(now, outputs);
            return;
        }
        let blocks = blocks(&request.prompt);
        let before = |other: &Waiting| other.request.priority >= request.priority;
        let place = self.waiting.iter().take_while(|other| before(other)).count();
        self.waiting.insert(place, Waiting { request, blocks });
    }

    fn cancel(&mut self, now: Duration, id: Id) {
        self.waiting.retain(|waiting| waiting.request.id != id);
        self.running.remove(&id);
        if self.prefill.as_ref().is_some_and(|(_, waiting)| waiting.request.id == id) {
            self.prefill = None;
            self.start(now);
        }
    }

    fn crash(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.incarnation += 1;
        self.work = 0;
        self.up_at = now + self.settings.restart;
        self.waiting.clear();
        self.prefill = None;
        self.running.clear();
        self.batch = None;
        self.rank = Rank::new(self.settings.step_interval, self.settings.fencing);
        self.clear_cache();
        outputs.push(Output::Crashed);
    }

    fn clear_cache(&mut self) {
        self.cache = Cache::new(self.settings.cache_tokens, self.settings.cache_event_loss);
    }

    /// Begins whatever can begin.
    fn start(&mut self, now: Duration) {
        let places = self.settings.capacity_warm.saturating_sub(self.running.len());
        if self.prefill.is_none()
            && places > 0
            && let Some(waiting) = self.waiting.pop_front()
        {
            let seconds = f64::from(self.uncached(&waiting)) / self.settings.prefill_rate;
            let time = Duration::from_secs_f64(seconds * self.slowness());
            self.prefill = Some((now + time, waiting));
        }
        if self.batch.is_none() && !self.running.is_empty() {
            let further = (self.running.len() - 1) as f64;
            let factor = (1.0 + self.settings.batch_cost * further) * self.slowness();
            let time = self.settings.token_interval.mul_f64(factor);
            self.batch = Some((now + time, self.running.keys().copied().collect()));
        }
    }

    fn end_prefill(&mut self, now: Duration) {
        let Some((_, waiting)) = self.prefill.take() else { return };
        self.work += u64::from(self.uncached(&waiting));
        self.cache.store(now, &waiting.blocks, &mut self.rng);
        let Request { id, resume, .. } = waiting.request;
        let kv = u64::from(count(&waiting.request.prompt)) + u64::from(resume);
        self.running.insert(id, Running { request: waiting.request, next: resume, kv });
    }

    fn end_batch(&mut self, outputs: &mut Vec<Output>) {
        let Some((_, batch)) = self.batch.take() else { return };
        for id in batch {
            let Some(running) = self.running.get_mut(&id) else { continue };
            let index = running.next;
            if index < running.request.tokens {
                let text = token(&running.request.prompt, index);
                outputs.push(Output::Token { id, index, text });
                running.next += 1;
                running.kv += 1;
                self.work += 1;
            }
            if running.next >= running.request.tokens {
                self.running.remove(&id);
                outputs.push(Output::Finish(id));
            }
        }
    }

    /// Tokens that must be computed before the first new one.
    fn uncached(&self, waiting: &Waiting) -> u32 {
        let prompt = count(&waiting.request.prompt) - self.cache.cached(&waiting.blocks);
        prompt + waiting.request.resume
    }

    fn slowness(&self) -> f64 {
        if self.is_cold() { self.settings.cold_factor } else { 1.0 }
    }

    fn queued(&self) -> usize {
        self.waiting.len() + usize::from(self.prefill.is_some())
    }

    fn report(&mut self, now: Duration) {
        let queue = self.waiting.iter().chain(self.prefill.iter().map(|(_, waiting)| waiting));
        let load = Load {
            incarnation: self.incarnation,
            running: self.running.len(),
            queued: self.queued(),
            queued_prefill: queue.map(|waiting| u64::from(self.uncached(waiting))).sum(),
            kv_used: self.running.values().map(|running| running.kv).sum::<u64>()
                + self.cache.tokens(),
            kv_limit: self.settings.cache_tokens as u64,
        };
        self.reports.push_back((now, load));
        let until = now.saturating_sub(self.settings.report_lag);
        let outdated = |reports: &VecDeque<(Duration, Load)>| {
            reports.len() > REPORTS || reports.get(1).is_some_and(|(at, _)| *at <= until)
        };
        while outdated(&self.reports) {
            self.reports.pop_front();
        }
    }
}
