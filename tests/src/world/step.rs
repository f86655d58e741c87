//! Advances simulated time: delivers messages, steps processes and servers.

use std::time::Duration;

use agent::Effect;
use tables::Name;
use wire::{Frame, Message, Sender};

use super::platform::Platform;
use super::server::Server;
use super::{Agent, ScheduledInput, World, link};

/// Resolution of simulated time.
const TIME_STEP: Duration = Duration::from_millis(10);
/// Interval between two ticks of an entry.
const ENTRY_TICK: Duration = Duration::from_millis(50);
/// Interval between two ticks of an agent.
const AGENT_TICK: Duration = Duration::from_millis(20);
/// Interval between two platform reads of an entry.
const WATCH_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between two health checks of a server by its agent.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Wall-clock time at the start of the simulation, since the Unix epoch.
const CLOCK_START: Duration = Duration::from_secs(1_700_000_000);
/// Interval between two invariant checks; the checked violations persist, so
/// none is missed in between.
const INVARIANT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two checks that changes have been applied.
const PROPAGATION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl World {
    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TIME_STEP;
            self.deliver();
            self.deliver_scheduled();
            self.advance_servers();
            self.tick_entries();
            self.tick_agents();
            if is_multiple(self.now, INVARIANT_CHECK_INTERVAL) {
                self.exit_drained();
                self.observe_health();
                self.check();
            }
            if is_multiple(self.now, PROPAGATION_CHECK_INTERVAL) {
                self.check_propagation();
            }
        }
    }

    fn deliver(&mut self) {
        for pending_frame in self.network.due(self.now) {
            let to = pending_frame.to;
            if self.entries.contains_key(&to) {
                self.step_entry(&to, routing::Input::Frame(pending_frame.frame));
            } else {
                self.step_agent(&to, agent::Input::Frame(pending_frame.frame));
            }
        }
    }

    fn deliver_scheduled(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.scheduled).into_iter().partition(|input| input.at <= now);
        self.scheduled = rest;
        for scheduled in due {
            let same = |agent: &Agent| agent.incarnation == scheduled.incarnation;
            if self.agent(&scheduled.agent).is_some_and(same) {
                self.step_agent(&scheduled.agent, scheduled.input);
            }
        }
    }

    fn advance_servers(&mut self) {
        let now = self.now;
        for server in self.dead_servers.values_mut() {
            server.advance(now);
        }
        let names: Vec<Name> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(agent) = self.agent_mut(&name) else { continue };
            let events = agent.server.advance(now);
            for (ticket, event) in events {
                self.step_agent(&name, agent::Input::Event(ticket, event));
            }
        }
    }

    fn tick_entries(&mut self) {
        if !is_multiple(self.now, ENTRY_TICK) {
            return;
        }
        let names: Vec<Name> = self.entries.keys().cloned().collect();
        for name in names {
            self.watch(&name);
            if self.entry(&name).is_some_and(|entry| !entry.frozen) {
                self.step_entry(&name, routing::Input::Tick);
            }
        }
    }

    /// Delivers platform changes to an entry, as its watch does.
    fn watch(&mut self, name: &Name) {
        let now = self.now;
        let wait = WATCH_INTERVAL + self.platform.watch_delay + self.platform.extra_delay;
        if self.platform.down {
            return;
        }
        let Some(Some(entry)) = self.entries.get_mut(name) else { return };
        let due = entry.watched_revision.is_none() || now.saturating_sub(entry.last_watch) >= wait;
        if entry.frozen || entry.isolated || !due {
            return;
        }
        entry.last_watch = now;
        let since = entry.watched_revision.unwrap_or(0);
        let Ok(changes) = self.platform.store.changes(&Platform::kinds(), since) else { return };
        entry.watched_revision = Some(changes.revision);
        let ::platform::Update::Delta { delta, .. } =
            ::platform::Update::from_changes(since, changes)
        else {
            return;
        };
        let hosts = self.platform.store.hosts();
        self.step_entry(name, routing::Input::Delta(delta));
        self.step_entry(name, routing::Input::Hosts(hosts.revision, hosts.hosts));
    }

    fn tick_agents(&mut self) {
        let now = self.now;
        if !is_multiple(now, AGENT_TICK) {
            return;
        }
        let names: Vec<Name> = self.agents.keys().cloned().collect();
        for name in names {
            let Some(agent) = self.agent_mut(&name) else { continue };
            if agent.frozen {
                continue;
            }
            let check = now.saturating_sub(agent.last_check) >= CHECK_INTERVAL;
            if check {
                agent.last_check = now;
                let seen = probe(&agent.server, now);
                self.step_agent(&name, seen);
            }
            self.step_agent(&name, agent::Input::Tick);
        }
    }

    pub(super) fn step_entry(&mut self, name: &Name, input: routing::Input) {
        let now = self.now;
        if self.verbose && !matches!(input, routing::Input::Tick) {
            println!("{now:?} {name} <- {input:?}");
        }
        let Some(Some(entry)) = self.entries.get_mut(name) else { return };
        if entry.frozen {
            entry.inbox.push(input);
            return;
        }
        let outputs = entry.router.step(now - entry.started, input);
        let sender =
            Sender { name: name.clone(), incarnation: entry.incarnation, link: link(name) };
        let revision = entry.router.revision();
        self.journal.record_revision(name, entry.incarnation, revision);
        for output in outputs {
            match output {
                routing::Output::Send(to, message) => {
                    if matches!(message, Message::Dispatch(_)) {
                        let server: Name = to.trim_start_matches("tcp://").into();
                        let zone = self.hosts[&server].zone.clone();
                        self.check_out_of_service(name, "sent work to", &server, &zone);
                    }
                    self.send_frame(&sender, revision, &to, message);
                }
                routing::Output::CloseLink(_) => {}
                routing::Output::Answer(id, part) => {
                    let caller = self.callers.values_mut().find(|caller| caller.id == id);
                    if let Some(caller) = caller.filter(|caller| caller.end.is_none()) {
                        caller.apply(part);
                    }
                }
                routing::Output::Drained => {
                    if let Some(Some(entry)) = self.entries.get_mut(name) {
                        entry.drained = true;
                    }
                }
            }
        }
    }

    pub(super) fn step_agent(&mut self, name: &Name, input: agent::Input) {
        let now = self.now;
        if self.verbose && !matches!(input, agent::Input::Tick) {
            println!("{now:?} {name} <- {input:?}");
        }
        let Some(Some(agent)) = self.agents.get_mut(name) else { return };
        if agent.frozen {
            agent.inbox.push(input);
            return;
        }
        let effects = agent.state.step(now - agent.started, CLOCK_START + now, input);
        let sender =
            Sender { name: name.clone(), incarnation: agent.incarnation, link: link(name) };
        let revision = agent.state.revision();
        let incarnation = agent.incarnation;
        self.journal.record_revision(name, incarnation, revision);
        for effect in effects {
            self.execute(name, &sender, revision, effect);
        }
    }

    fn execute(&mut self, name: &Name, sender: &Sender, revision: u64, effect: Effect) {
        let now = self.now;
        let Some(Some(agent)) = self.agents.get_mut(name) else { return };
        let (pool, incarnation) = (agent.pool.clone(), agent.incarnation);
        match effect {
            Effect::Send(to, message) => self.send_frame(sender, revision, &to, message),
            Effect::Run(ticket, dispatch) => {
                // A request to a server that is down does not run.
                if agent.server.is_up(now) {
                    let zone = agent.zone.clone();
                    self.journal.record_run(now, name, &zone, &dispatch);
                    self.check_out_of_service(name, "began work on", name, &zone);
                }
                if self.verbose {
                    println!("{now:?} {name} runs {} attempt {}", dispatch.id, dispatch.attempt);
                }
                let Some(agent) = self.agent_mut(name) else { return };
                let events = agent.server.run(now, ticket, dispatch);
                for (ticket, event) in events {
                    let input = agent::Input::Event(ticket, event);
                    self.schedule(now + TIME_STEP, name, incarnation, input);
                }
            }
            Effect::Stop(ticket) => agent.server.stop(ticket),
            Effect::Check => {
                let input = probe(&agent.server, now);
                self.schedule(now + TIME_STEP, name, incarnation, input);
            }
            Effect::Claims(output) => {
                if let Some((after, input)) = self.platform.claim(&pool, output) {
                    self.schedule(now + after, name, incarnation, agent::Input::Claims(input));
                }
            }
            Effect::Suspect(output) => {
                if let Some((after, input)) = self.platform.suspect(output) {
                    self.schedule(now + after, name, incarnation, agent::Input::Suspect(input));
                }
            }
            Effect::Drained => agent.drained = true,
        }
    }

    pub(super) fn schedule(
        &mut self,
        at: Duration,
        agent: &Name,
        incarnation: u64,
        input: agent::Input,
    ) {
        self.scheduled.push(ScheduledInput { at, agent: agent.clone(), incarnation, input });
    }

    fn send_frame(&mut self, sender: &Sender, revision: u64, to: &Name, message: Message) {
        let frame = Frame { sender: sender.clone(), revision, messages: vec![message] };
        let name: Name = to.trim_start_matches("tcp://").into();
        self.network.send(self.now, &mut self.rng, &sender.name, name, frame);
    }
}

/// The result of a health check of a server.
fn probe(server: &Server, now: Duration) -> agent::Input {
    if server.is_up(now) {
        agent::Input::Engine { incarnation: server.incarnation, prefill: 0 }
    } else {
        agent::Input::Unreachable
    }
}

fn is_multiple(now: Duration, step: Duration) -> bool {
    now.as_millis().is_multiple_of(step.as_millis())
}
