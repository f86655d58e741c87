//! Time passes: messages arrive, processes step, servers work.

use std::time::Duration;

use agent::Effect;
use tables::Name;
use wire::{Frame, Message, Sender};

use super::platform::Platform;
use super::server::Server;
use super::{Agent, Call, World, link};

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(10);
/// Time between two ticks of an entry.
const ENTRY_TICK: Duration = Duration::from_millis(50);
/// Time between two ticks of an agent.
const AGENT_TICK: Duration = Duration::from_millis(20);
/// Time between two looks of an entry at the platform.
const WATCH: Duration = Duration::from_millis(1000);
/// Time between two looks of an agent at its server.
const CHECK: Duration = Duration::from_millis(200);
/// Wall-clock time when the world begins, since the Unix epoch.
const BEGIN: Duration = Duration::from_secs(1_700_000_000);
/// Time between two looks at the promises; what is broken stays broken.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two looks at the tables of processes.
const FORCE_LOOK: Duration = Duration::from_secs(1);

impl World {
    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            self.complete_calls();
            self.advance_servers();
            self.tick_entries();
            self.tick_agents();
            if is_multiple(self.now, LOOK) {
                self.exit_drained();
                self.observe_health();
                self.check();
            }
            if is_multiple(self.now, FORCE_LOOK) {
                self.check_force();
            }
        }
    }

    fn deliver(&mut self) {
        for flight in self.network.due(self.now) {
            let to = flight.to;
            if self.entries.contains_key(&to) {
                self.step_entry(&to, routing::Input::Frame(flight.frame));
            } else {
                self.step_agent(&to, agent::Input::Frame(flight.frame));
            }
        }
    }

    fn complete_calls(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.at <= now);
        self.calls = rest;
        for call in due {
            let same = |agent: &Agent| agent.incarnation == call.incarnation;
            if self.agent(&call.agent).is_some_and(same) {
                self.step_agent(&call.agent, call.input);
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

    /// An entry looks at the platform, as its watch does.
    fn watch(&mut self, name: &Name) {
        let now = self.now;
        let wait = WATCH + self.platform.watch_delay + self.platform.slow;
        if self.platform.down {
            return;
        }
        let Some(Some(entry)) = self.entries.get_mut(name) else { return };
        let due = entry.watched.is_none() || now.saturating_sub(entry.looked) >= wait;
        if entry.frozen || entry.blind || !due {
            return;
        }
        entry.looked = now;
        let since = entry.watched.unwrap_or(0);
        let Ok(changes) = self.platform.store.changes(&Platform::kinds(), since) else { return };
        entry.watched = Some(changes.revision);
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
            let check = now.saturating_sub(agent.checked) >= CHECK;
            if check {
                agent.checked = now;
                let seen = look(&agent.server, now);
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
        self.journal.note_revision(name, entry.incarnation, revision);
        for output in outputs {
            match output {
                routing::Output::Send(to, message) => {
                    if matches!(message, Message::Dispatch(_)) {
                        let server: Name = to.trim_start_matches("tcp://").into();
                        let zone = self.hosts[&server].zone.clone();
                        self.check_out(name, "sent work to", &server, &zone);
                    }
                    self.post(&sender, revision, &to, message);
                }
                routing::Output::CloseLink(_) => {}
                routing::Output::Answer(id, part) => {
                    let caller = self.callers.values_mut().find(|caller| caller.id == id);
                    if let Some(caller) = caller.filter(|caller| caller.end.is_none()) {
                        caller.take(part);
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
        let effects = agent.state.step(now - agent.started, BEGIN + now, input);
        let sender =
            Sender { name: name.clone(), incarnation: agent.incarnation, link: link(name) };
        let revision = agent.state.revision();
        let incarnation = agent.incarnation;
        self.journal.note_revision(name, incarnation, revision);
        for effect in effects {
            self.carry_out(name, &sender, revision, effect);
        }
    }

    fn carry_out(&mut self, name: &Name, sender: &Sender, revision: u64, effect: Effect) {
        let now = self.now;
        let Some(Some(agent)) = self.agents.get_mut(name) else { return };
        let (pool, incarnation) = (agent.pool.clone(), agent.incarnation);
        match effect {
            Effect::Send(to, message) => self.post(sender, revision, &to, message),
            Effect::Run(ticket, dispatch) => {
                // What a server that is down never got has not run.
                if agent.server.is_up(now) {
                    let zone = agent.zone.clone();
                    self.journal.note_run(now, name, &zone, &dispatch);
                    self.check_out(name, "began work on", name, &zone);
                }
                if self.verbose {
                    println!("{now:?} {name} runs {} attempt {}", dispatch.id, dispatch.attempt);
                }
                let Some(agent) = self.agent_mut(name) else { return };
                let events = agent.server.run(now, ticket, dispatch);
                for (ticket, event) in events {
                    let input = agent::Input::Event(ticket, event);
                    self.call(now + STEP, name, incarnation, input);
                }
            }
            Effect::Stop(ticket) => agent.server.stop(ticket),
            Effect::Check => {
                let input = look(&agent.server, now);
                self.call(now + STEP, name, incarnation, input);
            }
            Effect::Claims(output) => {
                if let Some((after, input)) = self.platform.claim(&pool, output) {
                    self.call(now + after, name, incarnation, agent::Input::Claims(input));
                }
            }
            Effect::Suspect(output) => {
                if let Some((after, input)) = self.platform.suspect(output) {
                    self.call(now + after, name, incarnation, agent::Input::Suspect(input));
                }
            }
            Effect::Drained => agent.drained = true,
        }
    }

    pub(super) fn call(
        &mut self,
        at: Duration,
        agent: &Name,
        incarnation: u64,
        input: agent::Input,
    ) {
        self.calls.push(Call { at, agent: agent.clone(), incarnation, input });
    }

    fn post(&mut self, sender: &Sender, revision: u64, to: &Name, message: Message) {
        let frame = Frame { sender: sender.clone(), revision, messages: vec![message] };
        let name: Name = to.trim_start_matches("tcp://").into();
        self.network.send(self.now, &mut self.rng, &sender.name, name, frame);
    }
}

/// What an agent sees when it looks at its server.
fn look(server: &Server, now: Duration) -> agent::Input {
    if server.is_up(now) {
        agent::Input::Engine { incarnation: server.incarnation, prefill: 0 }
    } else {
        agent::Input::Unreachable
    }
}

fn is_multiple(now: Duration, step: Duration) -> bool {
    now.as_millis().is_multiple_of(step.as_millis())
}
