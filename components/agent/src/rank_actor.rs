//! The actor's part for the rank: carries out what the rank wants done.

use actix::{AsyncContext, Context, Handler, Message};
use serde_json::Value;
use tables::Name;
use telemetry::{Gauge, Metrics};

use crate::core::Core;
use crate::orders;
use crate::rank::{Effect, Input, Rank};

/// The rank with what it calls and shows.
pub struct Member {
    rank: Rank,
    name: Name,
    engine: awc::Client,
    meter: Meter,
    led: bool,
}

/// An input for the rank.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RankNews(pub Input);

/// Instruments of the rank.
pub struct Meter {
    steps: Gauge,
    next: Gauge,
    fence: Gauge,
    leader: Gauge,
    refused: Gauge,
    failed: Gauge,
    lost: Gauge,
    strangers: Gauge,
}

impl Member {
    /// A rank of the group `name`.
    pub fn new(rank: Rank, name: Name, metrics: &Metrics) -> Member {
        let meter = Meter::new(metrics);
        Member { rank, name, engine: orders::client(), meter, led: false }
    }

    /// The state as JSON.
    pub fn dump(&self) -> Value {
        self.rank.dump()
    }

    /// Shows the present counters.
    pub fn show(&self) {
        self.meter.show(&self.rank);
    }

    /// Logs a change of leadership.
    fn note(&mut self) {
        let leads = self.rank.agent().leader().map(|leader| leader.fence().number);
        if leads.is_some() == self.led {
            return;
        }
        self.led = leads.is_some();
        match leads {
            Some(number) => log::info!("leads group {} under number {number}", self.name),
            None => log::info!("leads group {} no longer", self.name),
        }
    }
}

impl Meter {
    fn new(metrics: &Metrics) -> Meter {
        let gauge = |name, help| metrics.gauge(name, help, &[]);
        Meter {
            steps: gauge("agent_group_steps", "Steps that the engine was seen to run"),
            next: gauge("agent_group_next_step", "The step that the engine runs next"),
            fence: gauge("agent_group_fence", "The highest fencing number known"),
            leader: gauge("agent_group_leader", "1 while the agent leads its group"),
            refused: gauge("agent_group_refused", "Orders refused for an old fencing number"),
            failed: gauge("agent_group_orders_failed", "Orders that the engine did not take"),
            lost: gauge("agent_group_lost", "Times that the rank had to be sealed anew"),
            strangers: gauge("agent_group_strangers", "Messages from processes not in the group"),
        }
    }

    fn show(&self, rank: &Rank) {
        let agent = rank.agent();
        let counters = rank.counters();
        self.steps.set(counters.steps as f64);
        self.next.set(rank.next() as f64);
        self.fence.set(f64::from(agent.member.fence().number));
        self.leader.set(f64::from(u8::from(agent.leader().is_some())));
        self.refused.set(agent.member.counters.refused as f64);
        self.failed.set(counters.failed as f64);
        self.lost.set(counters.lost as f64);
        self.strangers.set(counters.strangers as f64);
    }
}

impl Core {
    /// Gives the rank an input, if the backend server is one of a group.
    pub(crate) fn step_rank(&mut self, input: Input, context: &mut Context<Core>) {
        let now = self.started.elapsed();
        let Some(member) = &mut self.member else { return };
        let effects = member.rank.step(now, input);
        member.note();
        for effect in effects {
            self.carry_out_rank(effect, context);
        }
    }

    /// Takes the messages of the group out of a frame.
    pub(crate) fn take_group(&mut self, frame: &mut wire::Frame, context: &mut Context<Core>) {
        let link = frame.sender.link.clone();
        let all = std::mem::take(&mut frame.messages);
        for message in all {
            match message {
                wire::Message::Group(message) => {
                    self.step_rank(Input::Message(link.clone(), message), context);
                }
                other => frame.messages.push(other),
            }
        }
    }

    fn carry_out_rank(&mut self, effect: Effect, context: &mut Context<Core>) {
        let Some(member) = &self.member else { return };
        let name = member.name.clone();
        let engine = member.engine.clone();
        let base = self.callees.base.clone();
        let platform = self.callees.platform.clone();
        match effect {
            Effect::Send(address, message) => self.push(&address, message, context),
            Effect::Order(order) => report(context, orders::order(engine, base, order)),
            Effect::Status => report(context, orders::status(engine, base)),
            Effect::Load => report(context, orders::load(platform, name)),
            Effect::Store { expect, lease } => {
                report(context, orders::store(platform, name, expect, lease));
            }
            Effect::Map => report(context, orders::map(platform, name)),
        }
    }
}

/// Tells the rank what a call comes to.
fn report(context: &Context<Core>, call: impl Future<Output = Input> + 'static) {
    let core = context.address();
    actix_rt::spawn(async move { core.do_send(RankNews(call.await)) });
}

impl Handler<RankNews> for Core {
    type Result = ();

    fn handle(&mut self, news: RankNews, context: &mut Context<Core>) {
        self.step_rank(news.0, context);
    }
}
