//! The commands, joined to the platform and to the processes.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use platform::{Change as Last, Client, Error as Failure};
use serde::Serialize;
use serde_json::Value;
use tables::{Key, Kind, Name};

use crate::{
    Change, Desired, Entry, Error, Input, Outcome, Output, Plan, Present, Process, Reading, Report,
    Settings, Status, Wait, Write, plan,
};

/// Time between two questions to processes that are not yet at a version.
const POLL: Duration = Duration::from_millis(100);
/// Largest dump that is read, in bytes.
const DUMP_LIMIT: usize = 64 << 20;

/// What a process answered about a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Answer {
    /// The process's operations address.
    pub address: Name,
    /// What it knows; nothing if it does not know the request.
    pub explanation: Option<Value>,
    /// Whether it answered at all.
    pub reached: bool,
}

/// An operator's session.
#[derive(Clone)]
pub struct Session {
    client: Client,
    http: awc::Client,
    settings: Settings,
}

impl Session {
    /// A session with the platform and the processes of the settings.
    pub fn new(settings: Settings) -> Session {
        let client = Client::new(settings.platform.clone(), settings.timeout);
        let http = awc::Client::builder().timeout(settings.timeout).finish();
        Session { client, http, settings }
    }

    /// Reads tables and host list.
    pub async fn present(&self) -> Result<Present, Error> {
        let mut listings = Vec::with_capacity(Kind::ALL.len());
        for kind in Kind::ALL {
            listings.push((kind, self.client.list(kind.as_str()).await?));
        }
        let hosts = self.client.hosts(0, Duration::ZERO).await?.hosts;
        Ok(Present::new(listings, hosts))
    }

    /// Sets rows: plans, checks and writes.
    pub async fn change(&self, wanted: Vec<Desired>) -> Result<Report, Error> {
        let present = self.present().await?;
        let plan = plan(&present, wanted)?;
        Ok(self.execute(plan).await)
    }

    /// Takes an availability zone or backend server out, or returns it.
    pub async fn set_out(&self, key: Key, out: bool) -> Result<Report, Error> {
        let present = self.present().await?;
        if !present.knows(&key) {
            return Err(Error::Unknown { key });
        }
        let value = Some(serde_json::json!({ "out": out }));
        let plan = plan(&present, vec![Desired { key, value, expect: None }])?;
        Ok(self.execute(plan).await)
    }

    /// Applies a file of changes; nothing is written if it has a fault.
    pub async fn apply(&self, name: &str, text: &str) -> Result<Report, Error> {
        let present = self.present().await?;
        let wanted = crate::parse(name, text, &present)?;
        Ok(self.execute(plan(&present, wanted)?).await)
    }

    /// Makes planned changes one after the other; the first that is not
    /// accepted ends it.
    pub async fn execute(&self, plan: Plan) -> Report {
        let mut report = Report::default();
        for (key, version) in plan.unchanged {
            let outcome = Outcome::Unchanged { version };
            let kind = key.kind.as_str();
            let entry = Entry { kind, name: key.name, outcome, wanted: None, expected: version };
            report.changes.push(entry);
        }
        for change in plan.changes {
            let outcome = match report.is_accepted() {
                true => self.write(change.clone()).await,
                false => Outcome::NotTried,
            };
            report.changes.push(Entry::new(&change, outcome));
        }
        report
    }

    /// Waits until what the report accepted is in force, and notes where not.
    pub async fn wait(&self, report: &mut Report) {
        let Some(version) = report.version() else { return };
        let mut wait = Wait::new(version, &self.settings.operations);
        let started = Instant::now();
        loop {
            let addresses: Vec<Name> = wait.pending().iter().map(|p| p.address.clone()).collect();
            for process in self.revisions(&addresses).await {
                wait.take(&process.address, process.revision);
            }
            if wait.is_over() || started.elapsed() + POLL > self.settings.wait {
                break;
            }
            actix_rt::time::sleep(POLL).await;
        }
        report.pending = Some(wait.pending().to_vec());
    }

    /// A short account of what is in service.
    pub async fn status(&self) -> Result<Status, Error> {
        let present = self.present().await?;
        let processes = self.revisions(&self.settings.operations).await;
        Ok(Status::new(&present, processes))
    }

    /// The dump of the process at an operations address.
    pub async fn dump(&self, address: &str) -> Result<Value, Error> {
        let failed = || Error::Process { address: address.into() };
        let value = self.fetch(&format!("http://{address}/dump")).await.map_err(|_| failed())?;
        value.ok_or_else(failed)
    }

    /// Asks all processes what they know about a request.
    pub async fn explain(&self, id: &str) -> Result<Vec<Answer>, Error> {
        if self.settings.operations.is_empty() {
            return Err(Error::NoOperations);
        }
        let ask = |address: &Name| {
            let url = format!("http://{address}/explain/{id}");
            let address = address.clone();
            async move {
                let reply = self.fetch(&url).await;
                let reached = reply.is_ok();
                Answer { address, explanation: reply.ok().flatten(), reached }
            }
        };
        let answers = join_all(self.settings.operations.iter().map(ask)).await;
        match answers.iter().any(|answer| answer.explanation.is_some()) {
            true => Ok(answers),
            false => Err(Error::NoRequest { id: id.into() }),
        }
    }

    async fn write(&self, change: Change) -> Outcome {
        let started = Instant::now();
        let mut write = Write::new(change, self.settings.accept);
        let mut input = Input::Go;
        loop {
            input = match write.step(started.elapsed(), input) {
                Output::Send => Input::Replied(self.send(write.change()).await),
                Output::Read => Input::Read(self.read_back(write.change()).await),
                Output::Wait(time) => {
                    actix_rt::time::sleep(time).await;
                    Input::Go
                }
                Output::Done(outcome) => return outcome,
            };
        }
    }

    async fn send(&self, change: &Change) -> Result<u64, Failure> {
        let (kind, name) = (change.key.kind.as_str(), &change.key.name);
        match &change.value {
            Some(value) => self.client.put(kind, name, change.expect, value).await,
            None => self.client.delete(kind, name, change.expect).await,
        }
    }

    /// The row's last change since the plan; its present state if the platform
    /// no longer keeps the changes.
    async fn read_back(&self, change: &Change) -> Result<Reading, Failure> {
        let (kind, name) = (change.key.kind.as_str(), &change.key.name);
        match self.client.watch(&[kind], change.since, Duration::ZERO).await {
            Ok(changes) => {
                let last = changes.changes.into_iter().find(|last| last.name == *name);
                Ok(Reading::from(last))
            }
            Err(Failure::Gone) => {
                let object = self.client.get(kind, name).await?;
                Ok(Reading::of_object(change, object))
            }
            Err(error) => Err(error),
        }
    }

    async fn revisions(&self, addresses: &[Name]) -> Vec<Process> {
        let ask = |address: &Name| {
            let address = address.clone();
            async move {
                let dump = self.dump(&address).await.ok();
                let revision = dump.and_then(|dump| dump.get("revision")?.as_u64());
                Process { address, revision }
            }
        };
        join_all(addresses.iter().map(ask)).await
    }

    /// JSON from a process; nothing if it has no such thing.
    async fn fetch(&self, url: &str) -> Result<Option<Value>, Failure> {
        let mut reply = self.http.get(url).send().await.map_err(|_| Failure::Unreachable)?;
        match reply.status().as_u16() {
            200 => {}
            404 => return Ok(None),
            status => return Err(Failure::Malformed { status }),
        }
        let value = reply.json().limit(DUMP_LIMIT).await;
        value.map(Some).map_err(|_| Failure::Malformed { status: 200 })
    }
}

impl From<Option<Last>> for Reading {
    fn from(last: Option<Last>) -> Reading {
        match last {
            Some(Last { version, value, .. }) => Reading::Changed { version, value },
            None => Reading::Unchanged,
        }
    }
}
