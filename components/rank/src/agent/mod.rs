//! The agent: polls its rank, follows or leads.

mod lead;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use balance::content::Agent as Described;
use connection::Pool;
use group::placement::demand::Reading;
use group::switch::{Command, Leader, Message, Model, Order, Report, Status};
use tables::Name;
use tokio::sync::mpsc;
use wire::{Frame, Link};

use crate::election::Follow;
use crate::settings::Settings;
use crate::{fanout, rank_client};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Time between two reports of the rank while nothing changes.
const REPORT_IDLE: Duration = Duration::from_millis(100);

/// Time after an order in which reports are read at each tick.
const BUSY: Duration = Duration::from_millis(1000);

/// Time after which an order without effect is given again: its answer or the
/// order itself was lost, or it is carried out too late.
const GIVE_AGAIN: Duration = Duration::from_millis(120);

/// Time after which an order without effect is left to the leader.
const GIVE_UP: Duration = Duration::from_secs(2);

/// Time between two readings of how experts were chosen.
const CHOICES: Duration = Duration::from_millis(200);

/// Time between two accounts to the leader while nothing changes.
const STATUS: Duration = Duration::from_millis(400);

/// The same while a change of the map is under way.
const STATUS_CHANGING: Duration = Duration::from_millis(200);

/// Time between two words of the leader to an agent that sends its status.
const LEADING: Duration = Duration::from_millis(150);

/// Time between two words to the entries while a rank is slow.
const SLOW: Duration = Duration::from_millis(400);

/// Time between two questions to a rank whose agent is silent.
const REMOTE: Duration = Duration::from_millis(500);

/// An agent beside a rank.
pub struct Agent {
    settings: Settings,
    started: Instant,
    pool: Rc<Pool>,
    link: Link,
    follow: Follow,
    described: BTreeMap<Name, Described>,
    model: Option<Model>,
    leader: Option<Leader>,
    links: BTreeMap<u32, Name>,
    /// Addresses of ranks, as they or their agents told.
    ranks: BTreeMap<u32, SocketAddr>,
    heard: BTreeMap<Name, Duration>,
    report: Option<Report>,
    experts: Option<(u64, u64, Vec<Vec<u16>>)>,
    counts: Option<Vec<Vec<u64>>>,
    demand: Option<Vec<Vec<u32>>>,
    /// The last order, until a report shows its effect.
    pending: Option<Pending>,
    busy_until: Duration,
    due: Due,
    remote: mpsc::UnboundedSender<(SocketAddr, Report)>,
    /// The newest map that was sent to all agents at once.
    spread: u64,
    /// Links of the entries, as the store names them.
    entries: Vec<Name>,
    /// Slow ranks that the entries were told of last.
    told: Vec<(u32, f64)>,
    leads: Rc<Cell<bool>>,
}

/// An order whose effect has not shown yet.
struct Pending {
    epoch: u64,
    order: Order,
    begun: Duration,
    given: Duration,
}

/// When things were last done.
#[derive(Debug, Default)]
struct Due {
    report: Option<Duration>,
    choices: Option<Duration>,
    status: Option<Duration>,
    remote: Option<Duration>,
    slow: Option<Duration>,
}

/// What others tell an agent.
pub enum Event {
    /// A frame of another agent.
    Frame(Frame),
    /// The agents that the store names, and the model that the group serves.
    Known(BTreeMap<Name, Described>, Option<Model>),
    /// Address and report of a rank whose agent is silent.
    Remote(SocketAddr, Report),
    /// Links of the entries that the store names.
    Entries(Vec<Name>),
}

impl Agent {
    /// An agent that knows nothing yet. Remote reports go to `remote`; `leads`
    /// says whether it leads.
    pub fn new(
        settings: Settings,
        link: Link,
        remote: mpsc::UnboundedSender<(SocketAddr, Report)>,
        leads: Rc<Cell<bool>>,
    ) -> Agent {
        Agent {
            follow: Follow::new(settings.name.clone()),
            settings,
            started: Instant::now(),
            pool: Rc::default(),
            link,
            described: BTreeMap::new(),
            model: None,
            leader: None,
            links: BTreeMap::new(),
            ranks: BTreeMap::new(),
            heard: BTreeMap::new(),
            report: None,
            experts: None,
            counts: None,
            demand: None,
            pending: None,
            busy_until: Duration::ZERO,
            due: Due::default(),
            remote,
            spread: 0,
            entries: Vec::new(),
            told: Vec::new(),
            leads,
        }
    }

    /// Works until the events end.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut tick = actix_rt::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => self.tick().await,
                event = events.recv() => {
                    let Some(event) = event else { return };
                    self.take(event).await;
                    // All that is there first: one decision for many reports.
                    while let Ok(event) = events.try_recv() {
                        self.take(event).await;
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
        if busy || is_due(&mut self.due.report, now, REPORT_IDLE) {
            self.refresh().await;
        }
        self.give_again(now).await;
        if self.is_sampled() && is_due(&mut self.due.choices, now, CHOICES) {
            self.read_choices().await;
        }
        let changing = self.is_changing();
        let led = self.follow.leads();
        let earlier = self.follow.tick(now, changing);
        if self.follow.leads() && !led {
            log::info!(target: "leader", changing = changing; "leading, the one before is silent");
        }
        for earlier in earlier {
            if let Some(status) = self.status(None) {
                self.send(&earlier, Message::Status(self.settings.rank, Box::new(status)));
            }
        }
        let fresh = self.demand.is_some() && !self.follow.leads();
        let interval = if changing { STATUS_CHANGING } else { STATUS };
        if fresh || is_due(&mut self.due.status, now, interval) {
            self.tell();
        }
        self.leads.set(self.follow.leads());
        if self.follow.leads() && is_due(&mut self.due.remote, now, REMOTE) {
            self.ask_silent(now);
        }
        self.tell_entries(now);
    }

    /// Reads the rank's report, and tells the leader if it changed.
    async fn refresh(&mut self) {
        match rank_client::report(&self.pool, self.settings.rank).await {
            Ok(report) => self.note(report).await,
            Err(error) => {
                if self.report.take().is_some() {
                    log::warn!(target: "rank", error:% = error; "rank lost");
                }
            }
        }
    }

    async fn note(&mut self, report: Report) {
        let before = self.report.replace(report.clone());
        let known = self.experts.as_ref().map(|(epoch, version, _)| (*epoch, *version));
        if known != Some((report.epoch, report.map)) {
            self.read_holdings(&report).await;
        }
        let moved = before.is_none_or(|before| Report { step: report.step, ..before } != report);
        if moved {
            log::info!(target: "rank", epoch = report.epoch, open = report.open,
                step = report.step, map = report.map, prepared = report.prepared,
                armed:? = report.armed, held:? = report.held, pace = report.slowdown();
                "rank changed");
            self.tell();
        }
    }

    async fn read_holdings(&mut self, report: &Report) {
        match rank_client::holdings(&self.pool, self.settings.rank).await {
            Ok((version, experts)) if version == report.map => {
                self.experts = Some((report.epoch, version, experts));
            }
            // The map changed between the two answers; the next report tells.
            Ok(_) => self.experts = None,
            Err(error) => {
                log::info!(target: "rank", error:% = error; "holdings not read");
                self.experts = None;
            }
        }
    }

    /// Whether the choices of this rank's requests are read.
    fn is_sampled(&self) -> bool {
        let (Some(report), Some(model)) = (&self.report, self.model) else { return false };
        let bytes = model.sets * model.experts;
        let sampled = fanout::sampled(bytes, self.settings.link_rate(), CHOICES);
        report.rank % report.size.div_ceil(sampled).max(1) == 0
    }

    /// Whether a change of the map is under way at this rank.
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
                log::info!(target: "rank", error:% = error; "choices not read");
                return;
            }
        };
        let before = self.counts.replace(counts.clone());
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
            .experts
            .as_ref()
            .filter(|(epoch, version, _)| (*epoch, *version) == (report.epoch, report.map));
        let experts = experts.map(|(_, _, experts)| experts.clone());
        Some(Status { report, experts, demand })
    }

    /// Tells the leader how the rank is, or takes it in if this agent leads.
    fn tell(&mut self) {
        let demand = self.demand.take().map(|choices| Reading::new(&choices));
        let Some(status) = self.status(demand) else { return };
        self.due.status = Some(self.now());
        if self.follow.leads() {
            self.hear_status(status);
        } else if let Some(leader) = self.follow.leader().cloned() {
            self.send(&leader, Message::Status(self.settings.rank, Box::new(status)));
        }
    }

    fn hear_status(&mut self, status: Status) {
        let now = self.now();
        if let Some(leader) = &mut self.leader {
            leader.handle_status(now, status);
        }
    }

    fn send(&mut self, agent: &str, message: Message) {
        let Some(described) = self.described.get(agent) else { return };
        let link = described.link.clone();
        self.push(&link, message);
    }

    fn push(&mut self, link: &Name, message: Message) {
        if let Err(error) = self.link.push(link, wire::Message::Switch(message)) {
            log::warn!(target: "link", link:% = link, error:% = error; "link failed");
        }
    }

    async fn take(&mut self, event: Event) {
        match event {
            Event::Frame(frame) => {
                for message in frame.messages {
                    if let wire::Message::Switch(message) = message {
                        self.take_message(&frame.sender, message).await;
                    }
                }
            }
            Event::Known(agents, model) => self.take_known(agents, model),
            Event::Entries(links) => self.entries = links,
            Event::Remote(address, report) => {
                self.ranks.insert(report.rank, address);
                let status = Status { report, experts: None, demand: None };
                let now = self.now();
                if let Some(leader) = &mut self.leader {
                    leader.handle_direct_status(now, status);
                }
            }
        }
    }

    async fn take_message(&mut self, sender: &wire::Sender, message: Message) {
        let now = self.now();
        match message {
            Message::Status(address, status) => {
                if self.follow.leads() {
                    self.ranks.insert(status.report.rank, address);
                    self.links.insert(status.report.rank, sender.link.clone());
                    let heard = self.heard.insert(sender.name.clone(), now);
                    self.hear_status(*status);
                    if heard.is_none_or(|heard| now >= heard + LEADING) {
                        self.push(&sender.link.clone(), Message::Leading);
                    } else if let Some(heard) = heard {
                        self.heard.insert(sender.name.clone(), heard);
                    }
                }
            }
            Message::Leading => {
                let led = self.follow.leads();
                self.follow.hear(now, &sender.name);
                if led && !self.follow.leads() {
                    log::info!(target: "leader", leader:% = sender.name; "stepping down");
                    if let Some(leader) = &mut self.leader {
                        leader.step_down();
                    }
                }
            }
            Message::Command(command) => self.take_command(&command).await,
            Message::Relay(command, links) => {
                let agents = links.len();
                for link in links {
                    self.push(&link, Message::Command(command.clone()));
                }
                // What the others wait for goes first.
                self.link.flush(0);
                log::info!(target: "order", leader:% = command.leader, epoch = command.epoch,
                    order:% = rank_client::name(&command.order), agents = agents; "order passed on");
                self.take_command(&command).await;
            }
        }
    }

    async fn take_command(&mut self, command: &Command) {
        if self.follow.leader() == Some(&command.leader) {
            self.follow.hear(self.now(), &command.leader);
            self.carry_out(command.epoch, &command.order).await;
        } else {
            log::info!(target: "order", leader:% = command.leader,
                order:% = rank_client::name(&command.order); "order of another leader ignored");
        }
    }

    async fn carry_out(&mut self, epoch: u64, order: &Order) {
        let now = self.now();
        self.pending = Some(Pending { epoch, order: order.clone(), begun: now, given: now });
        self.give(epoch, order).await;
    }

    /// Gives the last order again if no report shows its effect.
    async fn give_again(&mut self, now: Duration) {
        let Some(pending) = &mut self.pending else { return };
        let open = self
            .report
            .as_ref()
            .is_some_and(|report| report.epoch == pending.epoch && !pending.order.is_done(report));
        if !open || now > pending.begun + GIVE_UP {
            self.pending = None;
            return;
        }
        if now >= pending.given + GIVE_AGAIN {
            pending.given = now;
            let (epoch, order) = (pending.epoch, pending.order.clone());
            self.give(epoch, &order).await;
        }
    }

    async fn give(&mut self, epoch: u64, order: &Order) {
        self.busy_until = self.now() + BUSY;
        match rank_client::give(&self.pool, self.settings.rank, epoch, order).await {
            Ok(report) => {
                self.note(report).await;
                self.tell();
            }
            Err(error) => {
                log::info!(target: "order", order:% = rank_client::name(order), error:% = error;
                    "no report after an order");
            }
        }
    }

    fn take_known(&mut self, agents: BTreeMap<Name, Described>, model: Option<Model>) {
        let Some(group) = self.report.as_ref().map(|report| Name::from(report.group.as_str()))
        else {
            return;
        };
        self.described = agents;
        self.described.retain(|_, agent| agent.group == group);
        let now = self.now();
        let names = self.described.keys().cloned().collect();
        let led = self.follow.leads();
        self.follow.set_agents(now, names);
        if self.model != model {
            self.model = model;
            self.leader = None;
        }
        if led != self.follow.leads() {
            log::info!(target: "leader", leads = self.follow.leads(); "leadership changed");
        }
    }
}

/// Whether something is due, noting that it is done now.
fn is_due(last: &mut Option<Duration>, now: Duration, interval: Duration) -> bool {
    let due = last.is_none_or(|last| now >= last + interval);
    if due {
        *last = Some(now);
    }
    due
}
