//! The actor that owns the router, the links and the open callers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, Message};
use platform::Update;
use routing::{Input, Output, Part, Router, Submission};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use wire::{Frame, Link, RequestId};

use crate::meter::Meter;

/// Interval of the router's ticks, on which frames that peers have not accepted
/// are retried.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const METRICS_INTERVAL: Duration = Duration::from_millis(500);

/// The entry's actor.
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
    submitted_at: Instant,
    first_part_sent: bool,
}

/// A request of a caller.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Request {
    /// The request for the router.
    pub submission: Submission,
    /// Channel for the parts of the answer.
    pub parts: mpsc::UnboundedSender<Part>,
}

/// A frame was received.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Frame);

/// An update from the platform was received.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PlatformUpdate(pub Update);

/// The caller of a request disconnected.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Disconnected(pub RequestId);

/// The process will stop soon: it reports not ready, but still serves requests.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Retire;

/// The process was asked to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave {
    /// Notified when no requests are left.
    pub drained: oneshot::Sender<()>,
}

/// The process stops now: open requests get their final answer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct End;

/// Asks whether the entry is ready to serve requests.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Ready;

/// Asks for the state as JSON.
#[derive(Message)]
#[rtype(result = "Value")]
pub struct Dump;

/// Asks for the routing steps of a request.
#[derive(Message)]
#[rtype(result = "Option<Value>")]
pub struct Explain(pub RequestId);

impl Core {
    /// An actor for `router`.
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
            self.execute(output);
        }
        self.link.flush(self.router.revision());
        let ready = self.router.is_ready();
        if ready != self.was_ready {
            self.was_ready = ready;
            log::info!("readiness changed to {ready} at revision {}", self.router.revision());
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send(address, message) => {
                if let Err(error) = self.link.push(&address, message) {
                    log::warn!("{error}");
                }
            }
            Output::CloseLink(address) => self.link.forget(&address),
            Output::Answer(id, part) => self.send_part(id, part),
            Output::Drained => {
                if let Some(drained) = self.drained.take() {
                    let _ = drained.send(());
                }
            }
        }
    }

    fn send_part(&mut self, id: RequestId, part: Part) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if !caller.first_part_sent {
            caller.first_part_sent = true;
            self.meter.record_first_part(caller.submitted_at.elapsed().as_secs_f64());
        }
        let finished = matches!(part, Part::End | Part::Problem(_));
        // Sending fails if the caller disconnected; its guard reports that.
        let _ = caller.parts.send(part);
        if finished {
            self.callers.remove(&id);
        }
    }
}

impl Actor for Core {
    type Context = Context<Core>;

    fn started(&mut self, context: &mut Context<Core>) {
        context.set_mailbox_capacity(1 << 16);
        context.run_interval(TICK_INTERVAL, |core, _| core.step(Input::Tick));
        context.run_interval(METRICS_INTERVAL, |core, _| {
            let counters = core.router.counters();
            core.meter.update(&counters, core.router.open(), core.router.revision());
            core.meter.update_links(&core.link.counters());
        });
    }
}

impl Handler<Request> for Core {
    type Result = ();

    fn handle(&mut self, request: Request, _: &mut Context<Core>) {
        let caller =
            Caller { parts: request.parts, submitted_at: Instant::now(), first_part_sent: false };
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
            Update::Stale => {
                log::warn!("no reply from the platform; tables may be outdated")
            }
            Update::Fresh => log::info!("platform reachable; tables are up to date"),
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
        log::info!("leaving with {} open requests", self.router.open());
        self.drained = Some(leave.drained);
        self.step(Input::Leave);
    }
}

impl Handler<End> for Core {
    type Result = ();

    fn handle(&mut self, _: End, _: &mut Context<Core>) {
        log::warn!("ending {} open requests", self.router.open());
        self.step(Input::End);
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
