//! The agent's decisions: admission gate, claim ledger, suspect register and
//! gossip.
//!
//! The parts are independent of each other. [`State`] passes the gate's outputs
//! to the ledger and the register, returns their results to the gate as
//! verdicts, and emits everything that needs I/O as an [`Effect`].

use std::collections::VecDeque;
use std::time::Duration;

use admission::Gate;
use admission::gate::{self, Event, Verdict};
use admission::suspect::{self, Register};
use claims::{Answer, Denial, Ledger};
use serde_json::{Value, json};
use tables::Name;
use wire::{Dispatch, Execution, Frame, Gossip, Message, Reason, Sender};

/// Input of the state.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A frame was received.
    Frame(Frame),
    /// Progress of a request that was sent to the backend server.
    Event(u64, Event),
    /// The backend server's incarnation and load.
    Engine {
        /// A number that changes when the backend server restarts.
        incarnation: u64,
        /// Queued prompt tokens.
        prefill: u32,
    },
    /// The backend server did not answer a health check.
    Unreachable,
    /// Result of a platform call for a claim.
    Claims(claims::Input),
    /// Result of a platform call for a suspect.
    Suspect(suspect::Input),
    /// The process was asked to stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// Effect that the caller of [`State::step`] has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Send a request to the backend server.
    Run(u64, Dispatch),
    /// Cancel a request that was sent to the backend server.
    Stop(u64),
    /// Check the backend server's health now.
    Check,
    /// Make a platform call for a claim.
    Claims(claims::Output),
    /// Make a platform call for a suspect.
    Suspect(suspect::Output),
    /// The process is stopping and no work is left.
    Drained,
}

/// Options of an agent.
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
    /// Concurrency limit of the warm backend server, in requests.
    pub limit: u32,
    /// Whether the backend server starts cold, as model engines do.
    pub cold: bool,
    /// Link addresses of the entries from which tables are pulled at startup.
    pub peers: Vec<Name>,
    /// Number of partitions for claims.
    pub partitions: u32,
    /// Limits and timeouts of the claims.
    pub claims: claims::Settings,
}

/// The state of one agent.
pub struct State {
    options: Options,
    gate: Gate,
    ledger: Ledger,
    register: Register,
    gossip: Gossip,
    out_of_service: bool,
    last_pull: Option<Duration>,
}

/// Interval of table pulls until the first table is received.
const PULL_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// An agent without tables; it admits no requests until it receives them.
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
        State {
            options,
            gate,
            ledger,
            register,
            gossip: Gossip::default(),
            out_of_service: true,
            last_pull: None,
        }
    }

    /// Handles one input and returns the resulting effects. `wall` is the time
    /// since the Unix epoch, from which the age of claims is computed.
    pub fn step(&mut self, now: Duration, wall: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut gate_inputs = VecDeque::new();
        match input {
            Input::Frame(frame) => self.handle_frame(now, frame, &mut gate_inputs, &mut effects),
            Input::Event(ticket, event) => gate_inputs.push_back(gate::Input::Event(ticket, event)),
            Input::Engine { incarnation, prefill } => {
                gate_inputs.push_back(gate::Input::Engine { incarnation, prefill });
            }
            Input::Unreachable => gate_inputs.push_back(gate::Input::Unreachable),
            Input::Claims(input) => self.step_ledger(now, input, &mut gate_inputs, &mut effects),
            Input::Suspect(input) => self.step_register(now, input, &mut gate_inputs, &mut effects),
            Input::Leave => gate_inputs.push_back(gate::Input::Leave),
            Input::Tick => {
                self.pull_from_peers(now, &mut effects);
                self.step_ledger(now, claims::Input::Tick { wall }, &mut gate_inputs, &mut effects);
                gate_inputs.push_back(gate::Input::Tick);
            }
        }
        while let Some(input) = gate_inputs.pop_front() {
            for output in self.gate.step(now, input) {
                self.handle_output(now, wall, output, &mut gate_inputs, &mut effects);
            }
        }
        effects
    }

    /// The revision of the configuration in use.
    pub fn revision(&self) -> u64 {
        self.gossip.table().revision()
    }

    /// Whether the agent has received tables and admits requests.
    pub fn is_ready(&self) -> bool {
        self.revision() > 0
    }

    /// The gate's counters.
    pub fn counters(&self) -> gate::Counters {
        self.gate.counters()
    }

    /// The load report of the backend server.
    pub fn report(&self, now: Duration) -> wire::Report {
        self.gate.report(now)
    }

    /// The state as JSON, of bounded size.
    pub fn dump(&self, now: Duration) -> Value {
        json!({
            "name": self.options.name,
            "zone": self.options.zone,
            "pool": self.options.pool,
            "incarnation": self.options.incarnation,
            "revision": self.revision(),
            "out": self.out_of_service,
            "gate": self.gate.dump(now),
            "claims": self.ledger.dump(),
            "suspect_changes_waiting": self.register.waiting(),
        })
    }

    fn handle_frame(
        &mut self,
        now: Duration,
        frame: Frame,
        gate_inputs: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(pull) = self.gossip.observe(now, &frame.sender.link, frame.revision) {
            effects.push(Effect::Send(frame.sender.link.clone(), pull));
        }
        for message in frame.messages {
            self.handle_message(&frame.sender, message, gate_inputs, effects);
        }
    }

    fn handle_message(
        &mut self,
        sender: &Sender,
        message: Message,
        gate_inputs: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Delta(delta) => {
                if self.gossip.merge(delta) {
                    self.apply_configuration(gate_inputs);
                }
            }
            Message::Pull(since) => {
                let delta = Message::Delta(self.gossip.delta(since));
                effects.push(Effect::Send(sender.link.clone(), delta));
            }
            message => gate_inputs.push_back(gate::Input::Receive(sender.clone(), message)),
        }
    }

    fn apply_configuration(&mut self, gate_inputs: &mut VecDeque<gate::Input>) {
        let table = self.gossip.table();
        let out_of_service =
            table.is_zone_out(&self.options.zone) || table.is_server_out(&self.options.name);
        self.out_of_service = out_of_service;
        let suspects = suspect::classify(table);
        if let Some(pool) = table.pool(&self.options.pool) {
            gate_inputs.push_back(gate::Input::Limit(pool.limit));
        }
        gate_inputs.push_back(gate::Input::Out(out_of_service));
        gate_inputs.push_back(gate::Input::Suspects(suspects));
    }

    fn pull_from_peers(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let due =
            self.last_pull.is_none_or(|last_pull| now.saturating_sub(last_pull) >= PULL_INTERVAL);
        if self.is_ready() || !due {
            return;
        }
        self.last_pull = Some(now);
        for link in &self.options.peers {
            effects.push(Effect::Send(link.clone(), Message::Pull(0)));
        }
    }

    fn handle_output(
        &mut self,
        now: Duration,
        wall: Duration,
        output: gate::Output,
        gate_inputs: &mut VecDeque<gate::Input>,
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
                self.step_ledger(now, begin, gate_inputs, effects);
            }
            gate::Output::Finish { ticket, status, headers, body } => {
                let answer = Some(Answer { status, headers, body: body.to_vec() });
                self.step_ledger(
                    now,
                    claims::Input::Finish { ticket, answer },
                    gate_inputs,
                    effects,
                );
            }
            gate::Output::Lost(ticket) => {
                self.step_ledger(now, claims::Input::Lost { ticket }, gate_inputs, effects);
            }
            gate::Output::Abandon(ticket) => {
                self.step_ledger(now, claims::Input::Abandon { ticket }, gate_inputs, effects);
            }
            gate::Output::Trial { ticket, fingerprint } => {
                let trial = suspect::Input::Trial { ticket, fingerprint };
                self.step_register(now, trial, gate_inputs, effects);
            }
            gate::Output::Crash(fingerprints) => {
                self.step_register(now, suspect::Input::Crash(fingerprints), gate_inputs, effects);
            }
            gate::Output::Clear(fingerprint) => {
                self.step_register(now, suspect::Input::Clear(fingerprint), gate_inputs, effects);
            }
            gate::Output::Release(fingerprint) => {
                self.step_register(now, suspect::Input::Release(fingerprint), gate_inputs, effects);
            }
        }
    }

    fn step_register(
        &mut self,
        now: Duration,
        input: suspect::Input,
        gate_inputs: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        for output in self.register.step(now, input) {
            match output {
                suspect::Output::Verdict(ticket, verdict) => {
                    gate_inputs.push_back(gate::Input::Verdict(ticket, verdict));
                }
                call => effects.push(Effect::Suspect(call)),
            }
        }
    }

    fn step_ledger(
        &mut self,
        now: Duration,
        input: claims::Input,
        gate_inputs: &mut VecDeque<gate::Input>,
        effects: &mut Vec<Effect>,
    ) {
        for output in self.ledger.step(now, input) {
            match output {
                claims::Output::Grant { ticket } => {
                    gate_inputs.push_back(gate::Input::Verdict(ticket, Verdict::Grant));
                }
                claims::Output::Deny { ticket, denial } => {
                    gate_inputs.push_back(gate::Input::Verdict(ticket, verdict(denial)));
                }
                call => effects.push(Effect::Claims(call)),
            }
        }
    }
}

/// Maps the denial of a claim to the verdict on the attempt.
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
