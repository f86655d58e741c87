//! Leader that derives orders from the reports of all ranks.

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

/// Age at which the status of a rank is stale.
const STATUS_LIFETIME: Duration = Duration::from_millis(1300);

/// Time before an order without visible effect is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Like [`RESEND_INTERVAL`], for `Prepare`: copying experts takes longer.
const PREPARE_RESEND_INTERVAL: Duration = Duration::from_millis(900);

/// Time after which a map that is not ready on all ranks is abandoned. No pass is
/// held and no rank armed before all are ready, so this is safe.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without a status from an agent, during a hold, after which its rank gets
/// orders directly and a change whose holder is not armed is abandoned.
const AGENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Lower bound of the pass duration in estimates, also for an idle group.
const MIN_PASS_DURATION: Duration = Duration::from_millis(20);

/// Assumed pass duration until one was measured.
const INITIAL_PASS_DURATION: Duration = Duration::from_millis(60);

/// Minimum time over which the pass duration is averaged.
const PASS_SAMPLE_TIME: Duration = Duration::from_millis(500);

/// Low bits of a version that identify the leader that assigned it.
const TAG_BITS: u32 = 16;

/// A planned change to a new map.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Version of the map.
    pub version: u64,
    /// The map.
    pub map: Arc<Assignment>,
    /// Skew before and after the change, for the demand at the time of planning.
    pub skew: (f64, f64),
    /// Largest number of experts that one rank copies.
    pub copies: usize,
    started: Duration,
    /// When a hold was last ordered for this change.
    held_at: Option<Duration>,
    /// The rank that holds the group for this change.
    holder: Option<u32>,
    /// Passes that the holder was ordered to hold, all for this change.
    held_steps: Vec<u64>,
}

/// An action that a leader requests, or an event that it reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to a rank through its agent.
    Order(u32, Order),
    /// Send an order directly to a rank.
    Direct(u32, Order),
    /// A new map was planned.
    Planned(Plan),
    /// The map of this version is in use on all ranks.
    Done(u64),
    /// The map of this version was abandoned before any rank was armed.
    Abandoned(u64),
    /// A change is abandoned: the rank prepares a version that is never switched
    /// to, so that it can't be armed for the version that it has ready.
    Fenced(u32, u64),
}

struct Rank {
    status: Status,
    updated_at: Duration,
    /// When the agent last sent a status, if ever; direct reports don't count.
    agent_updated_at: Option<Duration>,
    last_order: Option<(Order, Duration)>,
}

/// Leader of one rank group.
pub struct Leader {
    tuning: Tuning,
    model: Model,
    tag: u64,
    own_rank: u32,
    epoch: u64,
    ranks: BTreeMap<u32, Rank>,
    demand: Demand,
    /// Whether a plan was already attempted with the current demand and slowness.
    evaluated: bool,
    plan: Option<Plan>,
    last_change_end: Duration,
    highest_version: u64,
    last_held_step: u64,
    /// Versions that serve only to prevent a rank from being armed, by rank.
    fences: BTreeMap<u32, u64>,
    pass_duration: Duration,
    pass_sample: Option<(u64, Duration)>,
    /// Moving average of the time from a hold until all ranks are armed.
    arming_time: Option<Duration>,
    /// Moving average of the duration of a change without copying.
    overhead: Option<Duration>,
}

impl Leader {
    /// Creates a leader on the host of `own_rank`. `tag` must differ from the tags of
    /// other leaders.
    pub fn new(tuning: Tuning, model: Model, own_rank: u32, tag: u64) -> Leader {
        Leader {
            tuning,
            model,
            tag: tag % (1 << TAG_BITS),
            own_rank,
            epoch: 0,
            ranks: BTreeMap::new(),
            demand: Demand::new(model.sets, model.experts, tuning.half_life, tuning.window),
            evaluated: false,
            plan: None,
            last_change_end: Duration::ZERO,
            highest_version: 0,
            last_held_step: 0,
            fences: BTreeMap::new(),
            pass_duration: INITIAL_PASS_DURATION,
            pass_sample: None,
            arming_time: None,
            overhead: None,
        }
    }

    /// Applies the status of a rank sent by its agent.
    pub fn handle_status(&mut self, now: Duration, status: Status) {
        self.apply_status(now, status, true);
    }

    /// Applies the status of a rank that was read directly because its agent is
    /// unresponsive.
    pub fn handle_direct_status(&mut self, now: Duration, status: Status) {
        self.apply_status(now, status, false);
    }

    fn apply_status(&mut self, now: Duration, status: Status, from_agent: bool) {
        let report = &status.report;
        if report.epoch < self.epoch {
            return;
        }
        if report.epoch > self.epoch {
            self.start_epoch(report.epoch);
        }
        if self.ranks.is_empty() {
            // An earlier leader may have ordered holds up to this pass. Holding
            // only later passes keeps its delayed orders from affecting them.
            let longest = self.initial_arming_time(status.report.size as usize).as_secs_f64();
            let ahead = (longest / MIN_PASS_DURATION.as_secs_f64()) as u64 + 2;
            self.last_held_step = self.last_held_step.max(status.report.step + ahead);
        }
        self.record_versions(&status.report);
        if status.report.rank == self.own_rank {
            self.record_pass_duration(now, status.report.step);
        }
        if let Some(choices) = &status.demand {
            self.evaluated &= !self.demand.observe(now, choices);
        }
        let rank = status.report.rank;
        self.evaluated &=
            self.report(rank).is_some_and(|known| known.slowness == status.report.slowness);
        let reuse_experts = status.experts.is_none() && status.report.map == self.map_of(rank);
        let mut status = status;
        if reuse_experts {
            status.experts = self.ranks.get(&rank).and_then(|known| known.status.experts.clone());
        }
        let known = self.ranks.remove(&rank);
        let agent_updated_at = if from_agent {
            Some(now)
        } else {
            known.as_ref().and_then(|known| known.agent_updated_at)
        };
        let last_order = known.and_then(|known| known.last_order);
        self.ranks.insert(rank, Rank { status, updated_at: now, agent_updated_at, last_order });
    }

    fn map_of(&self, rank: u32) -> u64 {
        self.report(rank).map_or(0, |report| report.map)
    }

    /// Measures the pass duration as the mean over at least [`PASS_SAMPLE_TIME`].
    fn record_pass_duration(&mut self, now: Duration, step: u64) {
        let Some((first, at)) = self.pass_sample else {
            self.pass_sample = Some((step, now));
            return;
        };
        let elapsed = now.saturating_sub(at);
        if elapsed < PASS_SAMPLE_TIME {
            return;
        }
        if step > first {
            self.pass_duration = elapsed / (step - first).min(u64::from(u32::MAX)) as u32;
        }
        self.pass_sample = Some((step, now));
    }

    fn record_versions(&mut self, report: &Report) {
        let armed = report.armed.map_or(0, |armed| armed.version);
        self.highest_version = self.highest_version.max(report.map).max(report.prepared).max(armed);
        self.last_held_step = self.last_held_step.max(report.held.unwrap_or_default());
    }

    /// Resets the state when the group has formed again: all ranks use map 0, and
    /// nothing is prepared, armed or held.
    fn start_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.ranks.clear();
        self.plan = None;
        self.last_held_step = 0;
        self.fences.clear();
        self.pass_sample = None;
    }

    /// Replaces the model after a change of the configuration. The plan and the demand are
    /// for the old one and are discarded; versions and passes that were assigned stay used,
    /// since orders that carry them may still be executed.
    pub fn change_model(&mut self, model: Model) {
        self.model = model;
        self.demand =
            Demand::new(model.sets, model.experts, self.tuning.half_life, self.tuning.window);
        self.evaluated = false;
        self.plan = None;
        self.overhead = None;
    }

    /// Discards the plan and all reports because another agent leads.
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

    /// The newest reports of all known ranks.
    fn reports(&self) -> impl Iterator<Item = &Report> {
        self.ranks.values().map(|known| &known.status.report)
    }

    /// Ranks that are slower than normal, with their slowdown.
    pub fn slow(&self) -> Vec<(u32, f64)> {
        let slow = self.reports().filter(|report| report.slowness > NORMAL_SLOWNESS);
        slow.map(|report| (report.rank, report.slowdown())).collect()
    }

    /// Ranks whose status is stale or was never received.
    pub fn unresponsive(&self, now: Duration) -> Vec<u32> {
        let unresponsive = |rank: &u32| {
            self.ranks.get(rank).is_none_or(|known| now > known.updated_at + STATUS_LIFETIME)
        };
        (0..self.size()).filter(unresponsive).collect()
    }

    /// Number of ranks according to the known reports; 0 if there are none.
    fn size(&self) -> u32 {
        self.reports().map(|report| report.size).max().unwrap_or(0)
    }

    /// Whether a change is in progress.
    pub fn is_busy(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns the actions that are due.
    pub fn step(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.reports().all(|report| report.open) {
            return actions;
        }
        let held = self.held();
        if !held.is_empty() {
            for (rank, step) in held {
                self.resolve_hold(now, rank, step, &mut actions);
            }
            return actions;
        }
        let armed = self.reports().any(|report| report.armed.is_some());
        if self.has_all_ranks() && self.unresponsive(now).is_empty() && !armed {
            self.advance(now, &mut actions);
        }
        actions
    }

    /// Whether a status of each rank is known.
    fn has_all_ranks(&self) -> bool {
        !self.ranks.is_empty() && self.ranks.len() >= self.size() as usize
    }

    /// Ranks that hold a pass, with the pass.
    fn held(&self) -> Vec<(u32, u64)> {
        self.reports().filter_map(|report| Some((report.rank, report.held?))).collect()
    }

    /// Continues the planned change, or plans one. Requires that nothing is held or
    /// armed.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(plan) = &self.plan else {
            self.plan_change(now, actions);
            return;
        };
        let (version, started) = (plan.version, plan.started);
        if self.reports().all(|report| report.map == version) {
            self.record_overhead(now);
            self.end_change(now);
            actions.push(Action::Done(version));
            return;
        }
        if self.reports().any(|report| report.map == version) {
            // All ranks switched at the same pass; the other reports are older.
            return;
        }
        if self.reports().all(|report| report.prepared == version) {
            let step = self.reports().map(|report| report.step).max().unwrap_or_default();
            let ahead =
                self.passes_ahead(self.ranks.len(), self.pass_duration.max(MIN_PASS_DURATION));
            self.order_hold(now, (step + ahead).max(self.last_held_step + 1), actions);
            return;
        }
        let superseded = self.reports().any(|report| report.prepared > version);
        if superseded || now > started + PREPARE_TIMEOUT {
            self.end_change(now);
            actions.push(Action::Abandoned(version));
            return;
        }
        self.order_prepare(now, version, actions);
    }

    fn end_change(&mut self, now: Duration) {
        self.plan = None;
        self.evaluated = false;
        self.last_change_end = now;
    }

    /// Orders the ranks that have not prepared the planned map to do so.
    fn order_prepare(&mut self, now: Duration, version: u64, actions: &mut Vec<Action>) {
        let due = |rank: &&Rank| {
            let recently_sent = rank.last_order.as_ref().is_some_and(|(last_order, at)| {
                matches!(last_order, Order::Prepare { version: ordered, .. } if *ordered == version)
                    && now < *at + PREPARE_RESEND_INTERVAL
            });
            rank.status.report.prepared < version && !recently_sent
        };
        let unprepared: Vec<u32> =
            self.ranks.values().filter(due).map(|rank| rank.status.report.rank).collect();
        let Some(map) = self.plan.as_ref().map(|plan| plan.map.clone()) else { return };
        for rank in unprepared {
            self.send_order(now, rank, Order::Prepare { version, map: map.clone() }, actions);
        }
    }

    /// Sends an order unless it was sent recently or has taken effect. During a
    /// hold, ranks whose agents are unresponsive get it directly as well.
    fn send_order(&mut self, now: Duration, rank: u32, order: Order, actions: &mut Vec<Action>) {
        let is_held = self.reports().any(|report| report.held.is_some());
        let Some(known) = self.ranks.get_mut(&rank) else { return };
        let is_prepare = matches!(order, Order::Prepare { .. });
        let interval =
            if is_prepare && !is_held { PREPARE_RESEND_INTERVAL } else { RESEND_INTERVAL };
        let recently_sent = known
            .last_order
            .as_ref()
            .is_some_and(|(last_order, at)| *last_order == order && now < *at + interval);
        if recently_sent || order.is_done(&known.status.report) {
            return;
        }
        known.last_order = Some((order.clone(), now));
        let agent_unresponsive =
            known.agent_updated_at.is_none_or(|updated_at| now > updated_at + AGENT_TIMEOUT);
        if is_held && agent_unresponsive {
            actions.push(Action::Direct(rank, order.clone()));
        }
        actions.push(Action::Order(rank, order));
    }
}
