//! What an entry believes of the platform's store: one table for each kind.
//!
//! Rows only move forward, whichever way they arrive: by the era of the store
//! first, by revision within an era. Backend servers whose entries vanished
//! while the store was away are kept for a while after its return, since a live
//! server enters itself again. What was known before a restore of the store is
//! kept as [`crate::hold`] says; a configuration is never given up for one of
//! a lower version.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::{Name, Position, Row, Table};

use crate::config::Config;
use crate::content::{Content, Kind, Peer, Server};
use crate::hold::{Bounds, Holds, Subject, Told};
use crate::notice::Start;

/// Rows of one kind by name.
pub type Rows = Table<Name, Content>;

/// A change of one kind's rows, as entries tell each other.
pub type Delta = tables::Delta<Name, Content>;

/// Time after the store's return within which live servers are entered again.
/// From the platform's protocol.
const LAPSE_HOLD: Duration = Duration::from_secs(2);

/// Time for which a start that vanished from the store is remembered: longer
/// than any server takes to leave.
const DEPARTED_LIFETIME: Duration = Duration::from_secs(600);

/// What the store or another entry says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// All objects of a kind at a position.
    Listing {
        /// The kind.
        kind: Kind,
        /// The position.
        position: Position,
        /// The objects.
        rows: Vec<(Name, Row<Content>)>,
    },
    /// Objects that changed within an era.
    Changes {
        /// The kind.
        kind: Kind,
        /// The era.
        era: u64,
        /// The changes; since revision 0 they are all there is.
        delta: Delta,
    },
}

impl Update {
    fn rows(&self) -> &[(Name, Row<Content>)] {
        let (Update::Listing { rows, .. } | Update::Changes { delta: Delta { rows, .. }, .. }) =
            self;
        rows
    }
}

/// The rows of a kind and the era that they are of.
#[derive(Clone, Debug, Default)]
struct Shelf {
    era: u64,
    rows: Rows,
    /// Revision of the last complete listing, 0 before the first. What was
    /// deleted before it is not known.
    listed: u64,
}

/// A start that is no longer entered.
#[derive(Clone, Copy, Debug)]
struct Departed {
    started_ms: u64,
    at: Duration,
}

/// The tables of all kinds.
#[derive(Clone, Debug, Default)]
pub struct View {
    shelves: BTreeMap<Kind, Shelf>,
    /// A configuration of a higher version than the store's, which was restored.
    lost_config: Option<(Name, Config)>,
    /// Servers whose rows vanished around an outage of the store, with the time
    /// until which they are still used.
    lapsed: BTreeMap<Name, (Server, Duration)>,
    returned_at: Option<Duration>,
    departed: BTreeMap<Name, Departed>,
    holds: Holds,
    /// When the rows of a kind were last known to be the store's.
    current: BTreeMap<Kind, Duration>,
}

impl View {
    /// A view of nothing.
    pub fn new(bounds: Bounds) -> View {
        View { holds: Holds::new(bounds), ..View::default() }
    }

    /// The position up to which a kind is known.
    pub fn position(&self, kind: Kind) -> Position {
        let at = |shelf: &Shelf| Position { era: shelf.era, revision: shelf.rows.revision() };
        self.shelves.get(&kind).map_or(Position::default(), at)
    }

    /// Whether a kind was ever listed.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.shelves.get(&kind).is_some_and(|shelf| shelf.listed > 0)
    }

    /// The rows of a kind were the store's at a time.
    pub fn note_current(&mut self, kind: Kind, at: Duration) {
        let current = self.current.entry(kind).or_default();
        *current = at.max(*current);
    }

    /// The time by which a hold is judged.
    fn as_of(&self, now: Duration, subject: &Subject) -> Duration {
        let current = |kind| self.current.get(&kind).copied().unwrap_or_default();
        match subject {
            Subject::ZoneOut(_) => current(Kind::Zone),
            // Ends by the clock: it isn't on the safe side.
            Subject::ZoneIn(_) => now,
            Subject::Server(_) => current(Kind::Server),
        }
    }

    fn is_holding(&self, now: Duration, subject: &Subject) -> bool {
        self.holds.contains(self.as_of(now, subject), subject)
    }

    /// Notes that the store answers again after an outage.
    pub fn record_reconnect(&mut self, now: Duration) {
        self.returned_at = Some(now);
    }

    /// Takes in an update. Returns whether anything changed.
    pub fn apply(&mut self, now: Duration, update: Update) -> bool {
        let (kind, era, whole) = match &update {
            Update::Listing { kind, position, .. } => (*kind, position.era, true),
            Update::Changes { kind, era, delta } => (*kind, *era, delta.since == 0),
        };
        let version = self.config().map(|config| config.version);
        let lapsed = self.lapsed.len();
        // An update without rows or a listing leaves the configuration as it is.
        let moves = whole || !update.rows().is_empty();
        let config = (kind == Kind::Config && moves).then(|| self.best_config(&update)).flatten();
        let changed = match era.cmp(&self.position(kind).era) {
            Ordering::Less => false,
            // Changes alone don't tell what the restored store still has.
            Ordering::Greater if self.is_known(kind) => {
                whole && self.restore(now, kind, era, update)
            }
            _ => self.advance(now, kind, era, update),
        };
        self.keep_config(config);
        if era == self.position(kind).era {
            self.note_current(kind, now);
        }
        let version_changed = self.config().map(|config| config.version) != version;
        changed || version_changed || self.lapsed.len() != lapsed
    }

    /// Takes in an update of the present era, or of the first one known.
    fn advance(&mut self, now: Duration, kind: Kind, era: u64, update: Update) -> bool {
        self.shelves.entry(kind).or_default().era = era;
        let idle = matches!(&update, Update::Changes { delta, .. } if delta.rows.is_empty());
        // Without rows no server vanishes, but the time of one that is kept may end.
        if kind != Kind::Server || (idle && self.lapsed.is_empty()) {
            return self.take(kind, update);
        }
        let before = self.listed_servers();
        let left = self.lapse_end(now).map_or(BTreeSet::new(), |_| self.left(now, &before));
        let changed = self.take(kind, update);
        self.note_vanished(now, before, &left);
        changed
    }

    /// Takes in an update of the present era.
    fn take(&mut self, kind: Kind, update: Update) -> bool {
        match update {
            Update::Listing { position, rows, .. } => self.replace(kind, position.revision, rows),
            Update::Changes { delta, .. } if delta.since == 0 => {
                self.replace(kind, delta.revision, delta.rows)
            }
            Update::Changes { delta, .. } => {
                if delta.since > self.position(kind).revision {
                    return false;
                }
                self.end_rewritten(kind, &delta.rows);
                self.shelves.entry(kind).or_default().rows.merge(delta)
            }
        }
    }

    /// Takes in all rows that there are at a revision.
    fn replace(&mut self, kind: Kind, revision: u64, rows: Vec<(Name, Row<Content>)>) -> bool {
        // An entry that knows nothing is at revision 0.
        if revision == 0 || revision < self.position(kind).revision {
            return false;
        }
        self.end_rewritten(kind, &rows);
        let shelf = self.shelves.entry(kind).or_default();
        shelf.listed = revision;
        shelf.rows.replace(revision, rows)
    }

    /// Takes in the rows of a kind of a store that was restored.
    fn restore(&mut self, now: Duration, kind: Kind, era: u64, update: Update) -> bool {
        match kind {
            Kind::Server => {
                let before = self.listed_servers();
                let left = self.left(now, &before);
                self.begin_era(kind, era, update);
                self.record_reconnect(now);
                self.hold_left(now, &left);
                self.note_vanished(now, before, &left);
            }
            Kind::Zone => {
                let (known, before) = (self.position(kind), self.zones_out(now));
                self.begin_era(kind, era, update);
                self.hold_zones(now, known, &before);
            }
            Kind::Config | Kind::Peer | Kind::Agent => self.begin_era(kind, era, update),
        }
        true
    }

    fn begin_era(&mut self, kind: Kind, era: u64, update: Update) {
        self.shelves.insert(kind, Shelf { era, ..Shelf::default() });
        self.take(kind, update);
    }

    /// Ends holds whose rows were written again.
    fn end_rewritten(&mut self, kind: Kind, rows: &[(Name, Row<Content>)]) {
        for (name, row) in rows {
            match (kind, &row.body) {
                (Kind::Zone, _) => {
                    self.holds.end_rewritten(&Subject::ZoneOut(name.clone()), row.version);
                    self.holds.end_rewritten(&Subject::ZoneIn(name.clone()), row.version);
                }
                (Kind::Server, Some(Content::Server(server))) => {
                    let start = Start { server: name.clone(), started_ms: server.started_ms };
                    self.holds.end_rewritten(&Subject::Server(start), row.version);
                }
                _ => {}
            }
        }
    }

    /// The starts that left or drain, of those listed and those that vanished.
    fn left(&self, now: Duration, listed: &BTreeMap<Name, Server>) -> BTreeSet<Start> {
        let start = |name: &Name, started_ms| Start { server: name.clone(), started_ms };
        let is_held = |start: &Start| self.is_held(now, start);
        let listed = listed.iter().filter_map(|(name, server)| {
            let start = start(name, server.started_ms);
            (server.draining || is_held(&start)).then_some(start)
        });
        let is_used = |name: &Name| self.lapsed.get(name).is_some_and(|(_, until)| now < *until);
        let departed = self.departed.iter().filter(|(name, _)| !is_used(name));
        listed.chain(departed.map(|(name, departed)| start(name, departed.started_ms))).collect()
    }

    fn hold_left(&mut self, now: Duration, left: &BTreeSet<Start>) {
        for (name, server) in self.listed_servers() {
            let start = Start { server: name.clone(), started_ms: server.started_ms };
            if left.contains(&start) && !server.draining {
                let version = self.row_version(Kind::Server, &name);
                self.holds.begin(now, Subject::Server(start), version);
            }
        }
    }

    /// Holds what was known of zones at a position of the era before.
    fn hold_zones(&mut self, now: Duration, known: Position, before: &BTreeSet<Name>) {
        let era = self.position(Kind::Zone).era;
        let listed: BTreeSet<Name> = self.listed_zones_out().cloned().collect();
        for zone in before.difference(&listed) {
            let version = self.row_version(Kind::Zone, zone);
            self.holds.begin(now, Subject::ZoneOut(zone.clone()), version);
        }
        let mut taken_back = BTreeSet::new();
        for zone in listed.difference(before) {
            let version = self.row_version(Kind::Zone, zone);
            // A later row is none that this entry saw go.
            if known.era + 1 == era && version <= known.revision {
                self.holds.begin(now, Subject::ZoneIn(zone.clone()), version);
                taken_back.insert(zone.clone());
            }
        }
        self.holds.end_zones_in(|zone| !taken_back.contains(zone));
    }

    fn row_version(&self, kind: Kind, name: &Name) -> u64 {
        let row = self.shelves.get(&kind).and_then(|shelf| shelf.rows.row(name));
        row.map_or(0, |row| row.version)
    }

    /// Remembers the servers that were entered before and are no longer.
    fn note_vanished(
        &mut self,
        now: Duration,
        before: BTreeMap<Name, Server>,
        left: &BTreeSet<Start>,
    ) {
        let listed = self.listed_servers();
        self.note_departed(now, &before, &listed);
        self.hold_lapsed(now, before, left, &listed);
    }

    /// Remembers the starts that are no longer entered.
    fn note_departed(
        &mut self,
        now: Duration,
        before: &BTreeMap<Name, Server>,
        listed: &BTreeMap<Name, Server>,
    ) {
        self.departed.retain(|name, departed| {
            !listed.contains_key(name) && now < departed.at + DEPARTED_LIFETIME
        });
        for (name, server) in before {
            if !listed.contains_key(name) {
                self.departed
                    .insert(name.clone(), Departed { started_ms: server.started_ms, at: now });
            }
        }
    }

    /// Keeps the configuration that was in force if the store's is older.
    fn keep_config(&mut self, before: Option<(Name, Config)>) {
        let listed = self.listed_config().map_or(0, |(_, config)| config.version);
        if self.lost_config.as_ref().is_some_and(|(_, config)| config.version <= listed) {
            self.lost_config = None;
        }
        if let Some((name, config)) = before
            && config.version > listed
        {
            self.lost_config = Some((name, config));
        }
    }

    /// Until when servers that vanish are kept; nothing if the store has been
    /// back for long.
    fn lapse_end(&self, now: Duration) -> Option<Duration> {
        self.returned_at.map(|at| at + LAPSE_HOLD).filter(|until| now < *until)
    }

    /// Keeps servers that vanished just after an outage, from those that were
    /// listed before and hadn't left.
    fn hold_lapsed(
        &mut self,
        now: Duration,
        before: BTreeMap<Name, Server>,
        left: &BTreeSet<Start>,
        listed: &BTreeMap<Name, Server>,
    ) {
        self.lapsed.retain(|name, (_, until)| !listed.contains_key(name) && now < *until);
        let Some(until) = self.lapse_end(now) else { return };
        for (name, server) in before {
            let start = Start { server: name.clone(), started_ms: server.started_ms };
            if !listed.contains_key(&name) && !left.contains(&start) {
                self.lapsed.insert(name, (server, until));
            }
        }
    }

    fn listed_servers(&self) -> BTreeMap<Name, Server> {
        let rows = self.live(Kind::Server);
        rows.filter_map(|(name, content)| match content {
            Content::Server(server) => Some((name.clone(), server.clone())),
            _ => None,
        })
        .collect()
    }

    fn live(&self, kind: Kind) -> impl Iterator<Item = (&Name, &Content)> {
        self.shelves.get(&kind).into_iter().flat_map(|shelf| shelf.rows.live())
    }

    /// All backend servers, those held after an outage included.
    pub fn servers(&self, now: Duration) -> BTreeMap<Name, Server> {
        let mut servers = self.listed_servers();
        for (name, (server, until)) in &self.lapsed {
            if now < *until {
                servers.entry(name.clone()).or_insert_with(|| server.clone());
            }
        }
        servers
    }

    /// Whether servers are held that no row names any more.
    pub fn has_lapsed(&self) -> bool {
        !self.lapsed.is_empty()
    }

    /// The configuration with the highest version, if one is known.
    pub fn config(&self) -> Option<&Config> {
        let lost = self.lost_config.as_ref().map(|(_, config)| config);
        let listed = self.listed_config().map(|(_, config)| config);
        lost.into_iter().chain(listed).max_by_key(|config| config.version)
    }

    fn listed_config(&self) -> Option<(&Name, &Config)> {
        let configs = self.live(Kind::Config).filter_map(|(name, content)| match content {
            Content::Config(config) => Some((name, config.as_ref())),
            _ => None,
        });
        configs.max_by_key(|(_, config)| config.version)
    }

    /// The configuration with the highest version, of those known and those in
    /// an update of whatever era, with the name of its row.
    fn best_config(&self, update: &Update) -> Option<(Name, Config)> {
        let brought = update.rows().iter().filter_map(|(name, row)| match &row.body {
            Some(Content::Config(config)) => Some((name, config.as_ref())),
            _ => None,
        });
        let lost = self.lost_config.as_ref().map(|(name, config)| (name, config));
        let all = brought.chain(self.listed_config()).chain(lost);
        let best = all.max_by_key(|(_, config)| config.version);
        best.map(|(name, config)| (name.clone(), config.clone()))
    }

    /// Whether operators took the zone out.
    pub fn is_zone_out(&self, now: Duration, zone: &Name) -> bool {
        if self.is_holding(now, &Subject::ZoneOut(zone.clone())) {
            return true;
        }
        let shelf = self.shelves.get(&Kind::Zone);
        let row = shelf.and_then(|shelf| shelf.rows.row(zone));
        row.is_some_and(|row| row.body.is_some())
            && !self.is_holding(now, &Subject::ZoneIn(zone.clone()))
    }

    fn listed_zones_out(&self) -> impl Iterator<Item = &Name> {
        self.live(Kind::Zone).map(|(name, _)| name)
    }

    /// The zones that operators took out.
    pub fn zones_out(&self, now: Duration) -> BTreeSet<Name> {
        let held = self.holds.subjects(|subject| self.as_of(now, subject)).filter_map(|subject| {
            match subject {
                Subject::ZoneOut(zone) => Some(zone),
                _ => None,
            }
        });
        let listed = self.listed_zones_out().filter(|zone| self.is_zone_out(now, zone));
        listed.chain(held).cloned().collect()
    }

    /// Whether a start left or drains although the restored store says
    /// otherwise.
    pub fn is_held(&self, now: Duration, start: &Start) -> bool {
        self.is_holding(now, &Subject::Server(start.clone()))
    }

    /// What the other entries are told of the time before a restore.
    pub fn told_holds(&self, now: Duration) -> Vec<Told> {
        self.holds.told(|subject| self.as_of(now, subject))
    }

    /// Another entry knows more of the time before a restore.
    pub fn hear_hold(&mut self, now: Duration, told: Told) {
        let (kind, name) = match &told.subject {
            Subject::ZoneOut(zone) | Subject::ZoneIn(zone) => (Kind::Zone, zone),
            Subject::Server(start) => (Kind::Server, &start.server),
        };
        if self.row_version(kind, name) <= told.version {
            self.holds.hear(now, told);
        }
    }

    /// Drops holds that are over.
    pub fn sweep(&mut self, now: Duration) {
        let mut holds = std::mem::take(&mut self.holds);
        holds.sweep(|subject| self.as_of(now, subject));
        self.holds = holds;
    }

    /// The entries that the store names.
    pub fn peers(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.live(Kind::Peer).filter_map(|(name, content)| match content {
            Content::Peer(peer) => Some((name, peer)),
            _ => None,
        })
    }

    /// The era of a kind and what changed in it after a position: all there is,
    /// if what was deleted since isn't known.
    pub fn delta(&self, kind: Kind, since: Position) -> (u64, Delta) {
        let unknown = Shelf::default();
        let shelf = self.shelves.get(&kind).unwrap_or(&unknown);
        let era = shelf.era;
        let follows = since.era == era && since.revision >= shelf.listed;
        let mut delta = shelf.rows.delta(if follows { since.revision } else { 0 });
        if kind == Kind::Config
            && let Some((name, config)) = &self.lost_config
        {
            // No row of the present era: version 0 replaces none.
            let body = Some(Content::Config(Box::new(config.clone())));
            delta.rows.push((name.clone(), Row { version: 0, body }));
        }
        (era, delta)
    }
}
