//! The requests of one class that wait, shared fairly among accounts.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tables::Name;

use crate::queue::Item;

/// Units of virtual time per unit of cost at weight 1.
const SCALE: u128 = 1 << 20;
/// Idle accounts that are kept before they are looked through.
const KEPT: usize = 64;
/// Waiting requests beyond which an account counts as having a backlog.
const BACKLOG: usize = 1;
/// Time for which an account counts as active after its last request.
const ACTIVE: Duration = Duration::from_secs(10);

/// The requests of one class.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    most: usize,
    len: usize,
    clock: u128,
    order: BTreeSet<(u128, Name)>,
    accounts: HashMap<Name, Account>,
    recent: Option<(Name, Duration)>,
    other: Option<(Name, Duration)>,
}

#[derive(Clone, Debug, Default)]
struct Account {
    items: VecDeque<Item>,
    start: u128,
    weight: u32,
}

impl Lane {
    pub(crate) fn new(most: usize) -> Lane {
        Lane {
            most,
            len: 0,
            clock: 0,
            order: BTreeSet::new(),
            accounts: HashMap::new(),
            recent: None,
            other: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len >= self.most
    }

    /// Whether the account has at least as many places as are free.
    pub(crate) fn is_over_share(&self, account: &str) -> bool {
        let held = self.accounts.get(account).map_or(0, |account| account.items.len());
        held >= self.most.saturating_sub(self.len)
    }

    pub(crate) fn push(&mut self, now: Duration, item: Item) {
        let name = item.account.clone();
        self.saw(now, &name);
        let account = self.accounts.entry(name.clone()).or_default();
        account.weight = item.weight.max(1);
        if account.items.is_empty() {
            account.start = account.start.max(self.clock);
            self.order.insert((account.start, name));
        }
        account.items.push_back(item);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Item> {
        let key = self.order.pop_first()?;
        self.pop_account(key)
    }

    fn pop_account(&mut self, (start, name): (u128, Name)) -> Option<Item> {
        let account = self.accounts.get_mut(&name)?;
        let item = account.items.pop_front()?;
        self.len -= 1;
        self.clock = self.clock.max(start);
        account.start = start + u128::from(item.cost) * SCALE / u128::from(account.weight);
        if !account.items.is_empty() {
            self.order.insert((account.start, name));
        }
        self.prune();
        Some(item)
    }

    /// Like [`Lane::pop`], but passes over accounts with a backlog while others
    /// are active.
    pub(crate) fn pop_small(&mut self, now: Duration) -> Option<Item> {
        if !self.is_contended(now) {
            return self.pop();
        }
        let key = self.order.iter().find(|(_, name)| !self.has_backlog(name)).cloned()?;
        self.order.remove(&key);
        self.pop_account(key)
    }

    pub(crate) fn take(&mut self, name: &Name, ticket: u64) -> Option<Item> {
        let account = self.accounts.get_mut(name)?;
        let at = account.items.iter().position(|item| item.ticket == ticket)?;
        let item = account.items.remove(at)?;
        self.len -= 1;
        if account.items.is_empty() {
            self.order.remove(&(account.start, name.clone()));
        }
        self.prune();
        Some(item)
    }

    /// Requests that would run before a new one of the account.
    pub(crate) fn ahead(&self, name: &str) -> f64 {
        let own = self.accounts.get(name);
        let held = own.map_or(0, |account| account.items.len());
        let weight = own.map_or(1, |account| account.weight);
        let rounds = (held + 1) as f64 / f64::from(weight);
        let others = self.order.iter().filter(|(_, other)| other != name);
        let turns = others.filter_map(|(_, other)| self.accounts.get(other));
        let before = turns.map(|account| {
            (account.items.len() as f64).min((rounds * f64::from(account.weight)).ceil())
        });
        held as f64 + before.sum::<f64>()
    }

    /// Forgets idle accounts that are not ahead of the clock: a new one would
    /// start where they do.
    fn prune(&mut self) {
        if self.accounts.len() > 2 * self.order.len() + KEPT {
            let clock = self.clock;
            self.accounts.retain(|_, account| !account.items.is_empty() || account.start > clock);
        }
    }

    fn saw(&mut self, now: Duration, name: &Name) {
        if self.recent.as_ref().is_some_and(|(recent, _)| recent != name) {
            self.other = self.recent.take();
        }
        self.recent = Some((name.clone(), now));
    }

    /// Whether any request came lately.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        self.recent.as_ref().is_some_and(|(_, at)| now.saturating_sub(*at) < ACTIVE)
    }

    fn has_backlog(&self, name: &str) -> bool {
        self.accounts.get(name).is_some_and(|account| account.items.len() > BACKLOG)
    }

    /// Whether more than one account sent requests lately.
    fn is_contended(&self, now: Duration) -> bool {
        self.other.as_ref().is_some_and(|(_, at)| now.saturating_sub(*at) < ACTIVE)
    }
}
