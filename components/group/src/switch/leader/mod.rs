//! Which orders follow from what all ranks report.

mod hold;
mod plan;
mod timing;
mod tuning;

pub use tuning::{Model, Tuning};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::placement::demand::Demand;
use crate::placement::even::Assignment;
use crate::switch::{NORMAL_SLOWNESS, Order, Report, Status};

/// Age at which a rank's status no longer counts.
const STATUS_LIFETIME: Duration = Duration::from_millis(1300);

/// Time before an order that shows no effect is sent again.
const REPEAT: Duration = Duration::from_millis(150);

/// The same for copying a map, which takes longer.
const REPEAT_PREPARE: Duration = Duration::from_millis(900);

/// Time after which a map that is not ready everywhere is given up. No rank is
/// armed or held before that, so giving up is harmless.
const PREPARE_LIMIT: Duration = Duration::from_secs(4);

/// Silence of an agent under a hold after which its rank is ordered directly,
/// and a change that is not decided yet is abandoned.
const DIRECT_AFTER: Duration = Duration::from_millis(500);

/// Shortest pass that is reckoned with, also while the group rests.
const PASS_MIN: Duration = Duration::from_millis(20);

/// What a pass is taken to last before any was seen.
const PASS_FIRST: Duration = Duration::from_millis(60);

/// Time over which the duration of a pass is taken.
const PACE_WINDOW: Duration = Duration::from_millis(500);

/// Bits of a version that tell apart the maps of different leaders.
const TAG_BITS: u32 = 16;

/// A map on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its version.
    pub version: u64,
    /// The map.
    pub map: Arc<Assignment>,
    /// Skew before and after, for the demand at the time.
    pub skew: (f64, f64),
    /// Most experts that one rank copies.
    pub copies: usize,
    begun: Duration,
    /// When the pass of the switch was last held.
    held: Option<Duration>,
    /// The rank that holds the group for this change.
    holder: Option<u32>,
    /// Passes at which the holder was told to hold, for this change alone.
    holds: Vec<u64>,
}

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have the agent beside a rank give an order.
    Order(u32, Order),
    /// Give an order to a rank without its agent.
    Direct(u32, Order),
    /// A new map was planned.
    Planned(Plan),
    /// A map is in use on all ranks.
    Done(u64),
    /// A map was given up before any rank was armed.
    Abandoned(u64),
    /// A hold is abandoned: a rank copies a version that is used nowhere, so
    /// that it can't be armed for the one that it has ready.
    Fenced(u32, u64),
}

struct Rank {
    status: Status,
    heard: Duration,
    /// When its agent was last heard, if ever: reports read from afar leave it.
    agent_heard: Option<Duration>,
    sent: Option<(Order, Duration)>,
}

/// A leader of one rank group.
pub struct Leader {
    tuning: Tuning,
    model: Model,
    tag: u64,
    own: u32,
    epoch: u64,
    ranks: BTreeMap<u32, Rank>,
    demand: Demand,
    /// Whether a better map was looked for in vain since the last readings.
    weighed: bool,
    plan: Option<Plan>,
    last_end: Duration,
    highest: u64,
    last_hold: u64,
    /// Versions that only keep a rank from being armed, by rank.
    fences: BTreeMap<u32, u64>,
    pass: Duration,
    paced: Option<(u64, Duration)>,
    /// Time between a hold and the last rank's arming, as it was lately.
    arming: Option<Duration>,
    /// Duration of a change besides copying, as it was lately.
    overhead: Option<Duration>,
}

impl Leader {
    /// A leader beside rank `own`. `tag` differs from that of other leaders.
    pub fn new(tuning: Tuning, model: Model, own: u32, tag: u64) -> Leader {
        Leader {
            tuning,
            model,
            tag: tag % (1 << TAG_BITS),
            own,
            epoch: 0,
            ranks: BTreeMap::new(),
            demand: Demand::new(model.sets, model.experts, tuning.half_life, tuning.window),
            weighed: false,
            plan: None,
            last_end: Duration::ZERO,
            highest: 0,
            last_hold: 0,
            fences: BTreeMap::new(),
            pass: PASS_FIRST,
            paced: None,
            arming: None,
            overhead: None,
        }
    }

    /// Takes in the status of a rank from its agent.
    pub fn handle_status(&mut self, now: Duration, status: Status) {
        self.take(now, status, true);
    }

    /// Takes in the status of a rank whose agent is silent.
    pub fn handle_direct_status(&mut self, now: Duration, status: Status) {
        self.take(now, status, false);
    }

    fn take(&mut self, now: Duration, status: Status, from_agent: bool) {
        let report = &status.report;
        if report.epoch < self.epoch {
            return;
        }
        if report.epoch > self.epoch {
            self.begin_epoch(report.epoch);
        }
        if self.ranks.is_empty() {
            // An earlier leader may have held passes up to here: its late
            // orders for them must not meet a hold of this leader.
            let most = self.arming_at_first(status.report.size as usize).as_secs_f64();
            let ahead = (most / PASS_MIN.as_secs_f64()) as u64 + 2;
            self.last_hold = self.last_hold.max(status.report.step + ahead);
        }
        self.note_versions(&status.report);
        if status.report.rank == self.own {
            self.note_pace(now, status.report.step);
        }
        if let Some(choices) = &status.demand {
            self.weighed &= !self.demand.observe(now, choices);
        }
        let rank = status.report.rank;
        self.weighed &=
            self.report(rank).is_some_and(|known| known.slowness == status.report.slowness);
        let experts = status.experts.is_none() && status.report.map == self.map_of(rank);
        let mut status = status;
        if experts {
            status.experts = self.ranks.get(&rank).and_then(|known| known.status.experts.clone());
        }
        let known = self.ranks.remove(&rank);
        let agent_heard =
            if from_agent { Some(now) } else { known.as_ref().and_then(|known| known.agent_heard) };
        let sent = known.and_then(|known| known.sent);
        self.ranks.insert(rank, Rank { status, heard: now, agent_heard, sent });
    }

    fn map_of(&self, rank: u32) -> u64 {
        self.report(rank).map_or(0, |report| report.map)
    }

    /// Learns how long a pass lasts from the passes of a longer time.
    fn note_pace(&mut self, now: Duration, step: u64) {
        let Some((from, at)) = self.paced else {
            self.paced = Some((step, now));
            return;
        };
        let passed = now.saturating_sub(at);
        if passed < PACE_WINDOW {
            return;
        }
        if step > from {
            self.pass = passed / (step - from).min(u64::from(u32::MAX)) as u32;
        }
        self.paced = Some((step, now));
    }

    fn note_versions(&mut self, report: &Report) {
        let armed = report.armed.map_or(0, |armed| armed.version);
        self.highest = self.highest.max(report.map).max(report.prepared).max(armed);
        self.last_hold = self.last_hold.max(report.held.unwrap_or_default());
    }

    /// The group formed anew: map 0, nothing prepared, armed or held.
    fn begin_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.ranks.clear();
        self.plan = None;
        self.last_hold = 0;
        self.fences.clear();
        self.paced = None;
    }

    /// Forgets the plan, since somebody else leads.
    pub fn step_down(&mut self) {
        self.plan = None;
        self.ranks.clear();
    }

    /// The epoch of the group.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The newest report of a rank.
    pub fn report(&self, rank: u32) -> Option<&Report> {
        self.ranks.get(&rank).map(|known| &known.status.report)
    }

    /// The newest reports of all ranks that were heard.
    fn reports(&self) -> impl Iterator<Item = &Report> {
        self.ranks.values().map(|known| &known.status.report)
    }

    /// Ranks that take longer than usual, with multiples of the usual time.
    pub fn slow(&self) -> Vec<(u32, f64)> {
        let slow = self.reports().filter(|report| report.slowness > NORMAL_SLOWNESS);
        slow.map(|report| (report.rank, report.slowdown())).collect()
    }

    /// Ranks of which nothing was heard for a while, or ever.
    pub fn unresponsive(&self, now: Duration) -> Vec<u32> {
        let quiet = |rank: &u32| {
            self.ranks.get(rank).is_none_or(|known| now > known.heard + STATUS_LIFETIME)
        };
        (0..self.size()).filter(quiet).collect()
    }

    /// Number of ranks, as the known ones report it; 0 if none is known.
    fn size(&self) -> u32 {
        self.reports().map(|report| report.size).max().unwrap_or(0)
    }

    /// Whether a change is under way.
    pub fn is_busy(&self) -> bool {
        self.plan.is_some()
    }

    /// What to do now.
    pub fn step(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.reports().all(|report| report.open) {
            return actions;
        }
        let held = self.held();
        if !held.is_empty() {
            for (rank, step) in held {
                self.settle(now, rank, step, &mut actions);
            }
            return actions;
        }
        let armed = self.reports().any(|report| report.armed.is_some());
        if self.is_complete() && self.unresponsive(now).is_empty() && !armed {
            self.advance(now, &mut actions);
        }
        actions
    }

    /// Whether something was heard of each rank.
    fn is_complete(&self) -> bool {
        !self.ranks.is_empty() && self.ranks.len() >= self.size() as usize
    }

    /// The ranks that hold the group, with the passes.
    fn held(&self) -> Vec<(u32, u64)> {
        self.reports().filter_map(|report| Some((report.rank, report.held?))).collect()
    }

    /// Nothing is held or armed: goes on with the plan, or makes one.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(plan) = &self.plan else {
            self.make_plan(now, actions);
            return;
        };
        let (version, begun) = (plan.version, plan.begun);
        if self.reports().all(|report| report.map == version) {
            self.note_overhead(now);
            self.end_plan(now);
            actions.push(Action::Done(version));
            return;
        }
        if self.reports().any(|report| report.map == version) {
            // The switch is under way; the other reports are older.
            return;
        }
        if self.reports().all(|report| report.prepared == version) {
            let step = self.reports().map(|report| report.step).max().unwrap_or_default();
            let ahead = self.lead(self.ranks.len(), self.pass.max(PASS_MIN));
            self.order_hold(now, (step + ahead).max(self.last_hold + 1), actions);
            return;
        }
        let overtaken = self.reports().any(|report| report.prepared > version);
        if overtaken || now > begun + PREPARE_LIMIT {
            self.end_plan(now);
            actions.push(Action::Abandoned(version));
            return;
        }
        self.order_copies(now, version, actions);
    }

    fn end_plan(&mut self, now: Duration) {
        self.plan = None;
        self.weighed = false;
        self.last_end = now;
    }

    /// Has the ranks copy the map of the plan that have not done so.
    fn order_copies(&mut self, now: Duration, version: u64, actions: &mut Vec<Action>) {
        let due = |rank: &&Rank| {
            let asked = rank.sent.as_ref().is_some_and(|(sent, at)| {
                matches!(sent, Order::Prepare { version: asked, .. } if *asked == version)
                    && now < *at + REPEAT_PREPARE
            });
            rank.status.report.prepared < version && !asked
        };
        let missing: Vec<u32> =
            self.ranks.values().filter(due).map(|rank| rank.status.report.rank).collect();
        let Some(map) = self.plan.as_ref().map(|plan| plan.map.clone()) else { return };
        for rank in missing {
            self.order(now, rank, Order::Prepare { version, map: map.clone() }, actions);
        }
    }

    /// Gives an order unless it was given a moment ago or shows its effect.
    /// While the group is held, ranks whose agents are silent get it directly,
    /// too.
    fn order(&mut self, now: Duration, rank: u32, order: Order, actions: &mut Vec<Action>) {
        let is_held = self.reports().any(|report| report.held.is_some());
        let Some(known) = self.ranks.get_mut(&rank) else { return };
        let copies = matches!(order, Order::Prepare { .. });
        let wait = if copies && !is_held { REPEAT_PREPARE } else { REPEAT };
        let repeated =
            known.sent.as_ref().is_some_and(|(sent, at)| *sent == order && now < *at + wait);
        if repeated || order.is_done(&known.status.report) {
            return;
        }
        known.sent = Some((order.clone(), now));
        let agent_silent = known.agent_heard.is_none_or(|heard| now > heard + DIRECT_AFTER);
        if is_held && agent_silent {
            actions.push(Action::Direct(rank, order.clone()));
        }
        actions.push(Action::Order(rank, order));
    }
}
