//! The entry's state machine: from a caller's request to its complete answer.
//!
//! Each stage has a module: [`submit`] matches account and route, [`choose`]
//! selects a backend server and dispatches, [`collect`] assembles the answer,
//! [`retry`] handles failed attempts, [`timers`] runs deadlines, heartbeats and
//! gossip.

mod choose;
mod collect;
mod retry;
mod submit;
mod timers;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use tables::host::Role;
use tables::{Delta, Host, Key, Name, Row};
use wire::{Frame, Gossip, Message, Reason, RequestId, Sender};

use crate::budget::Budget;
use crate::matching::Index;
use crate::members::Members;
use crate::prefix::Prefix;
use crate::problem::Problem;
use crate::request::{Request, Submission};
use crate::trace::{Step, Trace};

pub use submit::class;

/// Retries allowed per first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries per second that are always allowed.
const MIN_RETRIES_PER_S: f64 = 5.0;
/// Most requests in a state dump.
const DUMP_LIMIT: usize = 100;

/// An input to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A caller submitted a request.
    Submit(Submission),
    /// A frame arrived.
    Frame(Frame),
    /// The caller of a request disconnected.
    Disconnected(RequestId),
    /// Changed rows from the platform.
    Delta(Delta),
    /// A full listing of the rows from the platform.
    Listing {
        /// The revision of the listing.
        revision: u64,
        /// The rows.
        rows: Vec<(Key, Row)>,
        /// Rows that could not be decoded.
        malformed: Vec<Key>,
    },
    /// The host list at a revision, from the platform.
    Hosts(u64, Vec<Host>),
    /// The process is shutting down.
    Leave,
    /// The process stops now: open requests get their final answer.
    End,
    /// Periodic tick, on which all timers are checked.
    Tick,
}

/// A part of the answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Status and headers.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(Name, Name)>,
    },
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body.
    End,
    /// The request failed; nothing follows.
    Problem(Problem),
}

/// An action for the process to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Close the link to this address.
    CloseLink(Name),
    /// Forward a part of the answer to the caller.
    Answer(RequestId, Part),
    /// The process is shutting down and no request is in progress.
    Drained,
}

/// Configuration of the router.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's name in the host list.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its link address.
    pub link: Name,
    /// Links of other entries, in addition to those in the host list.
    pub peers: Vec<Name>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Counters since the start of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests submitted by callers.
    pub asked: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests that ended with a problem.
    pub problems: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Streams resumed on another backend server.
    pub resumed: u64,
    /// Messages for attempts that are no longer current.
    pub stale: u64,
    /// Requests whose caller disconnected.
    #[serde(rename = "hung_up")]
    pub disconnected: u64,
}

/// The state of one entry.
pub struct Router {
    options: Options,
    gossip: Gossip,
    index: Index,
    hosts: Vec<Host>,
    hosts_revision: u64,
    members: Members,
    prefix: Prefix,
    budget: Budget,
    rng: ChaCha8Rng,
    // Ordered, so that equal inputs give equal outputs.
    requests: BTreeMap<RequestId, Request>,
    trace: Trace,
    peer_answered: bool,
    platform_answered: bool,
    joined: Option<Duration>,
    last_gossip: Option<Duration>,
    leaving: bool,
    drained: bool,
    counters: Counters,
}

impl Router {
    /// Creates a router without table, hosts or requests.
    pub fn new(options: Options) -> Router {
        Router {
            gossip: Gossip::default(),
            index: Index::default(),
            hosts: Vec::new(),
            hosts_revision: 0,
            members: Members::new(options.name.clone()),
            prefix: Prefix::default(),
            budget: Budget::new(RETRIES_PER_REQUEST, MIN_RETRIES_PER_S),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            requests: BTreeMap::new(),
            trace: Trace::default(),
            peer_answered: false,
            platform_answered: false,
            joined: None,
            last_gossip: None,
            leaving: false,
            drained: false,
            counters: Counters::default(),
            options,
        }
    }

    /// Handles one input and returns the actions to execute.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Submit(submission) => self.submit(now, submission, &mut outputs),
            Input::Frame(frame) => self.handle_frame(now, frame, &mut outputs),
            Input::Disconnected(id) => self.disconnect(now, id, &mut outputs),
            Input::Delta(delta) => {
                self.platform_answered = true;
                self.update_table(|gossip| gossip.apply_changes(delta));
            }
            Input::Listing { revision, rows, malformed } => {
                self.platform_answered = true;
                self.update_table(|gossip| gossip.apply_listing(revision, rows, malformed));
            }
            Input::Hosts(revision, hosts) => self.update_hosts(revision, hosts, &mut outputs),
            Input::Leave => self.leaving = true,
            Input::End => self.end_all(now, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
        }
        if self.leaving && !self.drained && self.requests.is_empty() {
            self.drained = true;
            outputs.push(Output::Drained);
        }
        outputs
    }

    /// The revision of the table in use.
    pub fn revision(&self) -> u64 {
        self.gossip.table().revision()
    }

    /// Whether the entry can serve: it has a table and backend servers, and has
    /// received state from the platform or a peer.
    pub fn is_ready(&self) -> bool {
        let has_state = self.platform_answered || self.peer_answered;
        has_state && self.revision() > 0 && !self.members.is_empty() && !self.leaving
    }

    /// The number of requests in progress.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The traced steps of a request, if they are still kept.
    pub fn explain(&self, id: &RequestId) -> Option<&[Step]> {
        self.trace.explain(id)
    }

    /// The state as JSON, with at most [`DUMP_LIMIT`] requests and members.
    pub fn dump(&self, now: Duration) -> serde_json::Value {
        let members: Vec<_> = self
            .members
            .sorted()
            .iter()
            .take(DUMP_LIMIT)
            .map(|m| self.dump_member(now, m))
            .collect();
        let requests: Vec<_> = self
            .requests
            .iter()
            .take(DUMP_LIMIT)
            .map(|(id, request)| {
                json!({
                    "request": id.to_string(),
                    "account": request.dispatch.account,
                    "route": request.route,
                    "attempts": request.attempts,
                    "server": request.attempt.as_ref().map(|attempt| attempt.server.clone()),
                    "events": request.events,
                })
            })
            .collect();
        json!({
            "name": self.options.name,
            "zone": self.options.zone,
            "revision": self.revision(),
            "ready": self.is_ready(),
            "leaving": self.leaving,
            "hosts_revision": self.hosts_revision,
            "hosts": self.hosts.len(),
            "members_known": self.members.len(),
            "members": members,
            "open": self.requests.len(),
            "requests": requests,
            "counters": self.counters,
        })
    }

    fn dump_member(&self, now: Duration, member: &crate::members::Member) -> serde_json::Value {
        let view = self.members.view(now, &member.host.name);
        json!({
            "server": member.host.name,
            "zone": member.host.zone,
            "incarnation": member.incarnation,
            "lost": crate::members::is_lost(now, member),
            "in_flight": self.members.tracker.in_flight(&member.host.name),
            "report_age_ms": view.age.as_millis() as u64,
            "report": view.report,
        })
    }

    fn handle_frame(&mut self, now: Duration, frame: Frame, outputs: &mut Vec<Output>) {
        let Some(restarted) = self.members.record_frame(now, &frame.sender) else {
            self.counters.stale += frame.messages.len() as u64;
            return;
        };
        if restarted {
            self.fail_restarted(now, &frame.sender, outputs);
        }
        if let Some(pull) = self.gossip.observe(now, &frame.sender.link, frame.revision) {
            outputs.push(Output::Send(frame.sender.link.clone(), pull));
        }
        for message in frame.messages {
            self.handle_message(now, &frame.sender, message, outputs);
        }
    }

    fn handle_message(
        &mut self,
        now: Duration,
        sender: &Sender,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Refusal(refusal) => self.handle_refusal(now, sender, refusal, outputs),
            Message::Head(head) => self.handle_head(now, sender, head, outputs),
            Message::Chunk(chunk) => self.handle_chunk(now, sender, chunk, outputs),
            Message::End(end) => self.handle_end(now, sender, end, outputs),
            Message::Report(report) => self.members.observe(now, &sender.name, report),
            Message::Pull(since) => {
                let delta = Message::Delta(self.gossip.delta(since));
                outputs.push(Output::Send(sender.link.clone(), delta));
            }
            Message::Delta(delta) => {
                self.peer_answered = true;
                self.update_table(|gossip| gossip.merge(delta));
            }
            Message::PullHosts => {
                let hosts = Message::Hosts(self.hosts_revision, self.hosts.clone());
                outputs.push(Output::Send(sender.link.clone(), hosts));
            }
            Message::Hosts(revision, hosts) => self.update_hosts(revision, hosts, outputs),
            _ => {}
        }
    }

    /// Changes the table and makes heartbeats due to the agents of servers that it
    /// takes out of service or returns, so that they pull the new revision.
    fn update_table(&mut self, change: impl FnOnce(&mut Gossip) -> bool) {
        let before = self.members.out_of_service(self.gossip.table());
        if !change(&mut self.gossip) {
            return;
        }
        self.index = Index::new(self.gossip.table());
        let after = self.members.out_of_service(self.gossip.table());
        for server in before.symmetric_difference(&after) {
            self.members.expedite_heartbeat(server);
        }
    }

    fn update_hosts(&mut self, revision: u64, hosts: Vec<Host>, outputs: &mut Vec<Output>) {
        if revision <= self.hosts_revision {
            return;
        }
        self.hosts_revision = revision;
        let removed = self.members.update(&hosts);
        outputs.extend(removed.into_iter().map(Output::CloseLink));
        self.hosts = hosts;
    }

    /// The links of the other entries, from the host list and the options.
    fn peer_links(&self) -> Vec<Name> {
        let listed = self.hosts.iter().filter(|host| host.role == Role::Entry);
        let mut links: Vec<Name> = listed.map(|host| host.link.clone()).collect();
        links.extend(self.options.peers.iter().cloned());
        links.retain(|link| *link != self.options.link);
        links.sort();
        links.dedup();
        links
    }
}

/// Whether a request that failed for this reason must not be retried.
fn is_final(reason: Reason) -> bool {
    matches!(reason, Reason::Running | Reason::Mismatch | Reason::Unknown | Reason::Poison)
}
