//! The actor that holds the router, the links and the callers who wait.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, Message};
use platform::Update;
use routing::{Input, Output, Part, Router, Submission};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use wire::{Frame, Link, RequestId};

use crate::meter::Meter;

/// Time between two ticks of the router; what peers have not taken by then is
/// sent again.
const TICK: Duration = Duration::from_millis(50);
/// Time between two updates of the metrics.
const SHOW: Duration = Duration::from_millis(500);

/// The actor.
pub struct Core {
    router: Router,
    link: Link,
    meter: Meter,
    callers: HashMap<RequestId, Caller>,
    started: Instant,
    was_ready: bool,
    retired: bool,
    drained: Option<oneshot::Sender<()>>,
}

struct Caller {
    parts: mpsc::UnboundedSender<Part>,
    asked: Instant,
    first: bool,
}

/// A caller asks; the parts of the answer go to `parts`.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Request {
    /// What the caller asks.
    pub submission: Submission,
    /// Where the answer goes.
    pub parts: mpsc::UnboundedSender<Part>,
}

/// A frame arrived.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Frame);

/// The platform has news.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PlatformUpdate(pub Update);

/// The caller of a request hung up.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Disconnected(pub RequestId);

/// The process will soon leave: it is not ready any more, but still serves.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Retire;

/// The process leaves; `drained` hears when nothing is left.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave {
    /// Told once.
    pub drained: oneshot::Sender<()>,
}

/// Whether the entry may serve.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Ready;

/// The state as JSON.
#[derive(Message)]
#[rtype(result = "Value")]
pub struct Dump;

/// Why a request went where it did.
#[derive(Message)]
#[rtype(result = "Option<Value>")]
pub struct Explain(pub RequestId);

impl Core {
    /// An actor around a router.
    pub fn new(router: Router, link: Link, meter: Meter) -> Core {
        Core {
            router,
            link,
            meter,
            callers: HashMap::new(),
            started: Instant::now(),
            was_ready: false,
            retired: false,
            drained: None,
        }
    }

    fn step(&mut self, input: Input) {
        let outputs = self.router.step(self.started.elapsed(), input);
        for output in outputs {
            self.carry_out(output);
        }
        self.link.flush(self.router.revision());
        let ready = self.router.is_ready();
        if ready != self.was_ready {
            self.was_ready = ready;
            log::info!("ready: {ready}, revision {}", self.router.revision());
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send(address, message) => {
                if let Err(error) = self.link.push(&address, message) {
                    log::warn!("{error}");
                }
            }
            Output::CloseLink(address) => self.link.forget(&address),
            Output::Answer(id, part) => self.answer(id, part),
            Output::Drained => {
                if let Some(drained) = self.drained.take() {
                    let _ = drained.send(());
                }
            }
        }
    }

    fn answer(&mut self, id: RequestId, part: Part) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if !caller.first {
            caller.first = true;
            self.meter.first(caller.asked.elapsed().as_secs_f64());
        }
        let over = matches!(part, Part::End | Part::Problem(_));
        // The caller may have hung up; its guard says so by itself.
        let _ = caller.parts.send(part);
        if over {
            self.callers.remove(&id);
        }
    }
}

impl Actor for Core {
    type Context = Context<Core>;

    fn started(&mut self, context: &mut Context<Core>) {
        context.set_mailbox_capacity(1 << 16);
        context.run_interval(TICK, |core, _| core.step(Input::Tick));
        context.run_interval(SHOW, |core, _| {
            let counters = core.router.counters();
            core.meter.show(&counters, core.router.open(), core.router.revision());
            core.meter.show_links(&core.link.counters());
        });
    }
}

impl Handler<Request> for Core {
    type Result = ();

    fn handle(&mut self, request: Request, _: &mut Context<Core>) {
        let caller = Caller { parts: request.parts, asked: Instant::now(), first: false };
        self.callers.insert(request.submission.id, caller);
        self.step(Input::Submit(request.submission));
    }
}

impl Handler<Inbound> for Core {
    type Result = ();

    fn handle(&mut self, inbound: Inbound, _: &mut Context<Core>) {
        self.step(Input::Frame(inbound.0));
    }
}

impl Handler<PlatformUpdate> for Core {
    type Result = ();

    fn handle(&mut self, message: PlatformUpdate, _: &mut Context<Core>) {
        match message.0 {
            Update::Listing { revision, rows, malformed } => {
                self.step(Input::Listing { revision, rows, malformed });
            }
            Update::Delta { delta, .. } => self.step(Input::Delta(delta)),
            Update::Hosts { revision, hosts } => self.step(Input::Hosts(revision, hosts)),
            Update::Stale => log::warn!("the platform is silent; the tables may be old"),
            Update::Fresh => log::info!("the platform is heard; the tables are up to date"),
        }
    }
}

impl Handler<Disconnected> for Core {
    type Result = ();

    fn handle(&mut self, disconnected: Disconnected, _: &mut Context<Core>) {
        if self.callers.remove(&disconnected.0).is_some() {
            self.step(Input::Disconnected(disconnected.0));
        }
    }
}

impl Handler<Retire> for Core {
    type Result = ();

    fn handle(&mut self, _: Retire, _: &mut Context<Core>) {
        self.retired = true;
    }
}

impl Handler<Leave> for Core {
    type Result = ();

    fn handle(&mut self, leave: Leave, _: &mut Context<Core>) {
        log::info!("leaving with {} requests open", self.router.open());
        self.drained = Some(leave.drained);
        self.step(Input::Leave);
    }
}

impl Handler<Ready> for Core {
    type Result = bool;

    fn handle(&mut self, _: Ready, _: &mut Context<Core>) -> bool {
        self.router.is_ready() && !self.retired
    }
}

impl Handler<Dump> for Core {
    type Result = actix::MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Context<Core>) -> Self::Result {
        actix::MessageResult(self.router.dump(self.started.elapsed()))
    }
}

impl Handler<Explain> for Core {
    type Result = actix::MessageResult<Explain>;

    fn handle(&mut self, explain: Explain, _: &mut Context<Core>) -> Self::Result {
        let steps = self.router.explain(&explain.0);
        actix::MessageResult(steps.and_then(|steps| serde_json::to_value(steps).ok()))
    }
}
