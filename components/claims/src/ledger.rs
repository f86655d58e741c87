//! The ledger of one agent: all partitions of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::partition::{Context, Partition, Waiting, Work};
use crate::{Denial, Input, Output, Settings, Writer};

/// Most partitions that a dump lists.
const DUMP_LIMIT: usize = 64;
/// Length of a UUID in its text form, in bytes.
const UUID_LENGTH: usize = 36;

/// Claims of idempotency keys, as one agent sees and writes them.
///
/// ```
/// use std::time::Duration;
/// use claims::{Input, Ledger, Output, Settings, Writer};
///
/// let writer = Writer { name: "accra-1-a".into(), incarnation: 7 };
/// let mut ledger = Ledger::new(writer, "bookings", 16, Settings::default());
/// let begin = Input::Begin {
///     ticket: 1,
///     key: "desk/booking-9".into(),
///     fingerprint: 5,
///     deadline: Duration::from_secs(2),
///     wall: Duration::from_secs(1_800_000_000),
/// };
/// let now = Duration::ZERO;
/// let out = ledger.step(now, begin);
/// let [Output::Load { call, partition }] = out[..] else { panic!() };
/// let out = ledger.step(now, Input::Loaded { call, partition, object: None });
/// let Output::Store { call, .. } = out[0] else { panic!() };
/// let out = ledger.step(now, Input::Stored { call, partition, version: 1 });
/// assert_eq!(out, [Output::Grant { ticket: 1 }]);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    context: Context,
    pool: Name,
    count: u32,
    partitions: BTreeMap<u32, Partition>,
    tickets: BTreeMap<u64, (u32, u128)>,
}

/// State of a ledger, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// The pool.
    pub pool: Name,
    /// The writer.
    pub writer: Writer,
    /// Number of partitions of the pool.
    pub partitions: u32,
    /// Number of partitions in memory.
    pub loaded: usize,
    /// Number of records in memory.
    pub records: usize,
    /// Number of open requests.
    pub tickets: usize,
    /// The first partitions in memory.
    pub list: Vec<PartitionDump>,
}

/// State of a partition, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartitionDump {
    /// The partition.
    pub partition: u32,
    /// The version of its head.
    pub version: Option<u64>,
    /// Number of records in memory.
    pub records: usize,
    /// Number of segments of the head.
    pub segments: usize,
    /// Number of claims that this writer has in hand.
    pub own: usize,
    /// Number of requests that wait for a read.
    pub waiting: usize,
    /// Whether a call to the platform is in flight.
    pub in_flight: bool,
    /// Whether the platform counts as out.
    pub out: bool,
}

impl Ledger {
    /// A ledger that knows nothing yet. `partitions` must be the same for all
    /// writers of the pool, for ever.
    ///
    /// ```
    /// let writer = claims::Writer { name: "a".into(), incarnation: 1 };
    /// let ledger = claims::Ledger::new(writer, "bookings", 16, claims::Settings::default());
    /// assert_eq!(ledger.dump().loaded, 0);
    /// ```
    pub fn new(
        writer: Writer,
        pool: impl Into<Name>,
        partitions: u32,
        settings: Settings,
    ) -> Ledger {
        let context = Context { writer, settings, wall: Duration::ZERO, calls: 0, sequence: 0 };
        Ledger {
            context,
            pool: pool.into(),
            count: partitions.max(1),
            partitions: BTreeMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Takes in one event at time `now` and returns what is to be done.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Begin { ticket, key, fingerprint, deadline, wall } => {
                self.context.wall = self.context.wall.max(wall);
                self.begin(now, ticket, key, fingerprint, deadline, &mut out);
            }
            Input::Finish { ticket, answer } => {
                self.with_ticket(now, ticket, &mut out, |partition, context, key| {
                    partition.finish(context, key, ticket, answer);
                });
            }
            Input::Lost { ticket } => {
                self.with_ticket(now, ticket, &mut out, |partition, _, key| {
                    partition.lose(key, ticket);
                });
            }
            Input::Abandon { ticket } => {
                self.with_ticket(now, ticket, &mut out, |partition, _, key| {
                    partition.abandon(key, ticket);
                });
            }
            Input::Tick { wall } => {
                self.context.wall = self.context.wall.max(wall);
                self.tick(now, &mut out);
            }
            completion => self.complete(now, completion, &mut out),
        }
        for output in &out {
            if let Output::Deny { ticket, .. } = output {
                self.tickets.remove(ticket);
            }
        }
        out
    }

    /// The state in short, of bounded size.
    pub fn dump(&self) -> Dump {
        let list = self.partitions.values().take(DUMP_LIMIT).map(to_dump).collect();
        Dump {
            pool: self.pool.clone(),
            writer: self.context.writer.clone(),
            partitions: self.count,
            loaded: self.partitions.len(),
            records: self.record_count(),
            tickets: self.tickets.len(),
            list,
        }
    }

    /// The partition of a key, for callers that want to send the requests of
    /// one partition to one agent, so that its writes carry more claims.
    ///
    /// ```
    /// assert!(claims::Ledger::partition("desk/booking-9", 16) < 16);
    /// ```
    pub fn partition(key: impl AsRef<str>, partitions: u32) -> u32 {
        let hash = xxhash_rust::xxh3::xxh3_128(key.as_ref().as_bytes());
        (hash % u128::from(partitions.max(1))) as u32
    }

    fn begin(
        &mut self,
        now: Duration,
        ticket: u64,
        key: Name,
        fingerprint: u64,
        deadline: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.is_too_old(&key) {
            return out.push(Output::Deny { ticket, denial: Denial::Unknown });
        }
        let id = Ledger::partition(&key, self.count);
        let open: usize = self.partitions.values().map(Partition::open_count).sum();
        let is_full = open >= self.context.settings.claim_limit;
        if is_full || deadline <= now || !self.has_room(now, id) {
            let denial = Denial::Unavailable { retry_after: self.context.settings.backoff };
            return out.push(Output::Deny { ticket, denial });
        }
        let key = xxhash_rust::xxh3::xxh3_128(key.as_bytes());
        self.tickets.insert(ticket, (id, key));
        let request = Waiting { ticket, key, fingerprint, deadline };
        let partition = self.partitions.entry(id).or_insert_with(|| Partition::new(id));
        partition.begin(&mut self.context, now, request, out);
        partition.expire(&self.context, now, out);
        partition.pump(&mut self.context, now, out);
    }

    /// A key that carries a time is refused once its claim may have been trimmed.
    fn is_too_old(&self, key: &str) -> bool {
        let start = key.len().checked_sub(UUID_LENGTH);
        let text = start.and_then(|start| key.get(start..));
        let uuid = text.and_then(|text| uuid::Uuid::try_parse(text).ok());
        let Some(uuid) = uuid.filter(|uuid| uuid.get_version_num() == 7) else { return false };
        let Some(time) = uuid.get_timestamp() else { return false };
        let (seconds, nanos) = time.to_unix();
        Duration::new(seconds, nanos) + self.context.settings.retention < self.context.wall
    }

    /// Makes room for a partition by dropping the one unused for longest.
    fn has_room(&mut self, now: Duration, id: u32) -> bool {
        if self.partitions.contains_key(&id) {
            return true;
        }
        while self.record_count() >= self.context.settings.record_limit {
            let idle = self.partitions.values().filter(|p| p.is_idle() && p.used < now);
            let Some(oldest) = idle.min_by_key(|p| p.used).map(|p| p.id) else { return false };
            self.partitions.remove(&oldest);
        }
        true
    }

    fn with_ticket(
        &mut self,
        now: Duration,
        ticket: u64,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Partition, &Context, u128),
    ) {
        let Some((id, key)) = self.tickets.remove(&ticket) else { return };
        let Some(partition) = self.partitions.get_mut(&id) else { return };
        act(partition, &self.context, key);
        partition.expire(&self.context, now, out);
        partition.pump(&mut self.context, now, out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        for partition in self.partitions.values_mut() {
            partition.expire(&self.context, now, out);
            partition.pump(&mut self.context, now, out);
        }
        let idle = self.context.settings.idle;
        self.partitions.retain(|_, p| !p.is_idle() || p.used + idle > now);
    }

    fn complete(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        let Some((call, id)) = to_call(&input) else { return };
        let Some(partition) = self.partitions.get_mut(&id) else { return };
        // Requests whose deadline has passed are denied before any is granted.
        partition.expire(&self.context, now, out);
        if partition.is_spill(call) {
            match input {
                Input::SegmentStored { .. } => partition.spill_stored(),
                _ => partition.spill_failed(out),
            }
        } else if let Some(work) = partition.land(call) {
            land(partition, &mut self.context, now, work, input, out);
        }
        partition.pump(&mut self.context, now, out);
    }

    fn record_count(&self) -> usize {
        self.partitions.values().map(Partition::record_count).sum()
    }
}

fn land(
    partition: &mut Partition,
    context: &mut Context,
    now: Duration,
    work: Work,
    input: Input,
    out: &mut Vec<Output>,
) {
    match (work, input) {
        (Work::Load, Input::Loaded { object, .. }) => partition.loaded(context, now, object, out),
        (Work::Segment(name), Input::SegmentLoaded { value, .. }) => {
            partition.segment_loaded(context, now, name, value, out);
        }
        (Work::Store(head), Input::Stored { version, .. }) => {
            partition.stored(context, now, head, version, out);
        }
        (Work::Store(_), Input::Conflict { call, .. }) => partition.conflict(context, now, call),
        (_, Input::Busy { retry_after, .. }) => {
            partition.fail(context, now, Some(retry_after), out);
        }
        (work, _) => partition.failed(context, now, work, out),
    }
}

/// The call that an input completes, and its partition.
fn to_call(input: &Input) -> Option<(u64, u32)> {
    match *input {
        Input::Loaded { call, partition, .. }
        | Input::SegmentLoaded { call, partition, .. }
        | Input::Stored { call, partition, .. }
        | Input::SegmentStored { call, partition }
        | Input::Conflict { call, partition }
        | Input::Failed { call, partition }
        | Input::Busy { call, partition, .. } => Some((call, partition)),
        Input::Begin { .. }
        | Input::Finish { .. }
        | Input::Lost { .. }
        | Input::Abandon { .. }
        | Input::Tick { .. } => None,
    }
}

fn to_dump(partition: &Partition) -> PartitionDump {
    let known = partition.known.as_ref();
    PartitionDump {
        partition: partition.id,
        version: known.and_then(|known| known.version),
        records: partition.record_count(),
        segments: known.map_or(0, |known| known.head.segments.len()),
        own: partition.own.len(),
        waiting: partition.waiting.len(),
        in_flight: partition.flight.is_some(),
        out: partition.retry_at.is_some(),
    }
}
