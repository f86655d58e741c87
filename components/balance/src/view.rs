//! An entry's view of the platform's store: one table per kind.
//!
//! Rows never go back to an older state, whether they come from the store or
//! from another entry: updates are ordered by the era of the store, then by
//! revision. Backend servers whose rows vanished during an outage of the store
//! are retained for a while after its return, since live servers register again.
//! State from before a restore of the store is held as described in
//! [`crate::hold`]. A configuration is never replaced by one of a lower version.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::{Name, Position, Row, Table};

use crate::config::Config;
use crate::content::{Content, Kind, Peer, Server};
use crate::hold::{self, Bounds, Holds, Subject};
use crate::notice::Start;

/// Rows of one kind by name.
pub type Rows = Table<Name, Content>;

/// Changes of one kind's rows, as exchanged between entries.
pub type Delta = tables::Delta<Name, Content>;

/// Time after the store's return within which live servers register again. From
/// the platform's protocol.
const RETENTION: Duration = Duration::from_secs(2);

/// Time for which a start that vanished from the store is remembered. Longer
/// than any server takes to shut down.
const DEPARTED_LIFETIME: Duration = Duration::from_secs(600);

/// An update from the store or from another entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Complete listing of a kind's objects at a position.
    Listing {
        /// Kind of the objects.
        kind: Kind,
        /// Position of the listing.
        position: Position,
        /// All objects of the kind.
        rows: Vec<(Name, Row<Content>)>,
    },
    /// Objects that changed within an era.
    Changes {
        /// Kind of the objects.
        kind: Kind,
        /// Era of the store.
        era: u64,
        /// The changes; a delta since revision 0 holds all objects.
        delta: Delta,
    },
}

impl Update {
    fn kind(&self) -> Kind {
        let (Update::Listing { kind, .. } | Update::Changes { kind, .. }) = self;
        *kind
    }

    /// Position up to which the rows are complete.
    fn position(&self) -> Position {
        match self {
            Update::Listing { position, .. } => *position,
            Update::Changes { era, delta, .. } => Position { era: *era, revision: delta.revision },
        }
    }

    fn rows(&self) -> &[(Name, Row<Content>)] {
        let (Update::Listing { rows, .. } | Update::Changes { delta: Delta { rows, .. }, .. }) =
            self;
        rows
    }
}

/// Local copy of the rows of one kind, with their era.
#[derive(Clone, Debug, Default)]
struct Replica {
    era: u64,
    rows: Rows,
    /// Revision of the last complete listing, 0 before the first. Deletions
    /// before it are not known.
    listed_revision: u64,
}

/// A start that is no longer registered.
#[derive(Clone, Copy, Debug)]
struct Departed {
    started_ms: u64,
    at: Duration,
}

/// The view of all kinds.
#[derive(Clone, Debug, Default)]
pub struct View {
    replicas: BTreeMap<Kind, Replica>,
    /// A configuration newer than the restored store's, with its row's name.
    lost_config: Option<(Name, Config)>,
    /// Servers whose rows vanished around an outage of the store, with the time
    /// until which they are retained.
    retained: BTreeMap<Name, (Server, Duration)>,
    reconnected_at: Option<Duration>,
    departed: BTreeMap<Name, Departed>,
    holds: Holds,
    /// Time at which the rows of each kind were last known to match the store.
    synced_at: BTreeMap<Kind, Duration>,
}

impl View {
    /// Creates an empty view.
    pub fn new(bounds: Bounds) -> View {
        View { holds: Holds::new(bounds), ..View::default() }
    }

    /// Position of the local copy of a kind.
    pub fn position(&self, kind: Kind) -> Position {
        let at =
            |replica: &Replica| Position { era: replica.era, revision: replica.rows.revision() };
        self.replicas.get(&kind).map_or(Position::default(), at)
    }

    /// Whether a complete listing of a kind was ever received.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.replicas.get(&kind).is_some_and(|replica| replica.listed_revision > 0)
    }

    /// Records that the rows of a kind matched the store at a time.
    pub fn record_synced(&mut self, kind: Kind, at: Duration) {
        let synced_at = self.synced_at.entry(kind).or_default();
        *synced_at = at.max(*synced_at);
    }

    /// Time since the rows of a kind were last known to match the store; `None`
    /// before the first reply.
    pub fn synced_age(&self, now: Duration, kind: Kind) -> Option<Duration> {
        self.synced_at.get(&kind).map(|at| now.saturating_sub(*at))
    }

    /// Time against which the expiry of a hold is checked.
    fn as_of(&self, now: Duration, subject: &Subject) -> Duration {
        let synced_at = |kind| self.synced_at.get(&kind).copied().unwrap_or_default();
        match subject {
            Subject::ZoneOut(_) => synced_at(Kind::Zone),
            // Expires by the clock, since keeping a zone in use isn't the safe side.
            Subject::ZoneIn(_) => now,
            Subject::Server(_) => synced_at(Kind::Server),
        }
    }

    fn is_subject_held(&self, now: Duration, subject: &Subject) -> bool {
        self.holds.contains(self.as_of(now, subject), subject)
    }

    /// Records that the store answers again after an outage.
    pub fn record_reconnect(&mut self, now: Duration) {
        self.reconnected_at = Some(now);
    }

    /// Applies an update that the store has just sent. Returns whether anything
    /// changed.
    pub fn apply(&mut self, now: Duration, update: Update) -> bool {
        let (kind, position) = (update.kind(), update.position());
        let changed = self.apply_relayed(now, update);
        // An answer older than the copy doesn't show that the copy is current.
        if position == self.position(kind) {
            self.record_synced(kind, now);
        }
        changed
    }

    /// Applies an update that another entry sent. Returns whether anything changed.
    /// How current the rows are follows from that entry's heartbeats.
    pub fn apply_relayed(&mut self, now: Duration, update: Update) -> bool {
        let (kind, era, is_complete) = match &update {
            Update::Listing { kind, position, .. } => (*kind, position.era, true),
            Update::Changes { kind, era, delta } => (*kind, *era, delta.since == 0),
        };
        let version = self.config().map(|config| config.version);
        let retained = self.retained.len();
        // Only a listing or an update with rows can change the configuration.
        let may_change = is_complete || !update.rows().is_empty();
        let config =
            (kind == Kind::Config && may_change).then(|| self.newest_config(&update)).flatten();
        let changed = match era.cmp(&self.position(kind).era) {
            Ordering::Less => false,
            // Incremental changes don't show which rows the restored store has.
            Ordering::Greater if self.is_known(kind) => {
                is_complete && self.restore(now, kind, era, update)
            }
            _ => self.advance(now, kind, era, update),
        };
        self.preserve_config(config);
        let version_changed = self.config().map(|config| config.version) != version;
        changed || version_changed || self.retained.len() != retained
    }

    /// Applies an update of the current era, or the first update of a kind.
    fn advance(&mut self, now: Duration, kind: Kind, era: u64, update: Update) -> bool {
        self.replicas.entry(kind).or_default().era = era;
        let idle = matches!(&update, Update::Changes { delta, .. } if delta.rows.is_empty());
        // Without rows no server vanishes, but a retained server may expire.
        if kind != Kind::Server || (idle && self.retained.is_empty()) {
            return self.merge_update(kind, update);
        }
        let before = self.listed_servers();
        let stopped =
            self.retention_end(now).map_or(BTreeSet::new(), |_| self.stopped_starts(now, &before));
        let changed = self.merge_update(kind, update);
        self.record_vanished(now, before, &stopped);
        changed
    }

    /// Merges an update of the current era into the rows of its kind.
    fn merge_update(&mut self, kind: Kind, update: Update) -> bool {
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
                self.replicas.entry(kind).or_default().rows.merge(delta)
            }
        }
    }

    /// Replaces all rows of a kind by those of a complete listing.
    fn replace(&mut self, kind: Kind, revision: u64, rows: Vec<(Name, Row<Content>)>) -> bool {
        // Revision 0 comes from an entry that has no rows yet.
        if revision == 0 || revision < self.position(kind).revision {
            return false;
        }
        self.end_rewritten(kind, &rows);
        let replica = self.replicas.entry(kind).or_default();
        replica.listed_revision = revision;
        replica.rows.replace(revision, rows)
    }

    /// Applies the listing of a kind from a restored store, which begins an era.
    fn restore(&mut self, now: Duration, kind: Kind, era: u64, update: Update) -> bool {
        match kind {
            Kind::Server => {
                let before = self.listed_servers();
                let stopped = self.stopped_starts(now, &before);
                self.begin_era(kind, era, update);
                self.record_reconnect(now);
                self.hold_stopped(now, &stopped);
                self.record_vanished(now, before, &stopped);
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
        self.replicas.insert(kind, Replica { era, ..Replica::default() });
        self.merge_update(kind, update);
    }

    /// Ends the holds of rows that were written again after the restore.
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

    /// The starts that have left or drain, among listed and vanished servers.
    fn stopped_starts(&self, now: Duration, listed: &BTreeMap<Name, Server>) -> BTreeSet<Start> {
        let start = |name: &Name, started_ms| Start { server: name.clone(), started_ms };
        let is_held = |start: &Start| self.is_held(now, start);
        let listed = listed.iter().filter_map(|(name, server)| {
            let start = start(name, server.started_ms);
            (server.draining || is_held(&start)).then_some(start)
        });
        let is_used = |name: &Name| self.retained.get(name).is_some_and(|(_, until)| now < *until);
        let departed = self.departed.iter().filter(|(name, _)| !is_used(name));
        listed.chain(departed.map(|(name, departed)| start(name, departed.started_ms))).collect()
    }

    fn hold_stopped(&mut self, now: Duration, stopped: &BTreeSet<Start>) {
        for (name, server) in self.listed_servers() {
            let start = Start { server: name.clone(), started_ms: server.started_ms };
            if stopped.contains(&start) && !server.draining {
                let version = self.row_version(Kind::Server, &name);
                self.holds.begin(now, Subject::Server(start), version);
            }
        }
    }

    /// Begins holds for zones whose state in the restored store differs from that
    /// `before`; `known` is the last known position of the previous era.
    fn hold_zones(&mut self, now: Duration, known: Position, before: &BTreeSet<Name>) {
        let era = self.position(Kind::Zone).era;
        let listed: BTreeSet<Name> = self.listed_zones_out().cloned().collect();
        for zone in before.difference(&listed) {
            let version = self.row_version(Kind::Zone, zone);
            self.holds.begin(now, Subject::ZoneOut(zone.clone()), version);
        }
        let mut reinstated = BTreeSet::new();
        for zone in listed.difference(before) {
            let version = self.row_version(Kind::Zone, zone);
            // Only if this entry saw the row's deletion: the row is no later than
            // its last position, and no era was missed.
            if known.era + 1 == era && version <= known.revision {
                self.holds.begin(now, Subject::ZoneIn(zone.clone()), version);
                reinstated.insert(zone.clone());
            }
        }
        self.holds.end_zones_in(|zone| !reinstated.contains(zone));
    }

    fn row_version(&self, kind: Kind, name: &Name) -> u64 {
        let row = self.replicas.get(&kind).and_then(|replica| replica.rows.row(name));
        row.map_or(0, |row| row.version)
    }

    /// Records and retains servers whose rows an update removed.
    fn record_vanished(
        &mut self,
        now: Duration,
        before: BTreeMap<Name, Server>,
        stopped: &BTreeSet<Start>,
    ) {
        let listed = self.listed_servers();
        self.record_departed(now, &before, &listed);
        self.retain_vanished(now, before, stopped, &listed);
    }

    /// Records the starts that are no longer registered.
    fn record_departed(
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

    /// Keeps the configuration in force if the store's is older.
    fn preserve_config(&mut self, before: Option<(Name, Config)>) {
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

    /// Time until which vanished servers are retained; `None` once the store has
    /// been back for [`RETENTION`].
    fn retention_end(&self, now: Duration) -> Option<Duration> {
        self.reconnected_at.map(|at| at + RETENTION).filter(|until| now < *until)
    }

    /// Retains servers that vanished just after an outage: those listed before
    /// that had neither left nor drained.
    fn retain_vanished(
        &mut self,
        now: Duration,
        before: BTreeMap<Name, Server>,
        stopped: &BTreeSet<Start>,
        listed: &BTreeMap<Name, Server>,
    ) {
        self.retained.retain(|name, (_, until)| !listed.contains_key(name) && now < *until);
        let Some(until) = self.retention_end(now) else { return };
        for (name, server) in before {
            let start = Start { server: name.clone(), started_ms: server.started_ms };
            if !listed.contains_key(&name) && !stopped.contains(&start) {
                self.retained.insert(name, (server, until));
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
        self.replicas.get(&kind).into_iter().flat_map(|replica| replica.rows.live())
    }

    /// All backend servers, including those retained after an outage.
    pub fn servers(&self, now: Duration) -> BTreeMap<Name, Server> {
        let mut servers = self.listed_servers();
        for (name, (server, until)) in &self.retained {
            if now < *until {
                servers.entry(name.clone()).or_insert_with(|| server.clone());
            }
        }
        servers
    }

    /// Whether servers without a row are retained.
    pub fn has_retained(&self) -> bool {
        !self.retained.is_empty()
    }

    /// The known configuration with the highest version.
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

    /// The configuration with the highest version among those known and those in
    /// an update of any era, with the name of its row.
    fn newest_config(&self, update: &Update) -> Option<(Name, Config)> {
        let updated = update.rows().iter().filter_map(|(name, row)| match &row.body {
            Some(Content::Config(config)) => Some((name, config.as_ref())),
            _ => None,
        });
        let lost = self.lost_config.as_ref().map(|(name, config)| (name, config));
        let all = updated.chain(self.listed_config()).chain(lost);
        let newest = all.max_by_key(|(_, config)| config.version);
        newest.map(|(name, config)| (name.clone(), config.clone()))
    }

    /// Whether operators took a zone out of service.
    pub fn is_zone_out(&self, now: Duration, zone: &Name) -> bool {
        if self.is_subject_held(now, &Subject::ZoneOut(zone.clone())) {
            return true;
        }
        let replica = self.replicas.get(&Kind::Zone);
        let row = replica.and_then(|replica| replica.rows.row(zone));
        row.is_some_and(|row| row.body.is_some())
            && !self.is_subject_held(now, &Subject::ZoneIn(zone.clone()))
    }

    fn listed_zones_out(&self) -> impl Iterator<Item = &Name> {
        self.live(Kind::Zone).map(|(name, _)| name)
    }

    /// The zones that operators took out of service.
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

    /// Whether a start has left or drains according to a hold, whatever the
    /// restored store lists.
    pub fn is_held(&self, now: Duration, start: &Start) -> bool {
        self.is_subject_held(now, &Subject::Server(start.clone()))
    }

    /// The holds of this entry, for the heartbeat.
    pub fn hold_reports(&self, now: Duration) -> Vec<hold::Report> {
        self.holds.reports(|subject| self.as_of(now, subject))
    }

    /// Applies another entry's hold unless its row was written again since.
    pub fn apply_hold_report(&mut self, now: Duration, report: hold::Report) {
        let (kind, name) = match &report.subject {
            Subject::ZoneOut(zone) | Subject::ZoneIn(zone) => (Kind::Zone, zone),
            Subject::Server(start) => (Kind::Server, &start.server),
        };
        if self.row_version(kind, name) <= report.version {
            self.holds.apply_report(now, report);
        }
    }

    /// Drops expired holds.
    pub fn sweep(&mut self, now: Duration) {
        let mut holds = std::mem::take(&mut self.holds);
        holds.sweep(|subject| self.as_of(now, subject));
        self.holds = holds;
    }

    /// The entries registered in the store.
    pub fn peers(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.live(Kind::Peer).filter_map(|(name, content)| match content {
            Content::Peer(peer) => Some((name, peer)),
            _ => None,
        })
    }

    /// The era of a kind and its changes since a position. Returns all rows if
    /// deletions since that position aren't known.
    pub fn delta(&self, kind: Kind, since: Position) -> (u64, Delta) {
        let unknown = Replica::default();
        let replica = self.replicas.get(&kind).unwrap_or(&unknown);
        let era = replica.era;
        let is_incremental = since.era == era && since.revision >= replica.listed_revision;
        let mut delta = replica.rows.delta(if is_incremental { since.revision } else { 0 });
        if kind == Kind::Config
            && let Some((name, config)) = &self.lost_config
        {
            // Not a row of the current era: version 0 doesn't replace any.
            let body = Some(Content::Config(Box::new(config.clone())));
            delta.rows.push((name.clone(), Row { version: 0, body }));
        }
        (era, delta)
    }
}
