//! Requests that crash the backend servers that run them.
//!
//! After a crash, each request that was running there is a suspect: a row in
//! the platform counts its crashes. With [`SHARED_CRASHES`] of them it may run
//! only alone, and only by an agent whose trial the row names, so that there is
//! one trial at a time in the whole fleet. A crash in its trial condemns it. A
//! suspect that ends whole is cleared. All changes are conditional on the
//! row's version.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tables::{Name, Suspect, Table};
use wire::{Execution, Reason};

use crate::gate::{Standing, Verdict};

/// Crashes after which a suspect runs only alone.
pub const SHARED_CRASHES: u32 = 2;
/// Age of a trial after which its agent is taken for gone: it crashed with it.
const TRIAL_LIMIT: Duration = Duration::from_secs(60);
/// Time after which the caller of a suspect in trial elsewhere may come back.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Most changes that wait for the platform.
const WAITING_LIMIT: usize = 1024;
/// Times that a change is tried before it is given up.
const TRY_LIMIT: u32 = 5;

/// What the register is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The backend server crashed while it ran these requests.
    Crash(Vec<u64>),
    /// An attempt wants to run a suspect alone.
    Trial {
        /// The attempt.
        ticket: u64,
        /// The suspect.
        fingerprint: u64,
    },
    /// A suspect ended whole here.
    Clear(u64),
    /// A trial here ended and showed nothing, as when its caller hung up.
    Release(u64),
    /// The row as the platform holds it, with its version.
    Loaded(u64, Option<(u64, Suspect)>),
    /// The change was written.
    Stored(u64),
    /// The row was not at the expected version.
    Conflict(u64),
    /// The platform did not answer.
    Failed(u64),
}

/// What the register wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the row of a suspect.
    Load(u64),
    /// Write the row if it is at this version, or absent.
    Store(u64, Option<u64>, Suspect),
    /// The word on a trial.
    Verdict(u64, Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Crash,
    Trial(u64),
    /// The holder of the trial is gone: the suspect crashed it.
    Condemn(u64),
    Clear,
    Release,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    change: Change,
    fingerprint: u64,
    tries: u32,
}

/// One agent's dealings with suspects. One change is under way at a time.
#[derive(Clone, Debug)]
pub struct Register {
    agent: Name,
    waiting: VecDeque<Job>,
    under_way: Option<Job>,
    trials: BTreeMap<u64, Duration>,
    // Versions of rows that name a trial elsewhere, and since when.
    seen: HashMap<u64, (Option<u64>, Duration)>,
}

impl Register {
    /// A register for the agent `NAME/INCARNATION`.
    pub fn new(agent: Name) -> Register {
        Register {
            agent,
            waiting: VecDeque::new(),
            under_way: None,
            trials: BTreeMap::new(),
            seen: HashMap::new(),
        }
    }

    /// Takes one input and says what to do.
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
                self.trials.remove(&fingerprint);
                self.enqueue(Change::Release, fingerprint, &mut outputs);
            }
            Input::Loaded(fingerprint, row) => self.loaded(now, fingerprint, row, &mut outputs),
            Input::Stored(fingerprint) => self.stored(now, fingerprint, &mut outputs),
            Input::Conflict(fingerprint) | Input::Failed(fingerprint) => {
                self.again(fingerprint, &mut outputs);
            }
        }
        self.start(&mut outputs);
        outputs
    }

    /// The number of changes that wait for the platform.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + usize::from(self.under_way.is_some())
    }

    fn enqueue(&mut self, change: Change, fingerprint: u64, outputs: &mut Vec<Output>) {
        if self.waiting.len() >= WAITING_LIMIT {
            refuse(change, Reason::Claims, outputs);
            return;
        }
        self.waiting.push_back(Job { change, fingerprint, tries: 0 });
    }

    fn start(&mut self, outputs: &mut Vec<Output>) {
        if self.under_way.is_none()
            && let Some(job) = self.waiting.pop_front()
        {
            self.under_way = Some(job);
            outputs.push(Output::Load(job.fingerprint));
        }
    }

    fn loaded(
        &mut self,
        now: Duration,
        fingerprint: u64,
        row: Option<(u64, Suspect)>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.under_way.filter(|job| job.fingerprint == fingerprint) else { return };
        let (version, suspect) = match row {
            Some((version, suspect)) => (Some(version), suspect),
            None => (None, Suspect::default()),
        };
        match job.change {
            Change::Crash => {
                let next = self.after_crash(suspect, fingerprint);
                outputs.push(Output::Store(fingerprint, version, next));
            }
            Change::Clear if version.is_none() || suspect.condemned => self.under_way = None,
            Change::Clear => {
                let cleared = Suspect { condemned: false, ..Suspect::default() };
                outputs.push(Output::Store(fingerprint, version, cleared));
            }
            Change::Release if suspect.trial.as_ref() != Some(&self.agent) => {
                self.under_way = None;
            }
            Change::Release => {
                let free = Suspect { trial: None, ..suspect };
                outputs.push(Output::Store(fingerprint, version, free));
            }
            Change::Trial(ticket) | Change::Condemn(ticket) => {
                self.begin_trial(now, ticket, fingerprint, version, suspect, outputs);
            }
        }
    }

    fn after_crash(&self, suspect: Suspect, fingerprint: u64) -> Suspect {
        let alone = self.trials.contains_key(&fingerprint);
        let condemned = suspect.condemned || alone;
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
            self.under_way = None;
            refuse(Change::Trial(ticket), Reason::Poison, outputs);
            return;
        }
        let holder = suspect.trial.clone().filter(|holder| *holder != self.agent);
        if holder.is_none() {
            self.seen.remove(&fingerprint);
            self.change(Change::Trial(ticket));
            let next = Suspect { trial: Some(self.agent.clone()), ..suspect };
            outputs.push(Output::Store(fingerprint, version, next));
            return;
        }
        // Another agent tries it. One that never comes back crashed with it.
        // Each trial writes the row, so its version tells trials apart.
        let first = self.seen.entry(fingerprint).or_insert((version, now));
        if first.0 != version {
            *first = (version, now);
        }
        if now.saturating_sub(first.1) > TRIAL_LIMIT {
            self.change(Change::Condemn(ticket));
            let crashes = suspect.crashes + 1;
            let next = Suspect { crashes, trial: None, condemned: true };
            outputs.push(Output::Store(fingerprint, version, next));
            return;
        }
        self.under_way = None;
        refuse(Change::Trial(ticket), Reason::Running, outputs);
    }

    fn stored(&mut self, now: Duration, fingerprint: u64, outputs: &mut Vec<Output>) {
        let Some(job) = self.under_way.filter(|job| job.fingerprint == fingerprint) else { return };
        self.under_way = None;
        match job.change {
            Change::Crash | Change::Clear => {
                self.trials.remove(&fingerprint);
            }
            Change::Release => {}
            Change::Condemn(ticket) => {
                self.seen.remove(&fingerprint);
                refuse(Change::Trial(ticket), Reason::Poison, outputs);
            }
            Change::Trial(ticket) => {
                self.trials.insert(fingerprint, now);
                outputs.push(Output::Verdict(ticket, Verdict::Grant));
            }
        }
    }

    /// Turns the change under way into another one.
    fn change(&mut self, change: Change) {
        if let Some(job) = &mut self.under_way {
            job.change = change;
        }
    }

    /// Tries a change again from the start; evidence is not lost for a long
    /// time, but a trial is refused when the platform can't be had.
    fn again(&mut self, fingerprint: u64, outputs: &mut Vec<Output>) {
        let Some(job) = self.under_way.filter(|job| job.fingerprint == fingerprint) else { return };
        self.under_way = None;
        if job.tries >= TRY_LIMIT {
            refuse(job.change, Reason::Claims, outputs);
            return;
        }
        self.waiting.push_back(Job { tries: job.tries + 1, ..job });
    }
}

fn refuse(change: Change, reason: Reason, outputs: &mut Vec<Output>) {
    let (Change::Trial(ticket) | Change::Condemn(ticket)) = change else { return };
    let retry_after = (reason != Reason::Poison).then_some(TRIAL_RETRY_AFTER);
    let verdict = Verdict::Refuse { reason, execution: Execution::NotRun, retry_after };
    outputs.push(Output::Verdict(ticket, verdict));
}

/// How requests stand by the evidence of a table.
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
            standings.insert(fingerprint, Standing::Alone);
        } else if suspect.crashes > 0 {
            standings.insert(fingerprint, Standing::Watched);
        }
    }
    standings
}

/// The name of a suspect's row.
///
/// ```
/// assert_eq!(admission::suspect::row_name(255), "00000000000000ff");
/// ```
pub fn row_name(fingerprint: u64) -> Name {
    format!("{fingerprint:016x}").into()
}
