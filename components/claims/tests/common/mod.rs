//! A fake platform, several agents and their callers, for walks and searches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use claims::{Answer, Denial, Head, Input, Ledger, Object, Output, Settings, Writer};

/// Wall-clock time at which all runs begin.
pub const WALL: Duration = Duration::from_secs(1_800_000_000);

/// A head that no ledger wrote.
pub const DAMAGED: &str = "{";

/// Name and value of an object; a head has no name.
type Objects = BTreeMap<(u32, Option<String>), Object>;

/// A call to the platform on its way there or back.
#[derive(Clone, Debug)]
pub struct Call {
    pub agent: usize,
    pub life: u64,
    pub output: Output,
    /// The completion, once the call has taken effect.
    pub reply: Option<Input>,
    /// The agent has been told already that no reply came.
    pub orphan: bool,
}

#[derive(Clone, Debug)]
pub struct Agent {
    pub ledger: Ledger,
    pub life: u64,
    pub frozen: bool,
    pub granted: Vec<u64>,
    pub running: Vec<u64>,
}

#[derive(Clone, Debug)]
pub struct Ticket {
    pub agent: usize,
    /// The life of the agent to which the request went.
    pub life: u64,
    pub key: usize,
    pub fingerprint: u64,
    pub deadline: Duration,
    pub granted: bool,
    pub denial: Option<Denial>,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now: Duration,
    pub agents: Vec<Agent>,
    pub calls: Vec<Call>,
    pub tickets: Vec<Ticket>,
    pub objects: Objects,
    version: u64,
    settings: Settings,
    /// The ticket that was handed over, by key.
    pub handed: BTreeMap<usize, usize>,
    /// Tickets that ran to their end, with the answer if it was kept.
    pub ended: BTreeMap<usize, Option<Answer>>,
}

pub fn key(index: usize) -> String {
    format!("desk/{index}")
}

pub fn answer(ticket: usize) -> Answer {
    Answer { status: 200, headers: vec![], body: format!("answer {ticket}").into_bytes() }
}

impl World {
    pub fn new(agents: usize, settings: Settings) -> World {
        let agents = (0..agents).map(|index| Agent {
            ledger: ledger(index, 1, &settings),
            life: 1,
            frozen: false,
            granted: vec![],
            running: vec![],
        });
        World {
            now: Duration::from_secs(1),
            agents: agents.collect(),
            calls: vec![],
            tickets: vec![],
            objects: Objects::new(),
            version: 0,
            settings,
            handed: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    pub fn wall(&self) -> Duration {
        WALL + self.now
    }

    pub fn step(&mut self, agent: usize, input: Input) {
        let now = self.now;
        let outputs = self.agents[agent].ledger.step(now, input);
        for output in outputs {
            self.take(agent, output);
        }
    }

    fn take(&mut self, agent: usize, output: Output) {
        match output {
            Output::Grant { ticket } => {
                let known = &mut self.tickets[ticket as usize];
                assert!(!known.granted, "ticket {ticket} granted twice");
                assert!(known.denial.is_none(), "ticket {ticket} granted after its denial");
                assert!(self.now < known.deadline, "ticket {ticket} granted after its deadline");
                known.granted = true;
                self.agents[agent].granted.push(ticket);
            }
            Output::Deny { ticket, denial } => self.deny(ticket as usize, denial),
            output => {
                let life = self.agents[agent].life;
                self.calls.push(Call { agent, life, output, reply: None, orphan: false });
            }
        }
    }

    fn deny(&mut self, ticket: usize, denial: Denial) {
        let known = self.tickets[ticket].clone();
        assert!(!known.granted, "ticket {ticket} denied after its grant");
        assert!(known.denial.is_none(), "ticket {ticket} denied twice");
        let run = self.handed.get(&known.key).copied();
        let ended = run.and_then(|run| self.ended.get(&run));
        match &denial {
            Denial::Finished(answer) => {
                assert_eq!(ended, Some(&Some(answer.clone())), "ticket {ticket}: foreign answer");
            }
            Denial::Ran => assert_eq!(ended, Some(&None), "ticket {ticket}: ran without end"),
            Denial::Mismatch => {
                let mut same = self.tickets.iter().filter(|other| other.key == known.key);
                assert!(same.any(|other| other.fingerprint != known.fingerprint));
            }
            Denial::Unknown | Denial::Running => {
                let same = self.tickets.iter().filter(|other| other.key == known.key);
                assert!(same.count() > 1, "ticket {ticket}: nobody else had its key");
            }
            Denial::Unavailable { .. } => {}
        }
        self.tickets[ticket].denial = Some(denial);
    }

    pub fn begin(
        &mut self,
        agent: usize,
        index: usize,
        fingerprint: u64,
        patience: Duration,
    ) -> usize {
        let ticket = self.tickets.len();
        let life = self.agents[agent].life;
        let deadline = self.now + patience;
        self.tickets.push(Ticket {
            agent,
            life,
            key: index,
            fingerprint,
            deadline,
            granted: false,
            denial: None,
        });
        let input = Input::Begin {
            ticket: ticket as u64,
            key: key(index).into(),
            fingerprint,
            deadline,
            wall: self.wall(),
        };
        self.step(agent, input);
        ticket
    }

    /// Hands a granted request to its backend server: the act that must be
    /// done at most once for a key.
    pub fn hand_over(&mut self, agent: usize, position: usize) {
        let ticket = self.agents[agent].granted.remove(position);
        let known = &self.tickets[ticket as usize];
        assert!(known.denial.is_none(), "ticket {ticket} handed over after its denial");
        let earlier = self.handed.insert(known.key, ticket as usize);
        assert_eq!(earlier, None, "key {} handed over twice", known.key);
        self.agents[agent].running.push(ticket);
    }

    pub fn abandon(&mut self, agent: usize, position: usize) {
        let ticket = self.agents[agent].granted.remove(position);
        self.step(agent, Input::Abandon { ticket });
    }

    pub fn finish(&mut self, agent: usize, position: usize, kept: bool) {
        let ticket = self.agents[agent].running.remove(position);
        let answer = kept.then(|| answer(ticket as usize));
        self.ended.insert(ticket as usize, answer.clone());
        self.step(agent, Input::Finish { ticket, answer });
    }

    pub fn lose(&mut self, agent: usize, position: usize) {
        let ticket = self.agents[agent].running.remove(position);
        self.step(agent, Input::Lost { ticket });
    }

    /// Starts the agent anew. Its calls may still take effect.
    pub fn kill(&mut self, agent: usize) {
        let life = self.agents[agent].life + 1;
        self.agents[agent] = Agent {
            ledger: ledger(agent, life, &self.settings),
            life,
            frozen: false,
            granted: vec![],
            running: vec![],
        };
    }

    pub fn tick(&mut self, agent: usize) {
        let wall = self.wall();
        self.step(agent, Input::Tick { wall });
    }

    /// Lets a call take effect.
    pub fn apply(&mut self, position: usize) {
        let output = self.calls[position].output.clone();
        let reply = self.effect(output);
        self.check_segments();
        let call = &mut self.calls[position];
        call.reply = reply;
        if call.orphan || call.reply.is_none() {
            self.calls.remove(position);
        }
    }

    /// Brings the reply of a call that has taken effect.
    pub fn deliver(&mut self, position: usize) {
        let call = self.calls.remove(position);
        let Some(reply) = call.reply else { return };
        if self.agents[call.agent].life == call.life {
            self.step(call.agent, reply);
        }
    }

    /// Tells the agent that no reply came. The effect may come before or after.
    pub fn fail(&mut self, position: usize) {
        let (id, partition) = call_id(&self.calls[position].output);
        let call = &mut self.calls[position];
        let (agent, life) = (call.agent, call.life);
        call.orphan = true;
        if call.reply.is_some() {
            self.calls.remove(position);
        }
        if self.agents[agent].life == life {
            self.step(agent, Input::Failed { call: id, partition });
        }
    }

    /// The platform refuses a call without effect.
    pub fn refuse(&mut self, position: usize) {
        let call = self.calls.remove(position);
        let (id, partition) = call_id(&call.output);
        let retry_after = Duration::from_millis(20);
        if self.agents[call.agent].life == call.life {
            self.step(call.agent, Input::Busy { call: id, partition, retry_after });
        }
    }

    fn effect(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Load { call, partition } => {
                let object = self.objects.get(&(partition, None)).cloned();
                Some(Input::Loaded { call, partition, object })
            }
            Output::LoadSegment { call, partition, name } => {
                let object = self.objects.get(&(partition, Some(name.to_string())));
                let value = object.map(|object| object.value.clone());
                Some(Input::SegmentLoaded { call, partition, value })
            }
            Output::Store { call, partition, expect, value } => {
                let place = (partition, None);
                if self.objects.get(&place).map(|object| object.version) != expect {
                    return Some(Input::Conflict { call, partition });
                }
                self.version += 1;
                self.objects.insert(place, Object { version: self.version, value });
                Some(Input::Stored { call, partition, version: self.version })
            }
            Output::StoreSegment { call, partition, name, value } => {
                self.version += 1;
                let object = Object { version: self.version, value };
                self.objects.insert((partition, Some(name.to_string())), object);
                Some(Input::SegmentStored { call, partition })
            }
            Output::DeleteSegment { partition, name } => {
                self.objects.remove(&(partition, Some(name.to_string())));
                None
            }
            Output::Grant { .. } | Output::Deny { .. } => None,
        }
    }

    /// Every segment that a head refers to exists.
    fn check_segments(&self) {
        for ((partition, name), object) in &self.objects {
            if name.is_some() || object.value == DAMAGED {
                continue;
            }
            let head = Head::decode(&object.value).unwrap();
            for segment in head.segments {
                let place = (*partition, Some(segment.name.to_string()));
                assert!(self.objects.contains_key(&place), "segment {} is gone", segment.name);
            }
        }
    }

    /// Runs without faults until nothing is on its way.
    pub fn calm(&mut self) {
        self.calm_for(40);
    }

    /// As long as a request needs without faults.
    pub fn calm_briefly(&mut self) {
        self.calm_for(8);
    }

    fn calm_for(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += Duration::from_millis(50);
            for agent in 0..self.agents.len() {
                self.agents[agent].frozen = false;
                self.tick(agent);
            }
            self.settle();
        }
    }

    /// Completes all calls, without a passing of time.
    pub fn settle(&mut self) {
        while let Some(last) = self.calls.len().checked_sub(1) {
            if self.calls[last].reply.is_some() {
                self.deliver(last);
            } else {
                self.apply(last);
            }
        }
    }

    /// Keys whose request was handed over.
    pub fn handed_keys(&self) -> BTreeSet<usize> {
        self.handed.keys().copied().collect()
    }
}

fn ledger(index: usize, life: u64, settings: &Settings) -> Ledger {
    let writer = Writer { name: format!("agent-{index}").into(), incarnation: life };
    Ledger::new(writer, "bookings", 1, settings.clone())
}

fn call_id(output: &Output) -> (u64, u32) {
    match output {
        Output::Load { call, partition }
        | Output::LoadSegment { call, partition, .. }
        | Output::Store { call, partition, .. }
        | Output::StoreSegment { call, partition, .. } => (*call, *partition),
        Output::DeleteSegment { partition, .. } => (0, *partition),
        Output::Grant { .. } | Output::Deny { .. } => (0, 0),
    }
}
