//! Placement where all holders of an expert share its tokens evenly.

use serde::{Deserialize, Serialize};

/// Improvements tried in a set of layers before a plan is taken as it is.
const ROUNDS: usize = 160;

/// Improvement of the busiest rank below which a step isn't worth taking, as a
/// part of the mean load.
const LEAST_GAIN: f64 = 0.02;

/// Ranks that are tried as new holders, idlest first.
const TARGETS: usize = 16;

/// Which experts each rank holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Experts by set of layers, then rank, in rising order.
    pub sets: Vec<Vec<Vec<u16>>>,
}

/// What a change may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most experts of a set that a rank holds.
    pub places: usize,
    /// Most experts of a set that are new to a rank.
    pub fresh: usize,
}

impl Assignment {
    /// Experts dealt to the ranks in turn.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::dealt(2, 1, 4);
    /// assert_eq!(map.sets[0], vec![vec![0, 2], vec![1, 3]]);
    /// ```
    pub fn dealt(ranks: usize, sets: usize, experts: usize) -> Assignment {
        let rank = |rank| (rank..experts).step_by(ranks.max(1)).map(|expert| expert as u16);
        let set: Vec<Vec<u16>> = (0..ranks).map(|index| rank(index).collect()).collect();
        Assignment { sets: vec![set; sets] }
    }

    /// The load of the busiest rank, summed over the sets, against that of
    /// evenly spread tokens. 1 is the best possible.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::dealt(2, 1, 2);
    /// assert_eq!(map.skew(&[vec![3.0, 1.0]]), 1.5);
    /// ```
    pub fn skew(&self, demand: &[Vec<f64>]) -> f64 {
        let (mut slowest, mut mean) = (0.0, 0.0);
        for (set, tokens) in self.sets.iter().zip(demand) {
            let layer = Layer::new(set, tokens);
            slowest += layer.loads.iter().copied().fold(0.0, f64::max);
            mean += tokens.iter().sum::<f64>() / set.len().max(1) as f64;
        }
        if mean > 0.0 { slowest / mean } else { 1.0 }
    }

    /// A better assignment for the demand, by set and expert, within bounds.
    ///
    /// ```
    /// use group::placement::even::{Assignment, Bounds};
    /// let map = Assignment::dealt(2, 1, 2);
    /// let better = map.improved(&[vec![3.0, 1.0]], Bounds { places: 2, fresh: 1 });
    /// assert_eq!(better.skew(&[vec![3.0, 1.0]]), 1.25);
    /// ```
    pub fn improved(&self, demand: &[Vec<f64>], bounds: Bounds) -> Assignment {
        let sets = self.sets.iter().zip(demand).map(|(set, tokens)| {
            let mut layer = Layer::new(set, tokens);
            let mut used = vec![0; set.len()];
            for _ in 0..ROUNDS {
                let Some(step) = layer.best(&used, bounds) else { break };
                used[step.to] += 1;
                layer.apply(step);
            }
            layer.into_ranks()
        });
        Assignment { sets: sets.collect() }
    }
}

/// One set of layers with its loads.
struct Layer<'a> {
    tokens: &'a [f64],
    held: Vec<Vec<u16>>,
    copies: Vec<usize>,
    loads: Vec<f64>,
}

/// An expert gets a new holder.
#[derive(Clone, Copy, Debug)]
struct Step {
    expert: u16,
    to: usize,
    /// The rank that gives it up, if any.
    from: Option<usize>,
    /// The expert that the new holder gives up, if any.
    evicted: Option<u16>,
}

impl<'a> Layer<'a> {
    fn new(set: &[Vec<u16>], tokens: &'a [f64]) -> Layer<'a> {
        let mut copies = vec![0; tokens.len()];
        for expert in set.iter().flatten() {
            copies[usize::from(*expert)] += 1;
        }
        let mut layer = Layer { tokens, held: set.to_vec(), copies, loads: Vec::new() };
        layer.loads = (0..set.len()).map(|rank| layer.load(rank)).collect();
        layer
    }

    fn load(&self, rank: usize) -> f64 {
        self.held[rank].iter().map(|expert| self.share(*expert)).sum()
    }

    /// Tokens of an expert at each of its holders.
    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.tokens[expert] / self.copies[expert].max(1) as f64
    }

    /// The step that relieves the busiest rank most.
    fn best(&self, used: &[usize], bounds: Bounds) -> Option<Step> {
        let ranks = self.loads.len();
        let mut order: Vec<usize> = (0..ranks).collect();
        order.sort_by(|one, other| self.loads[*one].total_cmp(&self.loads[*other]));
        let busiest = *order.last()?;
        let mean = self.loads.iter().sum::<f64>() / ranks as f64;
        let mut chosen: Option<(f64, Step)> = None;
        for &expert in &self.held[busiest] {
            let open = order
                .iter()
                .filter(|rank| used[**rank] < bounds.fresh && !self.held[**rank].contains(&expert));
            for &to in open.take(TARGETS) {
                for step in self.steps(expert, busiest, to, bounds) {
                    let peak = self.peak_after(step, busiest);
                    if chosen.is_none_or(|(least, _)| peak < least) {
                        chosen = Some((peak, step));
                    }
                }
            }
        }
        let (peak, step) = chosen?;
        (peak + mean * LEAST_GAIN < self.loads[busiest]).then_some(step)
    }

    /// The ways in which `to` may take the expert.
    fn steps(&self, expert: u16, from: usize, to: usize, bounds: Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        for from in [None, Some(from)] {
            let step = Step { expert, to, from, evicted: None };
            if self.held[to].len() < bounds.places {
                steps.push(step);
                continue;
            }
            let spare = |other: &&u16| self.copies[usize::from(**other)] > 1;
            let evicted = self.held[to].iter().filter(spare);
            steps.extend(evicted.map(|other| Step { evicted: Some(*other), ..step }));
        }
        steps
    }

    /// The highest load among the ranks that a step touches.
    fn peak_after(&self, step: Step, busiest: usize) -> f64 {
        let expert = usize::from(step.expert);
        let before = self.share(step.expert);
        let copies = self.copies[expert] + 1 - usize::from(step.from.is_some());
        let after = self.tokens[expert] / copies.max(1) as f64;
        let (evicted, more) = step.evicted.map_or((None, 0.0), |other| {
            let share = self.share(other);
            let copies = (self.copies[usize::from(other)] - 1).max(1);
            (Some((other, share)), self.tokens[usize::from(other)] / copies as f64 - share)
        });
        let mut peak: f64 = 0.0;
        for (rank, load) in self.loads.iter().enumerate() {
            let mut load = *load;
            let holds = self.held[rank].contains(&step.expert);
            if rank == step.to {
                load += after - evicted.map_or(0.0, |(_, share)| share);
            } else if step.from == Some(rank) {
                load -= before;
            } else if holds {
                load += after - before;
            }
            if let Some((other, _)) = evicted
                && rank != step.to
                && self.held[rank].contains(&other)
            {
                load += more;
            }
            if rank == busiest || rank == step.to || holds || evicted.is_some() {
                peak = peak.max(load);
            }
        }
        peak
    }

    fn apply(&mut self, step: Step) {
        if let Some(evicted) = step.evicted {
            self.held[step.to].retain(|other| *other != evicted);
            self.copies[usize::from(evicted)] -= 1;
        }
        if let Some(from) = step.from {
            self.held[from].retain(|other| *other != step.expert);
            self.copies[usize::from(step.expert)] -= 1;
        }
        self.held[step.to].push(step.expert);
        self.copies[usize::from(step.expert)] += 1;
        self.loads = (0..self.held.len()).map(|rank| self.load(rank)).collect();
    }

    fn into_ranks(self) -> Vec<Vec<u16>> {
        let mut held = self.held;
        held.iter_mut().for_each(|experts| experts.sort_unstable());
        held
    }
}
