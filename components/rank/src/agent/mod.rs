//! The agent: polls its rank and reports to the leader, or leads the group itself.

mod lead;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use balance::content::Agent as Record;
use connection::Pool;
use group::placement::demand::Reading;
use group::switch::{Command, Leader, Message, Model, Order, Report, Status};
use tables::Name;
use tokio::sync::mpsc;
use wire::{Frame, Link};

use crate::election::Election;
use crate::settings::Settings;
use crate::{fanout, rank_client};

/// Time between two checks of the timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two reads of the rank's report outside of busy periods.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an order, or after a step of a leader that changes the map, during
/// which the report is read at each tick.
const BUSY_PERIOD: Duration = Duration::from_millis(1000);

/// Time after which an order without visible effect is sent again: the order or
/// its answer may be lost, or its execution delayed.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(120);

/// Time after which the agent stops repeating an order without visible effect and
/// leaves it to the leader.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two reads of the rank's expert choices.
const CHOICES_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two statuses to the leader while nothing changes.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// Status interval during a map change.
const STATUS_INTERVAL_CHANGING: Duration = Duration::from_millis(200);

/// Least time between two leadership claims to an agent that sends statuses.
const LEADING_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two slowness messages to the entries while a rank is slow.
const SLOWNESS_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two direct polls of ranks whose agents are unresponsive.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// An agent that runs beside a rank.
pub struct Agent {
    settings: Settings,
    started: Instant,
    pool: Rc<Pool>,
    link: Link,
    election: Election,
    registered: BTreeMap<Name, Record>,
    model: Option<Model>,
    leader: Option<Leader>,
    agent_links: BTreeMap<u32, Name>,
    /// Addresses of ranks, from their agents' statuses or from direct polls.
    rank_addresses: BTreeMap<u32, SocketAddr>,
    /// Time of the last leadership claim sent to each agent.
    leading_sent: BTreeMap<Name, Duration>,
    report: Option<Report>,
    /// Epoch, map version and the experts that the rank holds.
    holdings: Option<(u64, u64, Vec<Vec<u16>>)>,
    /// Choices per set and expert since the rank's start, at the last read.
    choice_counts: Option<Vec<Vec<u64>>>,
    /// Choices per set and expert since the last status.
    demand: Option<Vec<Vec<u32>>>,
    /// The last order, until a report shows its effect.
    pending: Option<Pending>,
    busy_until: Duration,
    timers: Timers,
    remote_reports: mpsc::UnboundedSender<(SocketAddr, Report)>,
    /// Version of the last map that was broadcast to the agents.
    broadcast_version: u64,
    /// Links of the entries that the store lists.
    entry_links: Vec<Name>,
    /// Slow ranks with their slowdown, as last sent to the entries.
    reported_slow: Vec<(u32, f64)>,
    is_leader: Rc<Cell<bool>>,
}

/// An order whose effect no report has shown yet.
struct Pending {
    epoch: u64,
    order: Order,
    received: Duration,
    last_sent: Duration,
}

/// Times at which the periodic tasks last ran.
#[derive(Debug, Default)]
struct Timers {
    report: Option<Duration>,
    choices: Option<Duration>,
    status: Option<Duration>,
    remote: Option<Duration>,
    slow: Option<Duration>,
}

/// Input of an agent.
pub enum Event {
    /// A frame from another agent.
    Frame(Frame),
    /// The agents that the store lists, and the model that the group serves.
    Listing(BTreeMap<Name, Record>, Option<Model>),
    /// Address and report of a rank whose agent is unresponsive.
    RemoteReport(SocketAddr, Report),
    /// Links of the entries that the store lists.
    Entries(Vec<Name>),
}

impl Agent {
    /// Creates an agent. Reports of ranks whose agents are unresponsive are sent to
    /// `remote_reports`; `is_leader` is set while this agent leads.
    pub fn new(
        settings: Settings,
        link: Link,
        remote_reports: mpsc::UnboundedSender<(SocketAddr, Report)>,
        is_leader: Rc<Cell<bool>>,
    ) -> Agent {
        Agent {
            election: Election::new(settings.name.clone()),
            settings,
            started: Instant::now(),
            pool: Rc::default(),
            link,
            registered: BTreeMap::new(),
            model: None,
            leader: None,
            agent_links: BTreeMap::new(),
            rank_addresses: BTreeMap::new(),
            leading_sent: BTreeMap::new(),
            report: None,
            holdings: None,
            choice_counts: None,
            demand: None,
            pending: None,
            busy_until: Duration::ZERO,
            timers: Timers::default(),
            remote_reports,
            broadcast_version: 0,
            entry_links: Vec::new(),
            reported_slow: Vec::new(),
            is_leader,
        }
    }

    /// Runs until the event channel closes.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut tick = actix_rt::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => self.tick().await,
                event = events.recv() => {
                    let Some(event) = event else { return };
                    self.handle(event).await;
                    // Drains the queue, so that the leader decides once for many
                    // reports.
                    while let Ok(event) = events.try_recv() {
                        self.handle(event).await;
                    }
                }
            }
            self.lead().await;
            self.link.flush(0);
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn tick(&mut self) {
        let now = self.now();
        let busy = now < self.busy_until;
        if busy || is_due(&mut self.timers.report, now, IDLE_REPORT_INTERVAL) {
            self.poll_report().await;
        }
        self.retry_order(now).await;
        if self.is_sampled() && is_due(&mut self.timers.choices, now, CHOICES_INTERVAL) {
            self.read_choices().await;
        }
        let changing = self.is_changing();
        let was_leader = self.election.is_leader();
        let to_probe = self.election.tick(now, changing);
        if self.election.is_leader() && !was_leader {
            log::info!(target: "leader", changing = changing;
                "became leader after a timeout of the previous leader");
        }
        for agent in to_probe {
            if let Some(status) = self.status(None) {
                self.send(&agent, Message::Status(self.settings.rank, Box::new(status)));
            }
        }
        let has_demand = self.demand.is_some() && !self.election.is_leader();
        let interval = if changing { STATUS_INTERVAL_CHANGING } else { STATUS_INTERVAL };
        if has_demand || is_due(&mut self.timers.status, now, interval) {
            self.send_status();
        }
        self.is_leader.set(self.election.is_leader());
        if self.election.is_leader() && is_due(&mut self.timers.remote, now, REMOTE_POLL_INTERVAL) {
            self.poll_unresponsive(now);
        }
        self.notify_entries(now);
    }

    /// Reads the rank's report, and sends a status to the leader if it changed.
    async fn poll_report(&mut self) {
        match rank_client::report(&self.pool, self.settings.rank).await {
            Ok(report) => self.apply_report(report).await,
            Err(error) => {
                if self.report.take().is_some() {
                    log::warn!(target: "rank", error:% = error; "rank lost");
                }
            }
        }
    }

    async fn apply_report(&mut self, report: Report) {
        let before = self.report.replace(report.clone());
        let current = self.holdings.as_ref().map(|(epoch, version, _)| (*epoch, *version));
        if current != Some((report.epoch, report.map)) {
            self.read_holdings(&report).await;
        }
        let changed = before.is_none_or(|before| Report { step: report.step, ..before } != report);
        if changed {
            log::info!(target: "rank", epoch = report.epoch, open = report.open,
                step = report.step, map = report.map, prepared = report.prepared,
                armed:? = report.armed, held:? = report.held, pace = report.slowdown();
                "rank changed");
            self.send_status();
        }
    }

    async fn read_holdings(&mut self, report: &Report) {
        match rank_client::holdings(&self.pool, self.settings.rank).await {
            Ok((version, experts)) if version == report.map => {
                self.holdings = Some((report.epoch, version, experts));
            }
            // The map changed between the two reads; retried with the next report.
            Ok(_) => self.holdings = None,
            Err(error) => {
                log::info!(target: "rank", error:% = error; "could not read holdings");
                self.holdings = None;
            }
        }
    }

    /// Returns whether this rank's expert choices are sampled.
    fn is_sampled(&self) -> bool {
        let (Some(report), Some(model)) = (&self.report, self.model) else { return false };
        let bytes = model.sets * model.experts;
        let sampled =
            fanout::sampled_ranks(bytes, self.settings.link_bytes_per_second(), CHOICES_INTERVAL);
        report.rank % report.size.div_ceil(sampled).max(1) == 0
    }

    /// Returns whether this rank takes part in a map change.
    fn is_changing(&self) -> bool {
        self.report.as_ref().is_some_and(|report| {
            report.prepared > 0 || report.armed.is_some() || report.held.is_some()
        })
    }

    async fn read_choices(&mut self) {
        let Some(model) = self.model else { return };
        let counts = match rank_client::choices(&self.pool, self.settings.rank, model.sets).await {
            Ok(counts) => counts,
            Err(error) => {
                log::info!(target: "rank", error:% = error; "could not read choices");
                return;
            }
        };
        let before = self.choice_counts.replace(counts.clone());
        let since = |set: usize, expert: usize, count: u64| {
            let before = before.as_ref().and_then(|sets| sets.get(set)?.get(expert).copied());
            // A restarted rank counts from zero.
            count.checked_sub(before.unwrap_or(count)).unwrap_or(count) as u32
        };
        let demand = self.demand.get_or_insert_with(Vec::new);
        demand.resize(counts.len(), Vec::new());
        for (set, counts) in counts.iter().enumerate() {
            demand[set].resize(counts.len(), 0);
            for (expert, count) in counts.iter().enumerate() {
                demand[set][expert] += since(set, expert, *count);
            }
        }
    }

    fn status(&self, demand: Option<Reading>) -> Option<Status> {
        let report = self.report.clone()?;
        let experts = self
            .holdings
            .as_ref()
            .filter(|(epoch, version, _)| (*epoch, *version) == (report.epoch, report.map));
        let experts = experts.map(|(_, _, experts)| experts.clone());
        Some(Status { report, experts, demand })
    }

    /// Sends the rank's status to the leader, or applies it if this agent leads.
    fn send_status(&mut self) {
        let demand = self.demand.take().map(|choices| Reading::new(&choices));
        let Some(status) = self.status(demand) else { return };
        self.timers.status = Some(self.now());
        if self.election.is_leader() {
            self.apply_status(status);
        } else if let Some(leader) = self.election.leader().cloned() {
            self.send(&leader, Message::Status(self.settings.rank, Box::new(status)));
        }
    }

    fn apply_status(&mut self, status: Status) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.handle_status(now, status);
        }
    }

    fn send(&mut self, agent: &str, message: Message) {
        let Some(record) = self.registered.get(agent) else { return };
        let link = record.link.clone();
        self.push(&link, message);
    }

    fn push(&mut self, link: &Name, message: Message) {
        if let Err(error) = self.link.push(link, wire::Message::Switch(message)) {
            log::warn!(target: "link", link:% = link, error:% = error; "link failed");
        }
    }

    async fn handle(&mut self, event: Event) {
        match event {
            Event::Frame(frame) => {
                for message in frame.messages {
                    if let wire::Message::Switch(message) = message {
                        self.handle_message(&frame.sender, message).await;
                    }
                }
            }
            Event::Listing(agents, model) => self.apply_listing(agents, model),
            Event::Entries(links) => self.entry_links = links,
            Event::RemoteReport(address, report) => {
                self.rank_addresses.insert(report.rank, address);
                let status = Status { report, experts: None, demand: None };
                let now = self.now();
                if let Some(leader) = &mut self.leader {
                    leader.handle_direct_status(now, status);
                }
            }
        }
    }

    async fn handle_message(&mut self, sender: &wire::Sender, message: Message) {
        let now = self.now();
        match message {
            Message::Status(address, status) => {
                if self.election.is_leader() {
                    self.rank_addresses.insert(status.report.rank, address);
                    self.agent_links.insert(status.report.rank, sender.link.clone());
                    let last_sent = self.leading_sent.insert(sender.name.clone(), now);
                    self.apply_status(*status);
                    if last_sent.is_none_or(|sent| now >= sent + LEADING_INTERVAL) {
                        self.push(&sender.link.clone(), Message::Leading);
                    } else if let Some(sent) = last_sent {
                        self.leading_sent.insert(sender.name.clone(), sent);
                    }
                }
            }
            Message::Leading => {
                let was_leader = self.election.is_leader();
                self.election.observe_leader(now, &sender.name);
                if was_leader && !self.election.is_leader() {
                    log::info!(target: "leader", leader:% = sender.name; "stepping down");
                    if let Some(leader) = &mut self.leader {
                        leader.step_down();
                    }
                }
            }
            Message::Command(command) => self.handle_command(&command).await,
            Message::Relay(command, links) => {
                let agents = links.len();
                for link in links {
                    self.push(&link, Message::Command(command.clone()));
                }
                // Relays before calling the own rank, so that the other agents don't
                // wait for that call.
                self.link.flush(0);
                log::info!(target: "order", leader:% = command.leader, epoch = command.epoch,
                    order:% = rank_client::describe(&command.order), agents = agents;
                    "order relayed");
                self.handle_command(&command).await;
            }
        }
    }

    async fn handle_command(&mut self, command: &Command) {
        if self.election.leader() == Some(&command.leader) {
            self.election.observe_leader(self.now(), &command.leader);
            self.execute(command.epoch, &command.order).await;
        } else {
            log::info!(target: "order", leader:% = command.leader,
                order:% = rank_client::describe(&command.order);
                "ignored order from an agent that is not the followed leader");
        }
    }

    async fn execute(&mut self, epoch: u64, order: &Order) {
        let now = self.now();
        self.pending = Some(Pending { epoch, order: order.clone(), received: now, last_sent: now });
        self.send_order(epoch, order).await;
    }

    /// Sends the last order again if no report shows its effect.
    async fn retry_order(&mut self, now: Duration) {
        let Some(pending) = &mut self.pending else { return };
        let is_pending = self
            .report
            .as_ref()
            .is_some_and(|report| report.epoch == pending.epoch && !pending.order.is_done(report));
        if !is_pending || now > pending.received + ORDER_TIMEOUT {
            self.pending = None;
            return;
        }
        if now >= pending.last_sent + ORDER_RETRY_INTERVAL {
            pending.last_sent = now;
            let (epoch, order) = (pending.epoch, pending.order.clone());
            self.send_order(epoch, &order).await;
        }
    }

    async fn send_order(&mut self, epoch: u64, order: &Order) {
        self.busy_until = self.now() + BUSY_PERIOD;
        match rank_client::execute_order(&self.pool, self.settings.rank, epoch, order).await {
            Ok(report) => {
                self.apply_report(report).await;
                self.send_status();
            }
            Err(error) => {
                log::info!(target: "order", order:% = rank_client::describe(order), error:% = error;
                    "could not read the report for an order");
            }
        }
    }

    fn apply_listing(&mut self, agents: BTreeMap<Name, Record>, model: Option<Model>) {
        let Some(group) = self.report.as_ref().map(|report| Name::from(report.group.as_str()))
        else {
            return;
        };
        self.registered = agents;
        self.registered.retain(|_, agent| agent.group == group);
        let now = self.now();
        let names = self.registered.keys().cloned().collect();
        let was_leader = self.election.is_leader();
        self.election.set_agents(now, names);
        if self.model != model {
            self.model = model;
            if let (Some(leader), Some(model)) = (&mut self.leader, model) {
                leader.change_model(model);
            }
        }
        if was_leader != self.election.is_leader() {
            log::info!(target: "leader", leads = self.election.is_leader(); "leadership changed");
        }
    }
}

/// Returns whether a periodic task is due. If so, sets its last run to `now`.
fn is_due(last: &mut Option<Duration>, now: Duration, interval: Duration) -> bool {
    let due = last.is_none_or(|last| now >= last + interval);
    if due {
        *last = Some(now);
    }
    due
}
