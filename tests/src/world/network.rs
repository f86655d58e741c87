//! Frames under way between processes, and what can happen to them.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tables::Name;
use wire::Frame;

/// Time of a frame's way when nothing is wrong.
const DELAY: Duration = Duration::from_millis(1);

/// A frame under way.
#[derive(Clone, Debug)]
pub struct Flight {
    /// When it arrives.
    pub at: Duration,
    /// The process that it goes to.
    pub to: Name,
    /// The frame.
    pub frame: Frame,
    order: u64,
}

/// The network between all processes.
#[derive(Debug, Default)]
pub struct Network {
    flights: Vec<Flight>,
    cuts: BTreeSet<(Name, Name)>,
    order: u64,
    /// Longest extra delay of a frame; different for each, so that they overtake.
    pub jitter: Duration,
    /// Share of frames that are lost, in percent.
    pub loss: u32,
    /// Share of frames that arrive twice, in percent.
    pub double: u32,
}

impl Network {
    /// Sends a frame.
    pub fn send(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        from: &Name,
        to: Name,
        frame: Frame,
    ) {
        if self.cuts.contains(&(from.clone(), to.clone())) {
            return;
        }
        if rng.random_range(0..100) < self.loss {
            return;
        }
        let copies = if rng.random_range(0..100) < self.double { 2 } else { 1 };
        for _ in 0..copies {
            let extra = rng.random_range(0..=self.jitter.as_millis() as u64);
            let at = now + DELAY + Duration::from_millis(extra);
            self.order += 1;
            let (to, frame) = (to.clone(), frame.clone());
            self.flights.push(Flight { at, to, frame, order: self.order });
        }
    }

    /// The frames that arrive by now, in the order of their arrival.
    pub fn due(&mut self, now: Duration) -> Vec<Flight> {
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(|flight| flight.at <= now);
        self.flights = rest;
        due.sort_by_key(|flight| (flight.at, flight.order));
        due
    }

    /// Cuts two processes off from one another, or joins them again.
    pub fn cut(&mut self, a: &Name, b: &Name, cut: bool) {
        for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Whether two processes are cut off from one another.
    pub fn is_cut(&self, a: &Name, b: &Name) -> bool {
        self.cuts.contains(&(a.clone(), b.clone()))
    }

    /// Whether every frame arrives.
    pub fn is_whole(&self) -> bool {
        self.cuts.is_empty() && self.loss == 0
    }

    /// Mends all.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.jitter = Duration::ZERO;
        self.loss = 0;
        self.double = 0;
    }
}
