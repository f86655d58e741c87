//! Simulation of several agents and their callers on an in-memory platform.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use claims::{Answer, Denial, Head, Input, Ledger, Object, Output, Settings, Writer};

/// Wall-clock time at the start of every run, since the Unix epoch.
pub const WALL: Duration = Duration::from_secs(1_800_000_000);

/// A head value that can't be decoded.
pub const DAMAGED: &str = "{";

/// Objects by partition and segment name; the name of a head is `None`.
type Objects = BTreeMap<(u32, Option<String>), Object>;

/// A call to the platform in flight.
#[derive(Clone, Debug)]
pub struct Call {
    pub agent: usize,
    pub incarnation: u64,
    pub output: Output,
    /// The completion, once the call has taken effect.
    pub reply: Option<Input>,
    /// The agent has already received a failure for this call.
    pub timed_out: bool,
}

#[derive(Clone, Debug)]
pub struct Agent {
    pub ledger: Ledger,
    pub incarnation: u64,
    pub frozen: bool,
    pub granted: Vec<u64>,
    pub running: Vec<u64>,
}

#[derive(Clone, Debug)]
pub struct Ticket {
    pub agent: usize,
    /// Incarnation of the agent that received the request.
    pub incarnation: u64,
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
    /// Dispatched ticket by key.
    pub dispatched: BTreeMap<usize, usize>,
    /// Completed tickets, with the answer if it was recorded.
    pub completed: BTreeMap<usize, Option<Answer>>,
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
            incarnation: 1,
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
            dispatched: BTreeMap::new(),
            completed: BTreeMap::new(),
        }
    }

    pub fn wall(&self) -> Duration {
        WALL + self.now
    }

    pub fn step(&mut self, agent: usize, input: Input) {
        let now = self.now;
        let outputs = self.agents[agent].ledger.step(now, input);
        for output in outputs {
            self.handle_output(agent, output);
        }
    }

    fn handle_output(&mut self, agent: usize, output: Output) {
        match output {
            Output::Grant { ticket } => {
                let entry = &mut self.tickets[ticket as usize];
                assert!(!entry.granted, "ticket {ticket} granted twice");
                assert!(entry.denial.is_none(), "ticket {ticket} granted after its denial");
                assert!(self.now < entry.deadline, "ticket {ticket} granted after its deadline");
                entry.granted = true;
                self.agents[agent].granted.push(ticket);
            }
            Output::Deny { ticket, denial } => self.deny(ticket as usize, denial),
            output => {
                let incarnation = self.agents[agent].incarnation;
                self.calls.push(Call { agent, incarnation, output, reply: None, timed_out: false });
            }
        }
    }

    fn deny(&mut self, ticket: usize, denial: Denial) {
        let entry = self.tickets[ticket].clone();
        assert!(!entry.granted, "ticket {ticket} denied after its grant");
        assert!(entry.denial.is_none(), "ticket {ticket} denied twice");
        let run = self.dispatched.get(&entry.key).copied();
        let completed = run.and_then(|run| self.completed.get(&run));
        match &denial {
            Denial::Finished(answer) => {
                assert_eq!(
                    completed,
                    Some(&Some(answer.clone())),
                    "ticket {ticket}: answer of another request"
                );
            }
            Denial::Ran => assert_eq!(
                completed,
                Some(&None),
                "ticket {ticket}: denied as ran, but not completed without an answer"
            ),
            Denial::Mismatch => {
                let mut same = self.tickets.iter().filter(|other| other.key == entry.key);
                assert!(same.any(|other| other.fingerprint != entry.fingerprint));
            }
            Denial::Unknown | Denial::Running => {
                let same = self.tickets.iter().filter(|other| other.key == entry.key);
                assert!(same.count() > 1, "ticket {ticket}: no other ticket has its key");
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
        caller_timeout: Duration,
    ) -> usize {
        let ticket = self.tickets.len();
        let incarnation = self.agents[agent].incarnation;
        let deadline = self.now + caller_timeout;
        self.tickets.push(Ticket {
            agent,
            incarnation,
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

    /// Dispatches a granted request to its backend server and checks that this
    /// happens at most once per key.
    pub fn dispatch(&mut self, agent: usize, position: usize) {
        let ticket = self.agents[agent].granted.remove(position);
        let entry = &self.tickets[ticket as usize];
        assert!(entry.denial.is_none(), "ticket {ticket} dispatched after its denial");
        let earlier = self.dispatched.insert(entry.key, ticket as usize);
        assert_eq!(earlier, None, "key {} dispatched twice", entry.key);
        self.agents[agent].running.push(ticket);
    }

    pub fn abandon(&mut self, agent: usize, position: usize) {
        let ticket = self.agents[agent].granted.remove(position);
        self.step(agent, Input::Abandon { ticket });
    }

    pub fn finish(&mut self, agent: usize, position: usize, kept: bool) {
        let ticket = self.agents[agent].running.remove(position);
        let answer = kept.then(|| answer(ticket as usize));
        self.completed.insert(ticket as usize, answer.clone());
        self.step(agent, Input::Finish { ticket, answer });
    }

    pub fn lose(&mut self, agent: usize, position: usize) {
        let ticket = self.agents[agent].running.remove(position);
        self.step(agent, Input::Lost { ticket });
    }

    /// Restarts the agent with a new incarnation. Calls in flight may still take effect.
    pub fn crash(&mut self, agent: usize) {
        let incarnation = self.agents[agent].incarnation + 1;
        self.agents[agent] = Agent {
            ledger: ledger(agent, incarnation, &self.settings),
            incarnation,
            frozen: false,
            granted: vec![],
            running: vec![],
        };
    }

    pub fn tick(&mut self, agent: usize) {
        let wall = self.wall();
        self.step(agent, Input::Tick { wall });
    }

    /// Executes a call on the platform.
    pub fn apply(&mut self, position: usize) {
        let output = self.calls[position].output.clone();
        let reply = self.execute(output);
        self.check_segments();
        let call = &mut self.calls[position];
        call.reply = reply;
        if call.timed_out || call.reply.is_none() {
            self.calls.remove(position);
        }
    }

    /// Delivers the reply of an executed call.
    pub fn deliver(&mut self, position: usize) {
        let call = self.calls.remove(position);
        let Some(reply) = call.reply else { return };
        if self.agents[call.agent].incarnation == call.incarnation {
            self.step(call.agent, reply);
        }
    }

    /// Reports a failure to the agent. The call may take effect before or after it.
    pub fn fail(&mut self, position: usize) {
        let (id, partition) = call_id(&self.calls[position].output);
        let call = &mut self.calls[position];
        let (agent, incarnation) = (call.agent, call.incarnation);
        call.timed_out = true;
        if call.reply.is_some() {
            self.calls.remove(position);
        }
        if self.agents[agent].incarnation == incarnation {
            self.step(agent, Input::Failed { call: id, partition });
        }
    }

    /// Rejects a call without effect.
    pub fn refuse(&mut self, position: usize) {
        let call = self.calls.remove(position);
        let (id, partition) = call_id(&call.output);
        let retry_after = Duration::from_millis(20);
        if self.agents[call.agent].incarnation == call.incarnation {
            self.step(call.agent, Input::Busy { call: id, partition, retry_after });
        }
    }

    fn execute(&mut self, output: Output) -> Option<Input> {
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
                let object_key = (partition, None);
                if self.objects.get(&object_key).map(|object| object.version) != expect {
                    return Some(Input::Conflict { call, partition });
                }
                self.version += 1;
                self.objects.insert(object_key, Object { version: self.version, value });
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

    /// Checks that every segment that a head refers to exists.
    fn check_segments(&self) {
        for ((partition, name), object) in &self.objects {
            if name.is_some() || object.value == DAMAGED {
                continue;
            }
            let head = Head::decode(&object.value).unwrap();
            for segment in head.segments {
                let object_key = (*partition, Some(segment.name.to_string()));
                assert!(
                    self.objects.contains_key(&object_key),
                    "segment {} does not exist",
                    segment.name
                );
            }
        }
    }

    /// Runs without faults for 2 s, until no call is in flight.
    pub fn run_until_idle(&mut self) {
        self.run_rounds(40);
    }

    /// Runs without faults for 400 ms, enough to resolve a new request.
    pub fn run_briefly(&mut self) {
        self.run_rounds(8);
    }

    fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += Duration::from_millis(50);
            for agent in 0..self.agents.len() {
                self.agents[agent].frozen = false;
                self.tick(agent);
            }
            self.complete_calls();
        }
    }

    /// Completes all calls without advancing the clock.
    pub fn complete_calls(&mut self) {
        while let Some(last) = self.calls.len().checked_sub(1) {
            if self.calls[last].reply.is_some() {
                self.deliver(last);
            } else {
                self.apply(last);
            }
        }
    }

    pub fn dispatched_keys(&self) -> BTreeSet<usize> {
        self.dispatched.keys().copied().collect()
    }
}

fn ledger(index: usize, incarnation: u64, settings: &Settings) -> Ledger {
    let writer = Writer { name: format!("agent-{index}").into(), incarnation };
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
