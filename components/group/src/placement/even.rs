//! Placement where all holders of an expert share its tokens evenly.

use serde::{Deserialize, Serialize};

/// Improvements a set of layers, on average, after which a plan is taken as it
/// is.
const ROUNDS: usize = 160;

/// Ranks that are tried as new holders, idlest first.
const TARGETS: usize = 16;

/// Which experts each rank holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Experts by set of layers, then rank, in rising order.
    pub sets: Vec<Vec<Vec<u16>>>,
}

/// What a change may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Most experts of a set that a rank holds.
    pub places: usize,
    /// Most experts of a set that are new to a rank.
    pub fresh: usize,
    /// Most experts that are new to a rank, over all sets: it copies them one
    /// after the other.
    pub copies: usize,
    /// Improvement of the busiest rank below which a step isn't worth its copy,
    /// as a part of the mean load.
    pub gain: f64,
}

impl Assignment {
    /// Experts dealt to the ranks in turn.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::round_robin(2, 1, 4);
    /// assert_eq!(map.sets[0], vec![vec![0, 2], vec![1, 3]]);
    /// ```
    pub fn round_robin(ranks: usize, sets: usize, experts: usize) -> Assignment {
        let all: Vec<usize> = (0..ranks).collect();
        Assignment { sets: vec![deal(ranks, &all, 0..experts as u16); sets] }
    }

    /// An assignment in which a rank keeps what it holds, by set of layers, and
    /// the other ranks share the rest in turn.
    ///
    /// ```
    /// use group::placement::even::Assignment;
    /// let map = Assignment::around(1, &[vec![0, 3]], 3, 6);
    /// assert_eq!(map.sets[0], vec![vec![1, 4], vec![0, 3], vec![2, 5]]);
    /// ```
    pub fn around(rank: usize, held: &[Vec<u16>], ranks: usize, experts: usize) -> Assignment {
        let others: Vec<usize> = (0..ranks).filter(|other| *other != rank).collect();
        let set = |held: &Vec<u16>| {
            let rest = (0..experts as u16).filter(|expert| !held.contains(expert));
            let mut set = deal(ranks, &others, rest);
            set[rank].clone_from(held);
            set
        };
        Assignment { sets: held.iter().map(set).collect() }
    }

    /// The load of the busiest rank, summed over the sets, against that of
    /// evenly spread tokens. 1 is the best possible.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::round_robin(2, 1, 2);
    /// assert_eq!(map.skew(&[vec![3.0, 1.0]]), 1.5);
    /// ```
    pub fn skew(&self, demand: &[Vec<f64>]) -> f64 {
        self.skew_at(demand, &[])
    }

    /// The same where ranks take `paces` times as long as usual for their
    /// tokens; ranks beyond the list work as usual.
    ///
    /// ```
    /// let map = group::placement::even::Assignment::round_robin(2, 1, 2);
    /// assert_eq!(map.skew_at(&[vec![1.0, 1.0]], &[1.0, 4.0]), 4.0);
    /// ```
    pub fn skew_at(&self, demand: &[Vec<f64>], paces: &[f64]) -> f64 {
        let (mut slowest, mut mean) = (0.0, 0.0);
        for (set, tokens) in self.sets.iter().zip(demand) {
            let layer = Layer::new(set, tokens, paces);
            slowest += layer.loads.iter().copied().fold(0.0, f64::max);
            mean += tokens.iter().sum::<f64>() / set.len().max(1) as f64;
        }
        if mean > 0.0 { slowest / mean } else { 1.0 }
    }

    /// A better assignment for the demand, by set and expert, within bounds.
    ///
    /// ```
    /// use group::placement::even::{Assignment, Bounds};
    /// let map = Assignment::round_robin(2, 1, 2);
    /// let bounds = Bounds { places: 2, fresh: 1, copies: 1, gain: 0.01 };
    /// let better = map.improved(&[vec![3.0, 1.0]], bounds);
    /// assert_eq!(better.skew(&[vec![3.0, 1.0]]), 1.0);
    /// ```
    pub fn improved(&self, demand: &[Vec<f64>], bounds: Bounds) -> Assignment {
        self.improved_at(demand, &[], bounds)
    }

    /// The same where ranks take `paces` times as long as usual for their
    /// tokens: slow ones are left with experts that few tokens choose.
    ///
    /// ```
    /// use group::placement::even::{Assignment, Bounds};
    /// let map = Assignment::round_robin(2, 1, 4);
    /// let bounds = Bounds { places: 4, fresh: 2, copies: 2, gain: 0.01 };
    /// let better = map.improved_at(&[vec![1.0; 4]], &[1.0, 9.0], bounds);
    /// assert!(better.sets[0][1].is_empty());
    /// ```
    pub fn improved_at(&self, demand: &[Vec<f64>], paces: &[f64], bounds: Bounds) -> Assignment {
        let ranks = self.sets.first().map_or(0, Vec::len);
        let mut copied = vec![0; ranks];
        let mut layers: Vec<Layer<'_>> = self
            .sets
            .iter()
            .zip(demand)
            .map(|(set, tokens)| Layer::new(set, tokens, paces))
            .collect();
        let mut excess: Vec<f64> = layers.iter().map(Layer::excess).collect();
        let mut open: Vec<usize> = (0..layers.len()).collect();
        for _ in 0..ROUNDS * layers.len() {
            // The set that delays the pass most.
            let worst = |one: &&usize, other: &&usize| excess[**one].total_cmp(&excess[**other]);
            let Some(&set) = open.iter().max_by(worst) else { break };
            match layers[set].best(&copied, bounds) {
                Some(step) => {
                    layers[set].apply(step, &mut copied);
                    excess[set] = layers[set].excess();
                }
                None => open.retain(|other| *other != set),
            }
        }
        Assignment { sets: layers.into_iter().map(Layer::into_ranks).collect() }
    }

    /// The most experts that are new to one rank, over all sets, against an
    /// assignment before.
    ///
    /// ```
    /// use group::placement::even::Assignment;
    /// let before = Assignment { sets: vec![vec![vec![0], vec![1]]] };
    /// let after = Assignment { sets: vec![vec![vec![0, 1], vec![1]]] };
    /// assert_eq!(after.copies(&before), 1);
    /// ```
    pub fn copies(&self, before: &Assignment) -> usize {
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

/// Experts by rank, dealt in turn to some of the ranks.
fn deal(ranks: usize, to: &[usize], experts: impl Iterator<Item = u16>) -> Vec<Vec<u16>> {
    let mut set = vec![Vec::new(); ranks];
    for (expert, rank) in experts.zip(to.iter().cycle()) {
        set[*rank].push(expert);
    }
    set
}

/// One set of layers with its loads.
struct Layer<'a> {
    tokens: &'a [f64],
    paces: &'a [f64],
    held: Vec<Vec<u16>>,
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    mean: f64,
    /// Experts of the set that are new to each rank.
    fresh: Vec<usize>,
}

/// An expert gets a new holder.
#[derive(Clone, Copy, Debug)]
struct Step {
    expert: u16,
    /// The rank that is relieved.
    from: usize,
    to: usize,
    exchange: Exchange,
}

/// What changes besides.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Exchange {
    /// Nothing: the expert has one holder more.
    Copy,
    /// The relieved rank gives the expert up.
    Move,
    /// The new holder gives up an expert that others hold, too.
    CopyOver(u16),
    /// Both of the above.
    MoveOver(u16),
    /// The ranks exchange two experts.
    Swap(u16),
    /// Nobody takes the expert: the relieved rank gives up one of its copies.
    Drop,
}

impl Step {
    /// The other expert that changes its holders.
    fn other(&self) -> Option<u16> {
        match self.exchange {
            Exchange::CopyOver(other) | Exchange::MoveOver(other) | Exchange::Swap(other) => {
                Some(other)
            }
            Exchange::Copy | Exchange::Move | Exchange::Drop => None,
        }
    }

    /// The ranks that copy an expert.
    fn copying(&self) -> [Option<usize>; 2] {
        match self.exchange {
            Exchange::Drop => [None, None],
            Exchange::Swap(_) => [Some(self.to), Some(self.from)],
            _ => [Some(self.to), None],
        }
    }
}

impl<'a> Layer<'a> {
    fn new(set: &[Vec<u16>], tokens: &'a [f64], paces: &'a [f64]) -> Layer<'a> {
        let mut holders = vec![Vec::new(); tokens.len()];
        for (rank, experts) in set.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        let mean = tokens.iter().sum::<f64>() / set.len().max(1) as f64;
        let (loads, fresh) = (Vec::new(), vec![0; set.len()]);
        let mut layer = Layer { tokens, paces, held: set.to_vec(), holders, loads, mean, fresh };
        layer.loads = (0..set.len()).map(|rank| layer.load(rank)).collect();
        layer
    }

    /// Load of the busiest rank beyond the mean.
    fn excess(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max) - self.mean
    }

    /// Time that a rank takes for its tokens, in tokens of a usual rank.
    fn load(&self, rank: usize) -> f64 {
        let tokens: f64 = self.held[rank].iter().map(|expert| self.share(*expert)).sum();
        tokens * self.pace(rank)
    }

    fn pace(&self, rank: usize) -> f64 {
        self.paces.get(rank).copied().unwrap_or(1.0)
    }

    fn copies(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Tokens of an expert at each of its holders.
    fn share(&self, expert: u16) -> f64 {
        self.share_of(expert, self.copies(expert))
    }

    fn share_of(&self, expert: u16, copies: usize) -> f64 {
        self.tokens[usize::from(expert)] / copies.max(1) as f64
    }

    /// The step that relieves the busiest rank most.
    fn best(&self, copied: &[usize], bounds: Bounds) -> Option<Step> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_unstable_by(|one, other| self.loads[*one].total_cmp(&self.loads[*other]));
        let busiest = *order.last()?;
        let may_copy =
            |rank: usize| self.fresh[rank] < bounds.fresh && copied[rank] < bounds.copies;
        let mut chosen: Option<(f64, Step)> = None;
        for &expert in &self.held[busiest] {
            if self.copies(expert) > 1 {
                let step = Step { expert, from: busiest, to: busiest, exchange: Exchange::Drop };
                let peak = self.peak_after(step);
                if chosen.is_none_or(|(least, _)| peak < least) {
                    chosen = Some((peak, step));
                }
            }
            let open = order
                .iter()
                .filter(|rank| may_copy(**rank) && !self.held[**rank].contains(&expert));
            for &to in open.take(TARGETS) {
                let mut try_exchange = |exchange| {
                    let step = Step { expert, from: busiest, to, exchange };
                    let peak = self.peak_after(step);
                    if chosen.is_none_or(|(least, _)| peak < least) {
                        chosen = Some((peak, step));
                    }
                };
                if self.held[to].len() < bounds.places {
                    try_exchange(Exchange::Copy);
                    try_exchange(Exchange::Move);
                    continue;
                }
                for &other in &self.held[to] {
                    if self.copies(other) > 1 {
                        try_exchange(Exchange::CopyOver(other));
                        try_exchange(Exchange::MoveOver(other));
                    }
                    if may_copy(busiest) && !self.held[busiest].contains(&other) {
                        try_exchange(Exchange::Swap(other));
                    }
                }
            }
        }
        let (peak, step) = chosen?;
        (peak + self.mean * bounds.gain < self.loads[busiest]).then_some(step)
    }

    /// The highest load among the ranks that a step touches.
    fn peak_after(&self, step: Step) -> f64 {
        let (leaves, evicted) = match step.exchange {
            Exchange::Copy => (false, None),
            Exchange::Move => (true, None),
            Exchange::CopyOver(other) => (false, Some(other)),
            Exchange::MoveOver(other) => (true, Some(other)),
            Exchange::Swap(other) => return self.peak_after_swap(step, other),
            Exchange::Drop => return self.peak_after_drop(step),
        };
        let before = self.share(step.expert);
        let after = self.share_of(step.expert, self.copies(step.expert) + usize::from(!leaves));
        let more = evicted
            .map_or(0.0, |other| self.share_of(other, self.copies(other) - 1) - self.share(other));
        let evicted_holders = evicted.map_or(&[][..], |other| &self.holders[usize::from(other)]);
        let change = |rank: usize| {
            let mut change = 0.0;
            if rank == step.to {
                change += after - evicted.map_or(0.0, |other| self.share(other));
            } else if rank == step.from && leaves {
                change -= before;
            } else if self.held[rank].contains(&step.expert) {
                change += after - before;
            }
            if rank != step.to && evicted_holders.contains(&rank) {
                change += more;
            }
            change * self.pace(rank)
        };
        let touched = self.holders[usize::from(step.expert)].iter().chain(evicted_holders);
        let peaks =
            touched.chain([&step.to, &step.from]).map(|rank| self.loads[*rank] + change(*rank));
        peaks.fold(0.0, f64::max)
    }

    fn peak_after_swap(&self, step: Step, other: u16) -> f64 {
        let change = self.share(step.expert) - self.share(other);
        let from = self.loads[step.from] - change * self.pace(step.from);
        from.max(self.loads[step.to] + change * self.pace(step.to))
    }

    /// The relieved rank gives up an expert that others hold, too.
    fn peak_after_drop(&self, step: Step) -> f64 {
        let copies = self.copies(step.expert);
        let more = self.share_of(step.expert, copies - 1) - self.share(step.expert);
        let others = self.holders[usize::from(step.expert)].iter().filter(|one| **one != step.from);
        let peaks = others.map(|rank| self.loads[*rank] + more * self.pace(*rank));
        let relieved = self.loads[step.from] - self.share(step.expert) * self.pace(step.from);
        peaks.fold(relieved, f64::max)
    }

    /// Takes a step and counts what it copies.
    fn apply(&mut self, step: Step, copied: &mut [usize]) {
        let mut touched = self.holders[usize::from(step.expert)].clone();
        if let Some(other) = step.other() {
            touched.extend(&self.holders[usize::from(other)]);
        }
        touched.extend([step.from, step.to]);
        for rank in step.copying().into_iter().flatten() {
            self.fresh[rank] += 1;
            copied[rank] += 1;
        }
        match step.exchange {
            Exchange::Copy => self.add(step.expert, step.to),
            Exchange::Drop => self.remove(step.expert, step.from),
            Exchange::Move => self.replace(step.expert, step.from, step.to),
            Exchange::CopyOver(other) => {
                self.remove(other, step.to);
                self.add(step.expert, step.to);
            }
            Exchange::MoveOver(other) => {
                self.remove(other, step.to);
                self.replace(step.expert, step.from, step.to);
            }
            Exchange::Swap(other) => {
                self.replace(step.expert, step.from, step.to);
                self.replace(other, step.to, step.from);
            }
        }
        for rank in touched {
            self.loads[rank] = self.load(rank);
        }
    }

    /// Moves an expert to another rank.
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
