//! Executes operator commands against the platform and the processes.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use platform::{Change as RowChange, Client, Error as PlatformError};
use serde::Serialize;
use serde_json::Value;
use tables::{Key, Kind, Name};

use crate::{
    Change, Desired, Entry, Error, Input, Outcome, Output, Plan, Present, Process, Reading, Report,
    Settings, Status, Wait, Write, plan,
};

/// Interval between polls of processes that have not reached a version yet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Largest response body that is read from a process, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 64 << 20;

/// The response of a process to a query about a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Answer {
    /// The process's operations address.
    pub address: Name,
    /// The explanation; `None` if the process has no record of the request or
    /// could not be queried.
    pub explanation: Option<Value>,
    /// Whether the process responded.
    pub reached: bool,
}

/// Connections to the platform and the processes for one operator command.
#[derive(Clone)]
pub struct Session {
    client: Client,
    http: awc::Client,
    settings: Settings,
}

impl Session {
    /// Creates clients for the platform and the processes in the settings.
    pub fn new(settings: Settings) -> Session {
        let client = Client::new(settings.platform.clone(), settings.timeout);
        let http = awc::Client::builder().timeout(settings.timeout).finish();
        Session { client, http, settings }
    }

    /// Reads the tables and the host list.
    pub async fn present(&self) -> Result<Present, Error> {
        let mut listings = Vec::with_capacity(Kind::ALL.len());
        for kind in Kind::ALL {
            listings.push((kind, self.client.list(kind.as_str()).await?));
        }
        let hosts = self.client.hosts(0, Duration::ZERO).await?.hosts;
        Ok(Present::new(listings, hosts))
    }

    /// Plans, validates and writes the desired rows.
    pub async fn change(&self, desired: Vec<Desired>) -> Result<Report, Error> {
        let present = self.present().await?;
        let plan = plan(&present, desired)?;
        Ok(self.execute(plan).await)
    }

    /// Takes an availability zone or backend server out of service (`out`) or
    /// returns it to service.
    pub async fn set_out(&self, key: Key, out: bool) -> Result<Report, Error> {
        let present = self.present().await?;
        if !present.contains(&key) {
            return Err(Error::Unknown { key });
        }
        let value = Some(serde_json::json!({ "out": out }));
        let plan = plan(&present, vec![Desired { key, value, expect: None }])?;
        Ok(self.execute(plan).await)
    }

    /// Applies a change file; nothing is written if it has any fault.
    pub async fn apply(&self, name: &str, text: &str) -> Result<Report, Error> {
        let present = self.present().await?;
        let desired = crate::parse(name, text, &present)?;
        Ok(self.execute(plan(&present, desired)?).await)
    }

    /// Executes planned changes in order. After the first change that is not
    /// accepted, the remaining ones are reported as not tried.
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

    /// Waits until the reported version is in force on all processes, and records
    /// in the report those that did not reach it in time.
    pub async fn wait(&self, report: &mut Report) {
        let Some(version) = report.version() else { return };
        let mut wait = Wait::new(version, &self.settings.operations);
        let started = Instant::now();
        loop {
            let addresses: Vec<Name> = wait.pending().iter().map(|p| p.address.clone()).collect();
            for process in self.revisions(&addresses).await {
                wait.observe(&process.address, process.revision);
            }
            if wait.is_complete() || started.elapsed() + POLL_INTERVAL > self.settings.wait {
                break;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        report.pending = Some(wait.pending().to_vec());
    }

    /// Summarizes what is in service.
    pub async fn status(&self) -> Result<Status, Error> {
        let present = self.present().await?;
        let processes = self.revisions(&self.settings.operations).await;
        Ok(Status::new(&present, processes))
    }

    /// Fetches the dump of the process at an operations address.
    pub async fn dump(&self, address: &str) -> Result<Value, Error> {
        let no_response = || Error::Process { address: address.into() };
        let value =
            self.fetch(&format!("http://{address}/dump")).await.map_err(|_| no_response())?;
        value.ok_or_else(no_response)
    }

    /// Queries all processes for their records of a request.
    pub async fn explain(&self, id: &str) -> Result<Vec<Answer>, Error> {
        if self.settings.operations.is_empty() {
            return Err(Error::NoOperations);
        }
        let query = |address: &Name| {
            let url = format!("http://{address}/explain/{}", platform::encode(id));
            let address = address.clone();
            async move {
                let reply = self.fetch(&url).await;
                let reached = reply.is_ok();
                Answer { address, explanation: reply.ok().flatten(), reached }
            }
        };
        let answers = join_all(self.settings.operations.iter().map(query)).await;
        match answers.iter().any(|answer| answer.explanation.is_some()) {
            true => Ok(answers),
            false => Err(Error::NoRequest { id: id.into() }),
        }
    }

    async fn write(&self, change: Change) -> Outcome {
        let started = Instant::now();
        let mut write = Write::new(change, self.settings.accept);
        let mut input = Input::Proceed;
        loop {
            input = match write.step(started.elapsed(), input) {
                Output::Send => Input::Replied(self.send(write.change()).await),
                Output::Read => Input::Read(self.read_back(write.change()).await),
                Output::Wait(time) => {
                    actix_rt::time::sleep(time).await;
                    Input::Proceed
                }
                Output::Done(outcome) => return outcome,
            };
        }
    }

    async fn send(&self, change: &Change) -> Result<u64, PlatformError> {
        let (kind, name) = (change.key.kind.as_str(), &change.key.name);
        match &change.value {
            Some(value) => self.client.put(kind, name, change.expect, value).await,
            None => self.client.delete(kind, name, change.expect).await,
        }
    }

    /// Reads the row's last change since the plan, or its current state if the
    /// platform no longer retains the changes.
    async fn read_back(&self, change: &Change) -> Result<Reading, PlatformError> {
        let (kind, name) = (change.key.kind.as_str(), &change.key.name);
        match self.client.watch(&[kind], change.since, Duration::ZERO).await {
            Ok(changes) => {
                let last = changes.changes.into_iter().find(|row_change| row_change.name == *name);
                Ok(Reading::from(last))
            }
            Err(PlatformError::Gone) => {
                let object = self.client.get(kind, name).await?;
                Ok(Reading::of_object(change, object))
            }
            Err(error) => Err(error),
        }
    }

    async fn revisions(&self, addresses: &[Name]) -> Vec<Process> {
        let query = |address: &Name| {
            let address = address.clone();
            async move {
                let dump = self.dump(&address).await.ok();
                let revision = dump.and_then(|dump| dump.get("revision")?.as_u64());
                Process { address, revision }
            }
        };
        join_all(addresses.iter().map(query)).await
    }

    /// Fetches JSON from a process; `None` if it responds with 404.
    async fn fetch(&self, url: &str) -> Result<Option<Value>, PlatformError> {
        let mut reply = self.http.get(url).send().await.map_err(|_| PlatformError::Unreachable)?;
        match reply.status().as_u16() {
            200 => {}
            404 => return Ok(None),
            status => return Err(PlatformError::Malformed { status }),
        }
        let value = reply.json().limit(RESPONSE_LIMIT_BYTES).await;
        value.map(Some).map_err(|_| PlatformError::Malformed { status: 200 })
    }
}

impl From<Option<RowChange>> for Reading {
    fn from(last: Option<RowChange>) -> Reading {
        match last {
            Some(RowChange { version, value, .. }) => Reading::Changed { version, value },
            None => Reading::Unchanged,
        }
    }
}
