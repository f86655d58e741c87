//! All decisions of one agent joined: gate, claims and gossip.
//!
//! The parts don't know one another. What the gate wants recorded goes into
//! the ledger, what the ledger says comes back as the gate's verdict, and what
//! must reach the world outside comes out as an [`Effect`].

use std::collections::VecDeque;
use std::time::Duration;

use admission::Gate;
use admission::gate::{self, Event, Verdict};
use admission::suspect::{self, Register};
use claims::{Answer, Denial, Ledger};
use serde_json::{Value, json};
use tables::Name;
use wire::{Dispatch, Execution, Frame, Gossip, Message, Reason, Sender};

/// What an agent is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A frame arrived.
    Frame(Frame),
    /// News of a request that was handed over.
    Event(u64, Event),
    /// The backend server's incarnation and waiting prompt tokens.
    Engine {
        /// A number that changes when the backend server starts anew.
        incarnation: u64,
        /// Prompt tokens that wait.
        prefill: u32,
    },
    /// The backend server can't be reached.
    Unreachable,
    /// A call to the platform for a claim came back.
    Claims(claims::Input),
    /// A call to the platform for a suspect came back.
    Suspect(suspect::Input),
    /// The process has been told to stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// What an agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Hand a request over to the backend server.
    Run(u64, Dispatch),
    /// Stop a request that was handed over.
    Stop(u64),
    /// Look at the backend server now.
    Check,
    /// Call the platform for a claim.
    Claims(claims::Output),
    /// Call the platform for a suspect.
    Suspect(suspect::Output),
    /// The process is leaving and nothing is left to do.
    Drained,
}

/// What an agent is built with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The agent's name in the host list.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The pool of its backend server.
    pub pool: Name,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Most requests that the warm backend server runs at once.
    pub limit: u32,
    /// Whether the backend server starts cold, as model engines do.
    pub cold: bool,
    /// Links of entries that are asked for tables at the start.
    pub peers: Vec<Name>,
    /// Number of partitions for claims.
    pub partitions: u32,
    /// Limits and times of the claims.
    pub claims: claims::Settings,
}

/// The state of one agent.
pub struct State {
    options: Options,
    gate: Gate,
    ledger: Ledger,
    register: Register,
    gossip: Gossip,
    out: bool,
    asked: Option<Duration>,
}

/// Time between two requests for tables while there are none.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// An agent that knows no tables yet, and takes no work until it does.
    pub fn new(now: Duration, options: Options) -> State {
        let gate = gate::Options {
            incarnation: options.incarnation,
            limit: options.limit,
            cold: options.cold,
        };
        let register = Register::new(format!("{}/{}", options.name, options.incarnation).into());
        let writer =
            claims::Writer { name: options.name.clone(), incarnation: options.incarnation };
        let ledger =
            Ledger::new(writer, options.pool.clone(), options.partitions, options.claims.clone());
        let mut gate = Gate::new(now, gate);
        gate.step(now, gate::Input::Out(true));
        State { options, gate, ledger, register, gossip: Gossip::default(), out: true, asked: None }
    }

    /// Takes one input and says what to do. `wall` is the time since the Unix
    /// epoch, for the age of claims.
    pub fn step(&mut self, now: Duration, wall: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut work = VecDeque::new();
        match input {
            Input::Frame(frame) => self.frame(now, frame, &mut work, &mut effects),
            Input::Event(ticket, event) => work.push_back(gate::Input::Event(ticket, event)),
            Input::Engine { incarnation, prefill } => {
                work.push_back(gate::Input::Engine { incarnation, prefill });
            }
            Input::Unreachable => work.push_back(gate::Input::Unreachable),
            Input::Claims(input) => self.claim(now, input, &mut work, &mut effects),
            Input::Suspect(input) => self.suspect(now, input, &mut work, &mut effects),
            Input::Leave => work.push_back(gate::Input::Leave),
            Input::Tick => {
                self.ask_peers(now, &mut effects);
                self.claim(now, claims::Input::Tick { wall }, &mut work, &mut effects);
                work.push_back(gate::Input::Tick);
            }
        }
        while let Some(input) = work.pop_front() {
            for output in self.gate.step(now, input) {
                self.carry_out(now, wall, output, &mut work, &mut effects);
            }
        }
        effects
    }

    /// The revision of the configuration in force here.
    pub fn revision(&self) -> u64 {
        self.gossip.table().revision()
    }

    /// Whether the agent takes work.
    pub fn is_ready(&self) -> bool {
        self.revision() > 0
    }

    /// The gate's counters.
    pub fn counters(&self) -> gate::Counters {
        self.gate.counters()
    }

    /// How loaded the backend server is.
    pub fn report(&self, now: Duration) -> wire::Report {
        self.gate.report(now)
    }

    /// The state as JSON, bounded in size.
    pub fn dump(&self, now: Duration) -> Value {
        json!({
            "name": self.options.name,
            "zone": self.options.zone,
            "pool": self.options.pool,
            "incarnation": self.options.incarnation,
            "revision": self.revision(),
            "out": self.out,
            "gate": self.gate.dump(now),
            "claims": self.ledger.dump(),
            "suspect_changes_waiting": self.register.waiting(),
        })
    }

    fn frame(
        &mut self,
        now: Duration,
        frame: Frame,
        work: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(pull) = self.gossip.observe(now, &frame.sender.link, frame.revision) {
            effects.push(Effect::Send(frame.sender.link.clone(), pull));
        }
        for message in frame.messages {
            self.message(&frame.sender, message, work, effects);
        }
    }

    fn message(
        &mut self,
        sender: &Sender,
        message: Message,
        work: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Delta(delta) => {
                if self.gossip.merge(delta) {
                    self.configured(work);
                }
            }
            Message::Pull(since) => {
                let delta = Message::Delta(self.gossip.delta(since));
                effects.push(Effect::Send(sender.link.clone(), delta));
            }
            message => work.push_back(gate::Input::Receive(sender.clone(), message)),
        }
    }

    fn configured(&mut self, work: &mut VecDeque<gate::Input>) {
        let table = self.gossip.table();
        let out = table.is_zone_out(&self.options.zone) || table.is_server_out(&self.options.name);
        self.out = out;
        let suspects = suspect::classify(table);
        if let Some(pool) = table.pool(&self.options.pool) {
            work.push_back(gate::Input::Limit(pool.limit));
        }
        work.push_back(gate::Input::Out(out));
        work.push_back(gate::Input::Suspects(suspects));
    }

    fn ask_peers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let due = self.asked.is_none_or(|asked| now.saturating_sub(asked) >= ASK_INTERVAL);
        if self.is_ready() || !due {
            return;
        }
        self.asked = Some(now);
        for link in &self.options.peers {
            effects.push(Effect::Send(link.clone(), Message::Pull(0)));
        }
    }

    fn carry_out(
        &mut self,
        now: Duration,
        wall: Duration,
        output: gate::Output,
        work: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        match output {
            gate::Output::Send(link, message) => effects.push(Effect::Send(link, message)),
            gate::Output::Run(ticket, dispatch) => effects.push(Effect::Run(ticket, dispatch)),
            gate::Output::Stop(ticket) => effects.push(Effect::Stop(ticket)),
            gate::Output::Check => effects.push(Effect::Check),
            gate::Output::Drained => effects.push(Effect::Drained),
            gate::Output::Claim { ticket, key, fingerprint, deadline } => {
                let begin = claims::Input::Begin { ticket, key, fingerprint, deadline, wall };
                self.claim(now, begin, work, effects);
            }
            gate::Output::Finish { ticket, status, headers, body } => {
                let answer = Some(Answer { status, headers, body: body.to_vec() });
                self.claim(now, claims::Input::Finish { ticket, answer }, work, effects);
            }
            gate::Output::Lost(ticket) => {
                self.claim(now, claims::Input::Lost { ticket }, work, effects);
            }
            gate::Output::Abandon(ticket) => {
                self.claim(now, claims::Input::Abandon { ticket }, work, effects);
            }
            gate::Output::Trial { ticket, fingerprint } => {
                let trial = suspect::Input::Trial { ticket, fingerprint };
                self.suspect(now, trial, work, effects);
            }
            gate::Output::Crash(fingerprints) => {
                self.suspect(now, suspect::Input::Crash(fingerprints), work, effects);
            }
            gate::Output::Clear(fingerprint) => {
                self.suspect(now, suspect::Input::Clear(fingerprint), work, effects);
            }
            gate::Output::Release(fingerprint) => {
                self.suspect(now, suspect::Input::Release(fingerprint), work, effects);
            }
        }
    }

    fn suspect(
        &mut self,
        now: Duration,
        input: suspect::Input,
        work: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        for output in self.register.step(now, input) {
            match output {
                suspect::Output::Verdict(ticket, verdict) => {
                    work.push_back(gate::Input::Verdict(ticket, verdict));
                }
                call => effects.push(Effect::Suspect(call)),
            }
        }
    }

    fn claim(
        &mut self,
        now: Duration,
        input: claims::Input,
        work: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        for output in self.ledger.step(now, input) {
            match output {
                claims::Output::Grant { ticket } => {
                    work.push_back(gate::Input::Verdict(ticket, Verdict::Grant));
                }
                claims::Output::Deny { ticket, denial } => {
                    work.push_back(gate::Input::Verdict(ticket, verdict(denial)));
                }
                call => effects.push(Effect::Claims(call)),
            }
        }
    }
}

/// What a denied claim means for the attempt.
fn verdict(denial: Denial) -> Verdict {
    let refuse =
        |reason, execution, retry_after| Verdict::Refuse { reason, execution, retry_after };
    match denial {
        Denial::Running => refuse(Reason::Running, Execution::MayHaveRun, None),
        Denial::Mismatch => refuse(Reason::Mismatch, Execution::NotRun, None),
        Denial::Unknown => refuse(Reason::Unknown, Execution::MayHaveRun, None),
        Denial::Ran => refuse(Reason::Unknown, Execution::Ran, None),
        Denial::Unavailable { retry_after } => {
            refuse(Reason::Claims, Execution::NotRun, Some(retry_after))
        }
        Denial::Finished(answer) => Verdict::Answer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body.into(),
        },
    }
}
