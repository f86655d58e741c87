//! The actor that holds the agent's state, its links and its open calls.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix::{Actor, AsyncContext, Context, Handler, Message};
use serde_json::Value;
use tables::{Name, PoolKind};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use wire::{Frame, Link};

use crate::meter::Meter;
use crate::rank;
use crate::rank_actor::Member;
use crate::state::{Effect, Input, State};
use crate::{backend, health, storage};

/// Time between two ticks of the state.
const TICK: Duration = Duration::from_millis(20);
/// Time between two ticks of the rank.
const RANK_TICK: Duration = Duration::from_millis(50);
/// Time for which parts of answers are gathered into one frame.
const FLUSH: Duration = Duration::from_millis(2);
/// Time between two updates of the metrics.
const SHOW: Duration = Duration::from_millis(500);

/// What the actor calls.
pub struct Callees {
    /// Client for calls to the backend server.
    pub backend: awc::Client,
    /// Base URL of the backend server.
    pub base: Name,
    /// What the backend server is.
    pub kind: PoolKind,
    /// Client of the platform's object API.
    pub platform: platform::Client,
    /// Pool of the backend server.
    pub pool: Name,
    /// Time between two looks at the backend server.
    pub check: Duration,
}

/// The actor.
pub struct Core {
    state: State,
    pub(crate) link: Link,
    meter: Meter,
    pub(crate) callees: Callees,
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

/// A frame arrived.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Frame);

/// The process has been told to stop; `drained` hears when nothing is left.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave {
    /// Told once.
    pub drained: oneshot::Sender<()>,
}

/// Whether the agent takes work.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Ready;

/// The state as JSON.
#[derive(Message)]
#[rtype(result = "Value")]
pub struct Dump;

impl Core {
    /// An actor around a state, and around a rank if the backend server is one
    /// of a group.
    pub fn new(
        state: State,
        link: Link,
        meter: Meter,
        callees: Callees,
        member: Option<Member>,
    ) -> Core {
        Core {
            state,
            link,
            meter,
            callees,
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
            self.carry_out(effect, context);
        }
    }

    fn carry_out(&mut self, effect: Effect, context: &mut Context<Core>) {
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
                let client = self.callees.platform.clone();
                let call = storage::claim(client, self.callees.pool.clone(), output);
                report(context.address(), async { call.await.map(Input::Claims) });
            }
            Effect::Suspect(output) => {
                let call = storage::suspect(self.callees.platform.clone(), output);
                report(context.address(), async { call.await.map(Input::Suspect) });
            }
            Effect::Drained => {
                if let Some(drained) = self.drained.take() {
                    let _ = drained.send(());
                }
            }
        }
    }

    /// Puts a message into the next frame, which goes out a little later, so
    /// that others can go with it.
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
            context.run_later(FLUSH, |core, _| core.flush());
        }
    }

    fn flush(&mut self) {
        self.flush_due = false;
        self.link.flush(self.state.revision());
    }

    fn run(&mut self, ticket: u64, dispatch: wire::Dispatch, context: &mut Context<Core>) {
        let core = context.address();
        let event = move |event| core.do_send(StateInput(Input::Event(ticket, event)));
        let client = self.callees.backend.clone();
        let (base, kind) = (self.callees.base.clone(), self.callees.kind);
        let call = backend::run(client, base, kind, dispatch, event);
        self.calls.insert(ticket, actix_rt::spawn(call));
    }

    fn check(&mut self, context: &mut Context<Core>) {
        let core = context.address();
        let client = self.callees.backend.clone();
        let look = health::check(client, self.callees.base.clone(), self.callees.kind);
        actix_rt::spawn(async move { core.do_send(StateInput(look.await)) });
    }
}

/// Tells the actor what a call comes to.
fn report(core: actix::Addr<Core>, call: impl Future<Output = Option<Input>> + 'static) {
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
        context.run_interval(TICK, |core, context| {
            core.step(Input::Tick, context);
            // What a peer has not taken is tried again.
            core.flush();
        });
        if self.member.is_some() {
            context.run_interval(RANK_TICK, |core, context| {
                core.step_rank(rank::Input::Tick, context);
            });
        }
        context.run_interval(self.callees.check, |core, context| core.check(context));
        context.run_interval(SHOW, |core, _| {
            core.calls.retain(|_, call| !call.is_finished());
            let report = core.state.report(core.started.elapsed());
            if let Some(member) = &core.member {
                member.show();
            }
            core.meter.show(&core.state.counters(), &report, core.state.revision());
            core.meter.show_links(&core.link.counters());
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
        self.take_group(&mut inbound.0, context);
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
