//! The actor that owns the agent's state, links and calls in flight.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix::{Actor, AsyncContext, Context, Handler, Message};
use serde_json::Value;
use tables::{Name, PoolKind};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use wire::{Frame, Link};

use crate::client::Client;
use crate::meter::Meter;
use crate::rank;
use crate::rank_actor::Member;
use crate::state::{Effect, Input, State};
use crate::{backend, health, storage};

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const RANK_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which messages are collected into one frame.
const FLUSH_DELAY: Duration = Duration::from_millis(2);
const METRICS_INTERVAL: Duration = Duration::from_millis(500);

/// The backend server and the platform, with their clients.
pub struct Targets {
    /// Client for calls to the backend server.
    pub backend: Client,
    /// Whether the backend server is a model engine or a plain service.
    pub kind: PoolKind,
    /// Client of the platform's object API.
    pub platform: platform::Client,
    /// Pool of the backend server.
    pub pool: Name,
    /// Interval of the backend server's health checks.
    pub check_interval: Duration,
}

/// The agent's actor.
pub struct Core {
    state: State,
    pub(crate) link: Link,
    meter: Meter,
    pub(crate) targets: Targets,
    pub(crate) member: Option<Member>,
    calls: HashMap<u64, JoinHandle<()>>,
    flush_due: bool,
    pub(crate) started: Instant,
    drained: Option<oneshot::Sender<()>>,
}

/// An input for the state.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StateInput(pub Input);

/// A frame was received.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Frame);

/// The process was asked to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave {
    /// Notified when no work is left.
    pub drained: oneshot::Sender<()>,
}

/// Asks whether the agent admits requests.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Ready;

/// Asks for the state as JSON.
#[derive(Message)]
#[rtype(result = "Value")]
pub struct Dump;

impl Core {
    /// An actor for `state`, and for `member` if the backend server belongs to a
    /// group.
    pub fn new(
        state: State,
        link: Link,
        meter: Meter,
        targets: Targets,
        member: Option<Member>,
    ) -> Core {
        Core {
            state,
            link,
            meter,
            targets,
            member,
            calls: HashMap::new(),
            flush_due: false,
            started: Instant::now(),
            drained: None,
        }
    }

    fn step(&mut self, input: Input, context: &mut Context<Core>) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        for effect in self.state.step(self.started.elapsed(), wall, input) {
            self.execute(effect, context);
        }
    }

    fn execute(&mut self, effect: Effect, context: &mut Context<Core>) {
        match effect {
            Effect::Send(address, message) => self.push(&address, message, context),
            Effect::Run(ticket, dispatch) => self.run(ticket, dispatch, context),
            Effect::Stop(ticket) => {
                if let Some(call) = self.calls.remove(&ticket) {
                    call.abort();
                }
            }
            Effect::Check => self.check(context),
            Effect::Claims(output) => {
                let client = self.targets.platform.clone();
                let call = storage::claim(client, self.targets.pool.clone(), output);
                send_result(context.address(), async { call.await.map(Input::Claims) });
            }
            Effect::Suspect(output) => {
                let call = storage::suspect(self.targets.platform.clone(), output);
                send_result(context.address(), async { call.await.map(Input::Suspect) });
            }
            Effect::Drained => {
                if let Some(drained) = self.drained.take() {
                    let _ = drained.send(());
                }
            }
        }
    }

    /// Adds a message to the next frame to `address` and schedules a flush.
    pub(crate) fn push(
        &mut self,
        address: &Name,
        message: wire::Message,
        context: &mut Context<Core>,
    ) {
        if let Err(error) = self.link.push(address, message) {
            log::warn!("{error}");
        }
        if !std::mem::replace(&mut self.flush_due, true) {
            context.run_later(FLUSH_DELAY, |core, _| core.flush());
        }
    }

    fn flush(&mut self) {
        self.flush_due = false;
        self.link.flush(self.state.revision());
    }

    fn run(&mut self, ticket: u64, dispatch: wire::Dispatch, context: &mut Context<Core>) {
        let core = context.address();
        let event = move |event| core.do_send(StateInput(Input::Event(ticket, event)));
        let client = self.targets.backend.clone();
        let call = backend::run(client, self.targets.kind, dispatch, event);
        self.calls.insert(ticket, actix_rt::spawn(call));
    }

    fn check(&mut self, context: &mut Context<Core>) {
        self.targets.backend.sweep();
        let core = context.address();
        let client = self.targets.backend.clone();
        let call = health::check(client, self.targets.kind);
        actix_rt::spawn(async move { core.do_send(StateInput(call.await)) });
    }
}

/// Runs a call and sends its result to the actor.
fn send_result(core: actix::Addr<Core>, call: impl Future<Output = Option<Input>> + 'static) {
    actix_rt::spawn(async move {
        if let Some(input) = call.await {
            core.do_send(StateInput(input));
        }
    });
}

impl Actor for Core {
    type Context = Context<Core>;

    fn started(&mut self, context: &mut Context<Core>) {
        context.set_mailbox_capacity(1 << 16);
        self.check(context);
        context.run_interval(TICK_INTERVAL, |core, context| {
            core.step(Input::Tick, context);
            // Retries frames that a peer has not accepted yet.
            core.flush();
        });
        if self.member.is_some() {
            context.run_interval(RANK_TICK_INTERVAL, |core, context| {
                core.step_rank(rank::Input::Tick, context);
            });
        }
        context.run_interval(self.targets.check_interval, |core, context| core.check(context));
        context.run_interval(METRICS_INTERVAL, |core, _| {
            core.calls.retain(|_, call| !call.is_finished());
            let report = core.state.report(core.started.elapsed());
            if let Some(member) = &core.member {
                member.update_metrics();
            }
            core.meter.update(&core.state.counters(), &report, core.state.revision());
            core.meter.update_links(&core.link.counters());
        });
    }
}

impl Handler<StateInput> for Core {
    type Result = ();

    fn handle(&mut self, message: StateInput, context: &mut Context<Core>) {
        self.step(message.0, context);
    }
}

impl Handler<Inbound> for Core {
    type Result = ();

    fn handle(&mut self, mut inbound: Inbound, context: &mut Context<Core>) {
        self.handle_group_messages(&mut inbound.0, context);
        self.step(Input::Frame(inbound.0), context);
    }
}

impl Handler<Leave> for Core {
    type Result = ();

    fn handle(&mut self, leave: Leave, context: &mut Context<Core>) {
        log::info!("leaving");
        self.drained = Some(leave.drained);
        self.step_rank(rank::Input::Resign, context);
        self.step(Input::Leave, context);
    }
}

impl Handler<Ready> for Core {
    type Result = bool;

    fn handle(&mut self, _: Ready, _: &mut Context<Core>) -> bool {
        self.state.is_ready()
    }
}

impl Handler<Dump> for Core {
    type Result = actix::MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Context<Core>) -> Self::Result {
        let mut dump = self.state.dump(self.started.elapsed());
        if let Some(member) = &self.member {
            dump["group"] = member.dump();
        }
        actix::MessageResult(dump)
    }
}
