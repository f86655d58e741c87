//! Checks the event ids of a stream, without I/O.
//!
//! A backend server may send a wrong id: too low, too high, or between two others. If the
//! stream moves to another server, it continues after the last confirmed id; continuing after
//! a wrong one would make the caller miss events or get some twice. Ids may rise by any step.
//! An id that continues the step of the stream is confirmed at once. Any other one is pending:
//! its event is held back until the next id confirms it. The end of the stream releases it
//! too, because nothing has to continue after it.

use balance::Numbering;

use crate::Error;

/// Number of equal rises between confirmed ids after which one more shows the step. Ids of an
/// irregular stream, or with one wrong among them, seldom rise alike so often.
const REGULAR_RISES: u32 = 2;

/// Number of rises that differ from the one before after which a stream shows that its pool's
/// ids are irregular. One wrong id accounts for three.
const IRREGULAR_RISES: u32 = 5;

/// What happens to an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event and those before it are passed on.
    Release,
    /// The events before it are passed on, the event itself waits for the next id.
    Hold,
    /// The event has no id and is treated like the one before it.
    Follow,
}

/// The ids of one stream, across the servers that send it.
#[derive(Debug)]
pub struct Sequence {
    /// Whether another server can continue the stream. Otherwise events are held back only if
    /// their ids are out of order.
    resumable: bool,
    /// The last confirmed id.
    last_id: Option<u64>,
    /// Whether that id was confirmed by more than the order of the ids.
    is_certain: bool,
    /// Difference between two ids, once it is known.
    step: Option<u64>,
    /// Whether ids that don't follow the step are normal.
    irregular: bool,
    /// The last rise between two confirmed ids, and the number of equal ones in a row.
    rises: (u64, u32),
    /// Number of rises that differ from the one before.
    deviations: u32,
    /// Events without an id since the last confirmed one.
    unnumbered: u64,
    pending: Option<Pending>,
    /// Id for which the stream has to leave the present server.
    rejected: Option<u64>,
    /// Id for which it left the previous one. If another server sends it too, it is right.
    disputed: Option<u64>,
    /// Whether the next event continues the stream of another server.
    is_resumed: bool,
    learned: Option<Numbering>,
}

/// An id that isn't confirmed yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: u64,
    /// Events without an id since then.
    unnumbered: u64,
}

impl Sequence {
    /// Creates the sequence of a stream whose caller has the events up to `last_id`, from a
    /// pool with this numbering.
    ///
    /// ```
    /// use balance::Numbering;
    /// use gateway::sequence::{Sequence, Verdict};
    /// let mut ids = Sequence::new(None, Numbering::Step(5), true);
    /// assert_eq!(ids.follow(5), Ok(Verdict::Release));
    /// // The next id shows that this one should be 10.
    /// assert_eq!(ids.follow(8), Ok(Verdict::Hold));
    /// assert!(ids.follow(15).is_err());
    /// assert_eq!(ids.last_id(), Some(5));
    /// ```
    pub fn new(last_id: Option<u64>, numbering: Numbering, resumable: bool) -> Sequence {
        Sequence {
            resumable,
            last_id,
            is_certain: true,
            step: match numbering {
                Numbering::Step(step) => Some(step),
                Numbering::Unknown | Numbering::Irregular => None,
            },
            irregular: numbering == Numbering::Irregular,
            rises: (0, 0),
            deviations: 0,
            unnumbered: 0,
            pending: None,
            rejected: None,
            disputed: None,
            is_resumed: false,
            learned: None,
        }
    }

    /// Goes on to an event without an id.
    ///
    /// # Errors
    ///
    /// [`Error::NotResumed`] if it is the first event from another server.
    pub fn follow_unnumbered(&mut self) -> Result<Verdict, Error> {
        if self.is_resumed {
            return Err(Error::NotResumed);
        }
        match &mut self.pending {
            Some(pending) => pending.unnumbered += 1,
            None => self.unnumbered += 1,
        }
        Ok(Verdict::Follow)
    }

    /// Goes on to the event with the id `found`. After an error, the same event gets the same
    /// error.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfOrder`] if it is not above an earlier one, [`Error::Contradicted`] if it
    /// shows that the id before it is wrong, [`Error::Skipped`] if ids are missing.
    pub fn follow(&mut self, found: u64) -> Result<Verdict, Error> {
        let verdict = match self.pending {
            Some(pending) => self.follow_pending(pending, found),
            None => self.follow_confirmed(found),
        };
        if verdict.is_ok() {
            self.is_resumed = false;
        }
        verdict
    }

    fn follow_confirmed(&mut self, found: u64) -> Result<Verdict, Error> {
        if let Some(previous) = self.last_id.filter(|previous| found <= *previous) {
            // Without another server, the next id may still show that only this one is wrong.
            return match self.resumable || self.step.is_none() {
                true => Err(Error::OutOfOrder { previous, found }),
                false => Ok(self.set_pending(found, Verdict::Hold)),
            };
        }
        if self.continues(self.last_id, self.unnumbered, found) {
            return Ok(self.confirm(found));
        }
        let previous = self.last_id.unwrap_or_default();
        if self.disputed == Some(found) {
            if self.step.is_some() {
                self.learn_irregular();
            }
            self.rises = (found - previous, 1);
            return Ok(self.confirm(found));
        }
        let is_beyond = |step: u64| found - previous > step.saturating_mul(self.unnumbered + 1);
        if self.resumable && !self.irregular && self.step.is_some_and(is_beyond) {
            if self.disputed.is_none() {
                self.rejected = Some(found);
                return Err(Error::Skipped { previous, found });
            }
            // Two servers deviate from the step, in different ways.
            self.learn_irregular();
        }
        Ok(self.set_pending(found, self.pending_verdict()))
    }

    fn follow_pending(&mut self, pending: Pending, found: u64) -> Result<Verdict, Error> {
        let behind = self.last_id.filter(|previous| pending.id <= *previous);
        let in_order = behind.is_none() && found > pending.id;
        if in_order && self.continues(Some(pending.id), pending.unnumbered, found) {
            return Ok(self.confirm(found));
        }
        let unnumbered = self.unnumbered + pending.unnumbered + 1;
        if !self.irregular && self.continues(self.last_id, unnumbered, found) {
            // The ids around the pending one follow the step without it.
            if self.resumable {
                self.rejected = Some(pending.id);
                return Err(Error::Contradicted { found: pending.id, next: found });
            }
            // If no step is left for it, its event repeats the one before.
            let is_repeated = !in_order && self.continues(self.last_id, 0, found);
            if !is_repeated {
                return Ok(self.confirm(found));
            }
        }
        if !in_order {
            self.rejected = Some(pending.id);
            return Err(match behind {
                Some(previous) => Error::OutOfOrder { previous, found: pending.id },
                None => Error::OutOfOrder { previous: pending.id, found },
            });
        }
        if self.skips(pending, found) {
            if self.disputed.is_none() {
                self.rejected = Some(pending.id);
                let previous = self.last_id.unwrap_or_default();
                return Err(Error::Skipped { previous, found: pending.id });
            }
            self.learn_irregular();
        }
        Ok(self.follow_order(pending, found))
    }

    /// Whether events of a stream whose step isn't known yet seem to be missing before a
    /// pending id, and another server would continue at the right place.
    fn skips(&self, pending: Pending, found: u64) -> bool {
        let is_checked = self.resumable && !self.irregular && self.step.is_none();
        let (first, next) = (pending.id - self.last_id.unwrap_or_default(), found - pending.id);
        let is_multiple = first > next && first.is_multiple_of(next);
        is_checked && is_multiple && self.is_certain && self.unnumbered == 0
    }

    /// Goes on from a pending id that only the order of the ids confirms.
    fn follow_order(&mut self, pending: Pending, found: u64) -> Verdict {
        if self.step.take().is_some() {
            self.irregular = true;
            self.rises = (0, 0);
        }
        let rise = self.count_rise(pending.id);
        self.confirm(pending.id);
        self.unnumbered = pending.unnumbered;
        let is_equal = pending.unnumbered == 0 && found - pending.id == rise;
        self.is_certain = is_equal && self.rises.1 >= REGULAR_RISES;
        if self.is_certain {
            self.step = Some(rise);
            if !self.irregular {
                self.learned = Some(Numbering::Step(rise));
            }
            return self.confirm(found);
        }
        self.set_pending(found, self.pending_verdict())
    }

    /// Counts the rise from the last confirmed id to the next one and returns it.
    fn count_rise(&mut self, id: u64) -> u64 {
        let (total, events) = (id - self.last_id.unwrap_or_default(), self.unnumbered + 1);
        let rise = if total.is_multiple_of(events) { total / events } else { total };
        let (previous, count) = self.rises;
        let is_equal = rise == previous;
        if count > 0 && !is_equal {
            self.irregular = true;
            self.deviations += 1;
            if self.deviations == IRREGULAR_RISES {
                self.learned = Some(Numbering::Irregular);
            }
        }
        self.rises = (rise, if is_equal { count + 1 } else { 1 });
        rise
    }

    /// Whether `found` continues the step after `previous`, with at most `unnumbered` events
    /// between them.
    fn continues(&self, previous: Option<u64>, unnumbered: u64, found: u64) -> bool {
        let rise = found.checked_sub(previous.unwrap_or_default());
        let is_next = |(rise, step): (u64, u64)| {
            rise > 0 && rise.is_multiple_of(step) && rise / step <= unnumbered + 1
        };
        rise.zip(self.step).is_some_and(is_next)
    }

    fn confirm(&mut self, id: u64) -> Verdict {
        self.last_id = Some(id);
        self.is_certain = true;
        self.unnumbered = 0;
        self.pending = None;
        self.rejected = None;
        self.disputed = None;
        Verdict::Release
    }

    fn set_pending(&mut self, id: u64, verdict: Verdict) -> Verdict {
        self.pending = Some(Pending { id, unnumbered: 0 });
        verdict
    }

    /// What happens to an event that is in order and whose id is pending.
    fn pending_verdict(&self) -> Verdict {
        if self.resumable { Verdict::Hold } else { Verdict::Release }
    }

    /// Two servers have shown that the pool's ids don't follow a step.
    fn learn_irregular(&mut self) {
        self.irregular = true;
        self.step = None;
        self.learned = Some(Numbering::Irregular);
    }

    /// Ends the stream: nothing has to continue after a pending id.
    ///
    /// # Errors
    ///
    /// [`Error::OutOfOrder`] if that id is not above an earlier one.
    pub fn finish(&mut self) -> Result<(), Error> {
        let Some(pending) = self.pending else { return Ok(()) };
        if let Some(previous) = self.last_id.filter(|previous| pending.id <= *previous) {
            return Err(Error::OutOfOrder { previous, found: pending.id });
        }
        self.confirm(pending.id);
        Ok(())
    }

    /// Prepares for the stream of another server, which continues after the last confirmed id.
    pub fn restart(&mut self) {
        self.pending = None;
        self.unnumbered = 0;
        self.is_resumed = true;
        self.disputed = self.rejected.take().or(self.disputed);
    }

    /// The last confirmed id.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream goes on at another server that has sent no event yet.
    pub fn is_resumed(&self) -> bool {
        self.is_resumed
    }

    /// Whether no event with an id has come, from the first server or from the one that
    /// continues the stream.
    pub fn is_unstarted(&self) -> bool {
        self.is_resumed || (self.last_id.is_none() && self.pending.is_none())
    }

    /// What the stream has shown of its pool's numbering since the last call.
    pub fn take_learned(&mut self) -> Option<Numbering> {
        self.learned.take()
    }
}
