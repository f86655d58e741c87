//! Placement in which all ranks that hold an expert share its tokens evenly.

use serde::{Deserialize, Serialize};

/// Upper limit of steps per set of layers, on average, in one improvement.
const MAX_STEPS_PER_SET: usize = 160;

/// Number of least loaded ranks that are considered as new holders of an expert.
const MAX_TARGETS: usize = 16;

/// Assignment of experts to ranks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Experts by set of layers, then rank, in ascending order.
    pub sets: Vec<Vec<Vec<u16>>>,
}

/// Limits of a change of the assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum number of experts of a set that a rank holds.
    pub places: usize,
    /// Maximum number of experts of a set that are new to a rank.
    pub fresh: usize,
    /// Maximum number of experts that are new to a rank, over all sets. A rank
    /// copies them one after the other.
    pub copies: usize,
    /// Minimum reduction of the highest load that justifies a step, as a fraction
    /// of the mean load.
    pub gain: f64,
}

impl Assignment {
    /// Assigns experts to ranks round robin, one holder each.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::round_robin(2, 1, 4);
    /// assert_eq!(map.sets[0], vec![vec![0, 2], vec![1, 3]]);
    /// ```
    pub fn round_robin(ranks: usize, sets: usize, experts: usize) -> Assignment {
        let all: Vec<usize> = (0..ranks).collect();
        Assignment { sets: vec![assign_round_robin(ranks, &all, 0..experts as u16); sets] }
    }

    /// Creates an assignment in which `rank` keeps the experts in `held`, given by
    /// set of layers; the others are assigned to the other ranks round robin.
    ///
    /// ```
    /// use group::placement::even::Assignment;
    /// let map = Assignment::with_fixed_rank(1, &[vec![0, 3]], 3, 6);
    /// assert_eq!(map.sets[0], vec![vec![1, 4], vec![0, 3], vec![2, 5]]);
    /// ```
    pub fn with_fixed_rank(
        rank: usize,
        held: &[Vec<u16>],
        ranks: usize,
        experts: usize,
    ) -> Assignment {
        let others: Vec<usize> = (0..ranks).filter(|other| *other != rank).collect();
        let set = |held: &Vec<u16>| {
            let rest = (0..experts as u16).filter(|expert| !held.contains(expert));
            let mut set = assign_round_robin(ranks, &others, rest);
            set[rank].clone_from(held);
            set
        };
        Assignment { sets: held.iter().map(set).collect() }
    }

    /// Load of the busiest rank, summed over the sets, relative to evenly
    /// distributed tokens. The optimum is 1.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::round_robin(2, 1, 2);
    /// assert_eq!(map.skew(&[vec![3.0, 1.0]]), 1.5);
    /// ```
    pub fn skew(&self, demand: &[Vec<f64>]) -> f64 {
        self.skew_with_slowdowns(demand, &[])
    }

    /// Like [`Assignment::skew`], with the load of each rank multiplied by its
    /// slowdown. Ranks beyond the end of the list have a slowdown of 1.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::round_robin(2, 1, 2);
    /// assert_eq!(map.skew_with_slowdowns(&[vec![1.0, 1.0]], &[1.0, 4.0]), 4.0);
    /// ```
    pub fn skew_with_slowdowns(&self, demand: &[Vec<f64>], slowdowns: &[f64]) -> f64 {
        let (mut slowest, mut mean) = (0.0, 0.0);
        for (set, tokens) in self.sets.iter().zip(demand) {
            let layer = Layer::new(set, tokens, slowdowns);
            slowest += layer.loads.iter().copied().fold(0.0, f64::max);
            mean += tokens.iter().sum::<f64>() / set.len().max(1) as f64;
        }
        if mean > 0.0 { slowest / mean } else { 1.0 }
    }

    /// Improves the assignment for the demand, given by set of layers and expert,
    /// within the bounds.
    ///
    /// ```
    /// use group::placement::even::{Assignment, Bounds};
    /// let map = Assignment::round_robin(2, 1, 2);
    /// let bounds = Bounds { places: 2, fresh: 1, copies: 1, gain: 0.01 };
    /// let better = map.improved(&[vec![3.0, 1.0]], bounds);
    /// assert_eq!(better.skew(&[vec![3.0, 1.0]]), 1.0);
    /// ```
    pub fn improved(&self, demand: &[Vec<f64>], bounds: Bounds) -> Assignment {
        self.improved_with_slowdowns(demand, &[], bounds)
    }

    /// Like [`Assignment::improved`], with the load of each rank multiplied by its
    /// slowdown: slow ranks end up with experts of low demand.
    ///
    /// ```
    /// use group::placement::even::{Assignment, Bounds};
    /// let map = Assignment::round_robin(2, 1, 4);
    /// let bounds = Bounds { places: 4, fresh: 2, copies: 2, gain: 0.01 };
    /// let better = map.improved_with_slowdowns(&[vec![1.0; 4]], &[1.0, 9.0], bounds);
    /// assert!(better.sets[0][1].is_empty());
    /// ```
    pub fn improved_with_slowdowns(
        &self,
        demand: &[Vec<f64>],
        slowdowns: &[f64],
        bounds: Bounds,
    ) -> Assignment {
        let ranks = self.sets.first().map_or(0, Vec::len);
        let mut copied = vec![0; ranks];
        let mut layers: Vec<Layer<'_>> = self
            .sets
            .iter()
            .zip(demand)
            .map(|(set, tokens)| Layer::new(set, tokens, slowdowns))
            .collect();
        let mut excess: Vec<f64> = layers.iter().map(Layer::excess).collect();
        let mut improvable: Vec<usize> = (0..layers.len()).collect();
        for _ in 0..MAX_STEPS_PER_SET * layers.len() {
            // Improves the set with the highest excess load, which delays the pass most.
            let worst = |one: &&usize, other: &&usize| excess[**one].total_cmp(&excess[**other]);
            let Some(&set) = improvable.iter().max_by(worst) else { break };
            match layers[set].best_step(&copied, bounds) {
                Some(step) => {
                    layers[set].apply(step, &mut copied);
                    excess[set] = layers[set].excess();
                }
                None => improvable.retain(|other| *other != set),
            }
        }
        Assignment { sets: layers.into_iter().map(Layer::into_ranks).collect() }
    }

    /// Largest number of experts that are new to one rank, over all sets, compared
    /// with a previous assignment.
    ///
    /// ```
    /// use group::placement::even::Assignment;
    /// let before = Assignment { sets: vec![vec![vec![0], vec![1]]] };
    /// let after = Assignment { sets: vec![vec![vec![0, 1], vec![1]]] };
    /// assert_eq!(after.max_copies(&before), 1);
    /// ```
    pub fn max_copies(&self, before: &Assignment) -> usize {
        let ranks = self.sets.first().map_or(0, Vec::len);
        let fresh = |rank: usize| -> usize {
            let sets = self.sets.iter().zip(&before.sets);
            sets.map(|(set, before)| {
                set[rank].iter().filter(|expert| !before[rank].contains(expert)).count()
            })
            .sum()
        };
        (0..ranks).map(fresh).max().unwrap_or(0)
    }
}

/// Assigns experts round robin to the ranks in `to`. Returns experts by rank.
fn assign_round_robin(
    ranks: usize,
    to: &[usize],
    experts: impl Iterator<Item = u16>,
) -> Vec<Vec<u16>> {
    let mut set = vec![Vec::new(); ranks];
    for (expert, rank) in experts.zip(to.iter().cycle()) {
        set[*rank].push(expert);
    }
    set
}

/// Working state of one set of layers.
struct Layer<'a> {
    tokens: &'a [f64],
    slowdowns: &'a [f64],
    held: Vec<Vec<u16>>,
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    mean: f64,
    /// Number of new experts by rank.
    fresh: Vec<usize>,
}

/// One change of the holders of an expert.
#[derive(Clone, Copy, Debug)]
struct Step {
    expert: u16,
    /// The rank whose load is reduced.
    from: usize,
    to: usize,
    operation: Operation,
}

/// How a step changes the holders.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Operation {
    /// The target also holds the expert.
    Copy,
    /// The target holds the expert instead of the source.
    Move,
    /// Like `Copy`, and the target drops an expert that other ranks hold as well.
    CopyAndEvict(u16),
    /// Like `Move`, and the target drops an expert that other ranks hold as well.
    MoveAndEvict(u16),
    /// Source and target exchange two experts.
    Swap(u16),
    /// The source drops the expert, which other ranks hold as well.
    Remove,
}

impl Step {
    /// The second expert whose holders change, if any.
    fn second_expert(&self) -> Option<u16> {
        match self.operation {
            Operation::CopyAndEvict(other)
            | Operation::MoveAndEvict(other)
            | Operation::Swap(other) => Some(other),
            Operation::Copy | Operation::Move | Operation::Remove => None,
        }
    }

    /// The ranks that have to copy an expert.
    fn copying_ranks(&self) -> [Option<usize>; 2] {
        match self.operation {
            Operation::Remove => [None, None],
            Operation::Swap(_) => [Some(self.to), Some(self.from)],
            _ => [Some(self.to), None],
        }
    }
}

impl<'a> Layer<'a> {
    fn new(set: &[Vec<u16>], tokens: &'a [f64], slowdowns: &'a [f64]) -> Layer<'a> {
        let mut holders = vec![Vec::new(); tokens.len()];
        for (rank, experts) in set.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = tokens.iter().sum::<f64>() / set.len().max(1) as f64;
        let (loads, fresh) = (Vec::new(), vec![0; set.len()]);
        let mut layer =
            Layer { tokens, slowdowns, held: set.to_vec(), holders, loads, mean, fresh };
        layer.loads = (0..set.len()).map(|rank| layer.load(rank)).collect();
        layer
    }

    /// Highest load minus the mean.
    fn excess(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max) - self.mean
    }

    /// Time that a rank takes for its tokens, in units of the time that a rank of
    /// normal speed takes for one token.
    fn load(&self, rank: usize) -> f64 {
        let tokens: f64 = self.held[rank].iter().map(|expert| self.share(*expert)).sum();
        tokens * self.slowdown(rank)
    }

    fn slowdown(&self, rank: usize) -> f64 {
        self.slowdowns.get(rank).copied().unwrap_or(1.0)
    }

    fn replica_count(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Tokens of an expert on each of its holders.
    fn share(&self, expert: u16) -> f64 {
        self.share_of(expert, self.replica_count(expert))
    }

    fn share_of(&self, expert: u16, copies: usize) -> f64 {
        self.tokens[usize::from(expert)] / copies.max(1) as f64
    }

    /// The step that lowers the load of the busiest rank most, if it reaches the
    /// minimum gain.
    fn best_step(&self, copied: &[usize], bounds: Bounds) -> Option<Step> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_unstable_by(|one, other| self.loads[*one].total_cmp(&self.loads[*other]));
        let busiest = *order.last()?;
        let may_copy =
            |rank: usize| self.fresh[rank] < bounds.fresh && copied[rank] < bounds.copies;
        let mut chosen: Option<(f64, Step)> = None;
        for &expert in &self.held[busiest] {
            if self.replica_count(expert) > 1 {
                let step =
                    Step { expert, from: busiest, to: busiest, operation: Operation::Remove };
                let peak = self.peak_after(step);
                if chosen.is_none_or(|(least, _)| peak < least) {
                    chosen = Some((peak, step));
                }
            }
            let targets = order
                .iter()
                .filter(|rank| may_copy(**rank) && !self.held[**rank].contains(&expert));
            for &to in targets.take(MAX_TARGETS) {
                let mut consider = |operation| {
                    let step = Step { expert, from: busiest, to, operation };
                    let peak = self.peak_after(step);
                    if chosen.is_none_or(|(least, _)| peak < least) {
                        chosen = Some((peak, step));
                    }
                };
                if self.held[to].len() < bounds.places {
                    consider(Operation::Copy);
                    consider(Operation::Move);
                    continue;
                }
                for &other in &self.held[to] {
                    if self.replica_count(other) > 1 {
                        consider(Operation::CopyAndEvict(other));
                        consider(Operation::MoveAndEvict(other));
                    }
                    if may_copy(busiest) && !self.held[busiest].contains(&other) {
                        consider(Operation::Swap(other));
                    }
                }
            }
        }
        let (peak, step) = chosen?;
        (peak + self.mean * bounds.gain < self.loads[busiest]).then_some(step)
    }

    /// Highest load, after a step, of the ranks whose load it changes.
    fn peak_after(&self, step: Step) -> f64 {
        let (moved, evicted) = match step.operation {
            Operation::Copy => (false, None),
            Operation::Move => (true, None),
            Operation::CopyAndEvict(other) => (false, Some(other)),
            Operation::MoveAndEvict(other) => (true, Some(other)),
            Operation::Swap(other) => return self.peak_after_swap(step, other),
            Operation::Remove => return self.peak_after_remove(step),
        };
        let before = self.share(step.expert);
        let after =
            self.share_of(step.expert, self.replica_count(step.expert) + usize::from(!moved));
        let increase = evicted.map_or(0.0, |other| {
            self.share_of(other, self.replica_count(other) - 1) - self.share(other)
        });
        let evicted_holders = evicted.map_or(&[][..], |other| &self.holders[usize::from(other)]);
        let change = |rank: usize| {
            let mut change = 0.0;
            if rank == step.to {
                change += after - evicted.map_or(0.0, |other| self.share(other));
            } else if rank == step.from && moved {
                change -= before;
            } else if self.held[rank].contains(&step.expert) {
                change += after - before;
            }
            if rank != step.to && evicted_holders.contains(&rank) {
                change += increase;
            }
            change * self.slowdown(rank)
        };
        let touched = self.holders[usize::from(step.expert)].iter().chain(evicted_holders);
        let peaks =
            touched.chain([&step.to, &step.from]).map(|rank| self.loads[*rank] + change(*rank));
        peaks.fold(0.0, f64::max)
    }

    fn peak_after_swap(&self, step: Step, other: u16) -> f64 {
        let change = self.share(step.expert) - self.share(other);
        let from = self.loads[step.from] - change * self.slowdown(step.from);
        from.max(self.loads[step.to] + change * self.slowdown(step.to))
    }

    fn peak_after_remove(&self, step: Step) -> f64 {
        let copies = self.replica_count(step.expert);
        let increase = self.share_of(step.expert, copies - 1) - self.share(step.expert);
        let others = self.holders[usize::from(step.expert)].iter().filter(|one| **one != step.from);
        let peaks = others.map(|rank| self.loads[*rank] + increase * self.slowdown(*rank));
        let relieved = self.loads[step.from] - self.share(step.expert) * self.slowdown(step.from);
        peaks.fold(relieved, f64::max)
    }

    /// Applies a step and counts the copies by rank.
    fn apply(&mut self, step: Step, copied: &mut [usize]) {
        let mut touched = self.holders[usize::from(step.expert)].clone();
        if let Some(other) = step.second_expert() {
            touched.extend(&self.holders[usize::from(other)]);
        }
        touched.extend([step.from, step.to]);
        for rank in step.copying_ranks().into_iter().flatten() {
            self.fresh[rank] += 1;
            copied[rank] += 1;
        }
        match step.operation {
            Operation::Copy => self.add(step.expert, step.to),
            Operation::Remove => self.remove(step.expert, step.from),
            Operation::Move => self.replace(step.expert, step.from, step.to),
            Operation::CopyAndEvict(other) => {
                self.remove(other, step.to);
                self.add(step.expert, step.to);
            }
            Operation::MoveAndEvict(other) => {
                self.remove(other, step.to);
                self.replace(step.expert, step.from, step.to);
            }
            Operation::Swap(other) => {
                self.replace(step.expert, step.from, step.to);
                self.replace(other, step.to, step.from);
            }
        }
        for rank in touched {
            self.loads[rank] = self.load(rank);
        }
    }

    fn replace(&mut self, expert: u16, from: usize, to: usize) {
        self.remove(expert, from);
        self.add(expert, to);
    }

    fn add(&mut self, expert: u16, rank: usize) {
        self.held[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn remove(&mut self, expert: u16, rank: usize) {
        self.held[rank].retain(|other| *other != expert);
        self.holders[usize::from(expert)].retain(|other| *other != rank);
    }

    fn into_ranks(self) -> Vec<Vec<u16>> {
        let mut held = self.held;
        held.iter_mut().for_each(|experts| experts.sort_unstable());
        held
    }
}
