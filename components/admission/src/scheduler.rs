//! Start-time fair queueing of the waiting requests of one class by account.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use tables::Name;

use crate::queue::Item;

/// Virtual time per unit of cost at weight 1.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;
/// Idle accounts, beyond one per account with waiting requests, kept without
/// pruning.
const MAX_IDLE_ACCOUNTS: usize = 64;
/// An account with more waiting requests than this has a backlog.
const BACKLOG_THRESHOLD: usize = 1;
/// An account counts as active for this long after its last request.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// The waiting requests of one class.
#[derive(Clone, Debug)]
pub(crate) struct Scheduler {
    capacity: usize,
    len: usize,
    virtual_time: u128,
    /// Accounts with waiting requests, by the start tag of their next request.
    start_tags: BTreeSet<(u128, Name)>,
    accounts: HashMap<Name, Account>,
    latest_arrival: Option<(Name, Duration)>,
    /// The latest arrival of another account than that of `latest_arrival`.
    previous_arrival: Option<(Name, Duration)>,
}

#[derive(Clone, Debug, Default)]
struct Account {
    items: VecDeque<Item>,
    start_tag: u128,
    weight: u32,
}

impl Scheduler {
    pub(crate) fn new(capacity: usize) -> Scheduler {
        Scheduler {
            capacity,
            len: 0,
            virtual_time: 0,
            start_tags: BTreeSet::new(),
            accounts: HashMap::new(),
            latest_arrival: None,
            previous_arrival: None,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// Whether the account holds at least as many places as are free.
    pub(crate) fn is_over_share(&self, account: &str) -> bool {
        let queued = self.accounts.get(account).map_or(0, |account| account.items.len());
        queued >= self.capacity.saturating_sub(self.len)
    }

    pub(crate) fn push(&mut self, now: Duration, item: Item) {
        let name = item.account.clone();
        self.record_arrival(now, &name);
        let account = self.accounts.entry(name.clone()).or_default();
        account.weight = item.weight.max(1);
        if account.items.is_empty() {
            account.start_tag = account.start_tag.max(self.virtual_time);
            self.start_tags.insert((account.start_tag, name));
        }
        account.items.push_back(item);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Item> {
        let key = self.start_tags.pop_first()?;
        self.pop_account(key)
    }

    fn pop_account(&mut self, (start_tag, name): (u128, Name)) -> Option<Item> {
        let account = self.accounts.get_mut(&name)?;
        let item = account.items.pop_front()?;
        self.len -= 1;
        self.virtual_time = self.virtual_time.max(start_tag);
        account.start_tag =
            start_tag + u128::from(item.cost) * VIRTUAL_TIME_SCALE / u128::from(account.weight);
        if !account.items.is_empty() {
            self.start_tags.insert((account.start_tag, name));
        }
        self.prune();
        Some(item)
    }

    /// Like [`Scheduler::pop`], but skips accounts with a backlog while several
    /// accounts are active.
    pub(crate) fn pop_without_backlog(&mut self, now: Duration) -> Option<Item> {
        if !self.is_contended(now) {
            return self.pop();
        }
        let key = self.start_tags.iter().find(|(_, name)| !self.has_backlog(name)).cloned()?;
        self.start_tags.remove(&key);
        self.pop_account(key)
    }

    pub(crate) fn remove_request(&mut self, name: &Name, ticket: u64) -> Option<Item> {
        let account = self.accounts.get_mut(name)?;
        let index = account.items.iter().position(|item| item.ticket == ticket)?;
        let item = account.items.remove(index)?;
        self.len -= 1;
        if account.items.is_empty() {
            self.start_tags.remove(&(account.start_tag, name.clone()));
        }
        self.prune();
        Some(item)
    }

    /// Returns the number of requests served before a new one of the account.
    pub(crate) fn requests_ahead(&self, name: &str) -> f64 {
        let own_account = self.accounts.get(name);
        let queued = own_account.map_or(0, |account| account.items.len());
        let weight = own_account.map_or(1, |account| account.weight);
        let rounds = (queued + 1) as f64 / f64::from(weight);
        let others = self.start_tags.iter().filter(|(_, other)| other != name);
        let other_accounts = others.filter_map(|(_, other)| self.accounts.get(other));
        let served_before = other_accounts.map(|account| {
            (account.items.len() as f64).min((rounds * f64::from(account.weight)).ceil())
        });
        queued as f64 + served_before.sum::<f64>()
    }

    /// Removes idle accounts whose start tag is not ahead of the virtual time:
    /// if re-added, they get the same start tag.
    fn prune(&mut self) {
        if self.accounts.len() > 2 * self.start_tags.len() + MAX_IDLE_ACCOUNTS {
            let virtual_time = self.virtual_time;
            self.accounts
                .retain(|_, account| !account.items.is_empty() || account.start_tag > virtual_time);
        }
    }

    fn record_arrival(&mut self, now: Duration, name: &Name) {
        if self.latest_arrival.as_ref().is_some_and(|(latest, _)| latest != name) {
            self.previous_arrival = self.latest_arrival.take();
        }
        self.latest_arrival = Some((name.clone(), now));
    }

    /// Whether a request arrived within [`ACTIVE_PERIOD`].
    pub(crate) fn has_recent_arrival(&self, now: Duration) -> bool {
        self.latest_arrival.as_ref().is_some_and(|(_, at)| now.saturating_sub(*at) < ACTIVE_PERIOD)
    }

    fn has_backlog(&self, name: &str) -> bool {
        self.accounts.get(name).is_some_and(|account| account.items.len() > BACKLOG_THRESHOLD)
    }

    /// Whether several accounts sent requests within [`ACTIVE_PERIOD`].
    fn is_contended(&self, now: Duration) -> bool {
        self.previous_arrival
            .as_ref()
            .is_some_and(|(_, at)| now.saturating_sub(*at) < ACTIVE_PERIOD)
    }
}
