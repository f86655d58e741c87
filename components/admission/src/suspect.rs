//! Tracking of requests that crash the backend servers that run them.
//!
//! After a crash, each request that was running there is a suspect; a row in the
//! platform counts its crashes. After [`SHARED_CRASHES`] crashes it may run only
//! exclusively, and only on the agent that the row names as holder of its trial,
//! so that there is one trial at a time in the whole fleet. A crash during the
//! trial condemns it; a complete answer clears it. All writes are conditional on
//! the row's version.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tables::{Name, Suspect, Table};
use wire::{Execution, Reason};

use crate::gate::{Standing, Verdict};

/// Crashes after which a suspect may run only exclusively.
pub const SHARED_CRASHES: u32 = 2;
/// Age of a trial after which its agent is considered crashed by the suspect.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Retry-after time of a refused trial, for example while another agent holds one.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);
const MAX_WAITING_CHANGES: usize = 1024;
/// Retries of a change after conflicts or failures of the platform.
const MAX_RETRIES: u32 = 5;

/// Input of the register.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The backend server crashed while it ran these requests.
    Crash(Vec<u64>),
    /// An attempt requests a trial of a suspect.
    Trial {
        /// Ticket of the attempt.
        ticket: u64,
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A suspect completed on this agent.
    Clear(u64),
    /// A trial on this agent ended without a result, for example because its
    /// caller disconnected.
    Release(u64),
    /// The row was read: its version and content, if it exists.
    Loaded(u64, Option<(u64, Suspect)>),
    /// The row was written.
    Stored(u64),
    /// The row did not have the expected version.
    Conflict(u64),
    /// The call to the platform failed.
    Failed(u64),
}

/// Action requested by the register.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the row of a suspect.
    Load(u64),
    /// Write the row if it has this version, or if it is absent for `None`.
    Store(u64, Option<u64>, Suspect),
    /// Result of a requested trial.
    Verdict(u64, Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Crash,
    Trial(u64),
    /// The agent that held the trial is considered crashed by the suspect.
    Condemn(u64),
    Clear,
    Release,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    change: Change,
    fingerprint: u64,
    retries: u32,
}

/// The crash register of one agent. It applies one change at a time.
#[derive(Clone, Debug)]
pub struct Register {
    agent: Name,
    waiting: VecDeque<Job>,
    current: Option<Job>,
    // Trials held by this agent, and when they were recorded.
    own_trials: BTreeMap<u64, Duration>,
    // Row version of each trial held by another agent, and when it was first read.
    foreign_trials: HashMap<u64, (Option<u64>, Duration)>,
}

impl Register {
    /// Creates a register for the agent `NAME/INCARNATION`.
    pub fn new(agent: Name) -> Register {
        Register {
            agent,
            waiting: VecDeque::new(),
            current: None,
            own_trials: BTreeMap::new(),
            foreign_trials: HashMap::new(),
        }
    }

    /// Applies one input and returns the actions to execute.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Crash(fingerprints) => {
                for fingerprint in fingerprints {
                    self.enqueue(Change::Crash, fingerprint, &mut outputs);
                }
            }
            Input::Trial { ticket, fingerprint } => {
                self.enqueue(Change::Trial(ticket), fingerprint, &mut outputs);
            }
            Input::Clear(fingerprint) => self.enqueue(Change::Clear, fingerprint, &mut outputs),
            Input::Release(fingerprint) => {
                self.own_trials.remove(&fingerprint);
                self.enqueue(Change::Release, fingerprint, &mut outputs);
            }
            Input::Loaded(fingerprint, row) => {
                self.handle_loaded(now, fingerprint, row, &mut outputs)
            }
            Input::Stored(fingerprint) => self.handle_stored(now, fingerprint, &mut outputs),
            Input::Conflict(fingerprint) | Input::Failed(fingerprint) => {
                self.retry(fingerprint, &mut outputs);
            }
        }
        self.start_next(&mut outputs);
        outputs
    }

    /// Number of changes not yet written to the platform.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + usize::from(self.current.is_some())
    }

    fn enqueue(&mut self, change: Change, fingerprint: u64, outputs: &mut Vec<Output>) {
        if self.waiting.len() >= MAX_WAITING_CHANGES {
            refuse_trial(change, Reason::Claims, outputs);
            return;
        }
        self.waiting.push_back(Job { change, fingerprint, retries: 0 });
    }

    fn start_next(&mut self, outputs: &mut Vec<Output>) {
        if self.current.is_none()
            && let Some(job) = self.waiting.pop_front()
        {
            self.current = Some(job);
            outputs.push(Output::Load(job.fingerprint));
        }
    }

    fn handle_loaded(
        &mut self,
        now: Duration,
        fingerprint: u64,
        row: Option<(u64, Suspect)>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.current.filter(|job| job.fingerprint == fingerprint) else { return };
        let (version, suspect) = match row {
            Some((version, suspect)) => (Some(version), suspect),
            None => (None, Suspect::default()),
        };
        match job.change {
            Change::Crash => {
                let next = self.add_crash(suspect, fingerprint);
                outputs.push(Output::Store(fingerprint, version, next));
            }
            Change::Clear if version.is_none() || suspect.condemned => self.current = None,
            Change::Clear => {
                let cleared = Suspect { condemned: false, ..Suspect::default() };
                outputs.push(Output::Store(fingerprint, version, cleared));
            }
            Change::Release if suspect.trial.as_ref() != Some(&self.agent) => {
                self.current = None;
            }
            Change::Release => {
                let released = Suspect { trial: None, ..suspect };
                outputs.push(Output::Store(fingerprint, version, released));
            }
            Change::Trial(ticket) | Change::Condemn(ticket) => {
                self.begin_trial(now, ticket, fingerprint, version, suspect, outputs);
            }
        }
    }

    fn add_crash(&self, suspect: Suspect, fingerprint: u64) -> Suspect {
        let in_own_trial = self.own_trials.contains_key(&fingerprint);
        let condemned = suspect.condemned || in_own_trial;
        Suspect { crashes: suspect.crashes + 1, trial: None, condemned }
    }

    fn begin_trial(
        &mut self,
        now: Duration,
        ticket: u64,
        fingerprint: u64,
        version: Option<u64>,
        suspect: Suspect,
        outputs: &mut Vec<Output>,
    ) {
        if suspect.condemned {
            self.current = None;
            refuse_trial(Change::Trial(ticket), Reason::Poison, outputs);
            return;
        }
        let holder = suspect.trial.clone().filter(|holder| *holder != self.agent);
        if holder.is_none() {
            self.foreign_trials.remove(&fingerprint);
            self.replace_change(Change::Trial(ticket));
            let next = Suspect { trial: Some(self.agent.clone()), ..suspect };
            outputs.push(Output::Store(fingerprint, version, next));
            return;
        }
        // Another agent holds the trial. If the trial outlives the timeout, that
        // agent crashed with it. Each trial writes the row, so the row's version
        // distinguishes trials.
        let observed = self.foreign_trials.entry(fingerprint).or_insert((version, now));
        if observed.0 != version {
            *observed = (version, now);
        }
        if now.saturating_sub(observed.1) > TRIAL_TIMEOUT {
            self.replace_change(Change::Condemn(ticket));
            let crashes = suspect.crashes + 1;
            let next = Suspect { crashes, trial: None, condemned: true };
            outputs.push(Output::Store(fingerprint, version, next));
            return;
        }
        self.current = None;
        refuse_trial(Change::Trial(ticket), Reason::Running, outputs);
    }

    fn handle_stored(&mut self, now: Duration, fingerprint: u64, outputs: &mut Vec<Output>) {
        let Some(job) = self.current.filter(|job| job.fingerprint == fingerprint) else { return };
        self.current = None;
        match job.change {
            Change::Crash | Change::Clear => {
                self.own_trials.remove(&fingerprint);
            }
            Change::Release => {}
            Change::Condemn(ticket) => {
                self.foreign_trials.remove(&fingerprint);
                refuse_trial(Change::Trial(ticket), Reason::Poison, outputs);
            }
            Change::Trial(ticket) => {
                self.own_trials.insert(fingerprint, now);
                outputs.push(Output::Verdict(ticket, Verdict::Grant));
            }
        }
    }

    /// Replaces the change in progress.
    fn replace_change(&mut self, change: Change) {
        if let Some(job) = &mut self.current {
            job.change = change;
        }
    }

    /// Retries a change from the start. Crash counts thus survive short failures
    /// of the platform; a trial is refused once the retries are used up.
    fn retry(&mut self, fingerprint: u64, outputs: &mut Vec<Output>) {
        let Some(job) = self.current.filter(|job| job.fingerprint == fingerprint) else { return };
        self.current = None;
        if job.retries >= MAX_RETRIES {
            refuse_trial(job.change, Reason::Claims, outputs);
            return;
        }
        self.waiting.push_back(Job { retries: job.retries + 1, ..job });
    }
}

fn refuse_trial(change: Change, reason: Reason, outputs: &mut Vec<Output>) {
    let (Change::Trial(ticket) | Change::Condemn(ticket)) = change else { return };
    let retry_after = (reason != Reason::Poison).then_some(TRIAL_RETRY_AFTER);
    let verdict = Verdict::Refuse { reason, execution: Execution::NotRun, retry_after };
    outputs.push(Output::Verdict(ticket, verdict));
}

/// Classifies the requests that the table lists as suspects, by fingerprint.
///
/// ```
/// let table = tables::Table::default();
/// assert!(admission::suspect::classify(&table).is_empty());
/// ```
pub fn classify(table: &Table) -> HashMap<u64, Standing> {
    let mut standings = HashMap::new();
    for (name, suspect) in table.suspects() {
        let Ok(fingerprint) = u64::from_str_radix(name, 16) else { continue };
        if suspect.condemned {
            standings.insert(fingerprint, Standing::Condemned);
        } else if suspect.crashes >= SHARED_CRASHES {
            standings.insert(fingerprint, Standing::Exclusive);
        } else if suspect.crashes > 0 {
            standings.insert(fingerprint, Standing::Suspected);
        }
    }
    standings
}

/// Returns the name of a suspect's row: its fingerprint as 16 hex digits.
///
/// ```
/// assert_eq!(admission::suspect::row_name(255), "00000000000000ff");
/// ```
pub fn row_name(fingerprint: u64) -> Name {
    format!("{fingerprint:016x}").into()
}
