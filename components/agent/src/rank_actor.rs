//! The part of the actor that executes the effects of the rank.

use actix::{AsyncContext, Context, Handler, Message};
use serde_json::Value;
use tables::Name;
use telemetry::{Gauge, Metrics};

use crate::client::Client;
use crate::core::Core;
use crate::orders;
use crate::rank::{Effect, Input, Rank};

/// The rank with its engine client and metrics.
pub struct Member {
    rank: Rank,
    name: Name,
    engine: Client,
    meter: Meter,
    was_leader: bool,
}

/// An input for the rank.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RankInput(pub Input);

/// The gauges of the rank.
pub struct Meter {
    steps: Gauge,
    next_step: Gauge,
    fence: Gauge,
    leader: Gauge,
    refused: Gauge,
    failed: Gauge,
    lost_sessions: Gauge,
    wrong_senders: Gauge,
}

impl Member {
    /// A rank of the group `name`, with the client of its engine.
    pub fn new(rank: Rank, name: Name, engine: Client, metrics: &Metrics) -> Member {
        let meter = Meter::new(metrics);
        Member { rank, name, engine, meter, was_leader: false }
    }

    /// The state as JSON.
    pub fn dump(&self) -> Value {
        self.rank.dump()
    }

    /// Updates the gauges.
    pub fn update_metrics(&self) {
        self.meter.update(&self.rank);
    }

    /// Logs a change of leadership.
    fn log_leadership(&mut self) {
        let number = self.rank.agent().leader().map(|leader| leader.fence().number);
        if number.is_some() == self.was_leader {
            return;
        }
        self.was_leader = number.is_some();
        match number {
            Some(number) => {
                log::info!("leadership of group {} acquired, fencing number {number}", self.name)
            }
            None => log::info!("leadership of group {} ended", self.name),
        }
    }
}

impl Meter {
    fn new(metrics: &Metrics) -> Meter {
        let gauge = |name, help| metrics.gauge(name, help, &[]);
        Meter {
            steps: gauge("agent_group_steps", "Steps that the engine was seen to run"),
            next_step: gauge("agent_group_next_step", "The step that the engine runs next"),
            fence: gauge("agent_group_fence", "The highest fencing number known"),
            leader: gauge("agent_group_leader", "1 while the agent leads its group"),
            refused: gauge("agent_group_refused", "Orders refused for an old fencing number"),
            failed: gauge("agent_group_orders_failed", "Orders that the engine did not take"),
            lost_sessions: gauge("agent_group_lost", "Times that the rank had to be sealed anew"),
            wrong_senders: gauge(
                "agent_group_strangers",
                "Messages from processes not in the group",
            ),
        }
    }

    fn update(&self, rank: &Rank) {
        let agent = rank.agent();
        let counters = rank.counters();
        self.steps.set(counters.steps as f64);
        self.next_step.set(rank.next_step() as f64);
        self.fence.set(f64::from(agent.member.fence().number));
        self.leader.set(f64::from(u8::from(agent.leader().is_some())));
        self.refused.set(agent.member.counters.refused as f64);
        self.failed.set(counters.failed as f64);
        self.lost_sessions.set(counters.lost_sessions as f64);
        self.wrong_senders.set(counters.wrong_senders as f64);
    }
}

impl Core {
    /// Steps the rank, if the backend server belongs to a group.
    pub(crate) fn step_rank(&mut self, input: Input, context: &mut Context<Core>) {
        let now = self.started.elapsed();
        let Some(member) = &mut self.member else { return };
        let effects = member.rank.step(now, input);
        member.log_leadership();
        for effect in effects {
            self.execute_rank_effect(effect, context);
        }
    }

    /// Removes the group's messages from a frame and passes them to the rank.
    pub(crate) fn handle_group_messages(
        &mut self,
        frame: &mut wire::Frame,
        context: &mut Context<Core>,
    ) {
        let link = frame.sender.link.clone();
        let messages = std::mem::take(&mut frame.messages);
        for message in messages {
            match message {
                wire::Message::Group(message) => {
                    self.step_rank(Input::Message(link.clone(), message), context);
                }
                other => frame.messages.push(other),
            }
        }
    }

    fn execute_rank_effect(&mut self, effect: Effect, context: &mut Context<Core>) {
        let Some(member) = &self.member else { return };
        let name = member.name.clone();
        let engine = member.engine.clone();
        let platform = self.targets.platform.clone();
        match effect {
            Effect::Send(address, message) => self.push(&address, message, context),
            Effect::Order(order) => send_result(context, orders::send_order(engine, order)),
            Effect::Status => send_result(context, orders::fetch_status(engine)),
            Effect::Load => send_result(context, orders::load_lease(platform, name)),
            Effect::Store { expect, lease } => {
                send_result(context, orders::store_lease(platform, name, expect, lease));
            }
            Effect::Map => send_result(context, orders::load_map(platform, name)),
        }
    }
}

/// Runs a call and sends its result to the rank.
fn send_result(context: &Context<Core>, call: impl Future<Output = Input> + 'static) {
    let core = context.address();
    actix_rt::spawn(async move { core.do_send(RankInput(call.await)) });
}

impl Handler<RankInput> for Core {
    type Result = ();

    fn handle(&mut self, input: RankInput, context: &mut Context<Core>) {
        self.step_rank(input.0, context);
    }
}
