//! The claims ledger of one agent for one pool: dispatches events to partitions.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::partition::{Context, Operation, Partition, Waiting};
use crate::{Denial, Input, Output, Settings, Writer};

/// Maximum number of partitions listed in a dump.
const DUMP_LIMIT: usize = 64;
/// Length of a UUID in its text form, in bytes.
const UUID_LENGTH: usize = 36;

/// One agent's view of the idempotency-key claims of a pool, and the writer of
/// its own claims.
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
    partition_count: u32,
    partitions: BTreeMap<u32, Partition>,
    tickets: BTreeMap<u64, (u32, u128)>,
}

/// State of a ledger for the operators' dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dump {
    /// Name of the pool.
    pub pool: Name,
    /// The writer that this ledger claims keys for.
    pub writer: Writer,
    /// Number of partitions of the pool.
    pub partitions: u32,
    /// Number of partitions in memory.
    pub loaded: usize,
    /// Number of records in memory.
    pub records: usize,
    /// Number of open requests.
    pub tickets: usize,
    /// The partitions in memory with the lowest numbers, at most 64.
    pub list: Vec<PartitionDump>,
}

/// State of a partition for the operators' dump.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartitionDump {
    /// Number of the partition.
    pub partition: u32,
    /// Version of the head in memory; `None` before the first read or while
    /// the head does not exist.
    pub version: Option<u64>,
    /// Number of records in memory.
    pub records: usize,
    /// Number of segments of the head.
    pub segments: usize,
    /// Number of claims of this writer that are not yet settled.
    #[serde(rename = "own")]
    pub claims: usize,
    /// Number of requests waiting for the log to be read.
    pub waiting: usize,
    /// Whether a call to the platform is in flight.
    pub in_flight: bool,
    /// Whether the platform is considered unavailable.
    #[serde(rename = "out")]
    pub unavailable: bool,
}

impl Ledger {
    /// Creates an empty ledger. All writers of the pool must use the same number
    /// of `partitions`, and it must never change.
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
            partition_count: partitions.max(1),
            partitions: BTreeMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Handles one event at time `now` and returns the actions for the caller.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Begin { ticket, key, fingerprint, deadline, wall } => {
                self.context.wall = self.context.wall.max(wall);
                self.begin(now, ticket, key, fingerprint, deadline, &mut out);
            }
            Input::Finish { ticket, answer } => {
                self.close_ticket(now, ticket, &mut out, |partition, context, key| {
                    partition.finish(context, key, ticket, answer);
                });
            }
            Input::Lost { ticket } => {
                self.close_ticket(now, ticket, &mut out, |partition, _, key| {
                    partition.result_lost(key, ticket);
                });
            }
            Input::Abandon { ticket } => {
                self.close_ticket(now, ticket, &mut out, |partition, _, key| {
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

    /// Returns a summary of the state, of bounded size.
    pub fn dump(&self) -> Dump {
        let list = self.partitions.values().take(DUMP_LIMIT).map(to_dump).collect();
        Dump {
            pool: self.pool.clone(),
            writer: self.context.writer.clone(),
            partitions: self.partition_count,
            loaded: self.partitions.len(),
            records: self.record_count(),
            tickets: self.tickets.len(),
            list,
        }
    }

    /// Returns the partition of a key. Routing all requests of a partition to
    /// one agent lets each write carry more claims.
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
        if self.is_past_retention(&key) {
            return out.push(Output::Deny { ticket, denial: Denial::Unknown });
        }
        let id = Ledger::partition(&key, self.partition_count);
        let open: usize = self.partitions.values().map(Partition::open_count).sum();
        let is_full = open >= self.context.settings.claim_limit;
        if is_full || deadline <= now || !self.make_room(now, id) {
            let denial = Denial::Unavailable { retry_after: self.context.settings.backoff };
            return out.push(Output::Deny { ticket, denial });
        }
        let key = xxhash_rust::xxh3::xxh3_128(key.as_bytes());
        self.tickets.insert(ticket, (id, key));
        let request = Waiting { ticket, key, fingerprint, deadline };
        let partition = self.partitions.entry(id).or_insert_with(|| Partition::new(id));
        partition.begin(&mut self.context, now, request, out);
        partition.expire(&self.context, now, out);
        partition.start_next_call(&mut self.context, now, out);
    }

    /// Whether the key ends in a version 7 UUID older than the retention period,
    /// so that an earlier claim of it may have been trimmed.
    fn is_past_retention(&self, key: &str) -> bool {
        let start = key.len().checked_sub(UUID_LENGTH);
        let text = start.and_then(|start| key.get(start..));
        let uuid = text.and_then(|text| uuid::Uuid::try_parse(text).ok());
        let Some(uuid) = uuid.filter(|uuid| uuid.get_version_num() == 7) else { return false };
        let Some(time) = uuid.get_timestamp() else { return false };
        let (seconds, nanos) = time.to_unix();
        Duration::new(seconds, nanos) + self.context.settings.retention < self.context.wall
    }

    /// Evicts the least recently used idle partitions while the record limit is
    /// reached. Returns false if no partition can be evicted.
    fn make_room(&mut self, now: Duration, id: u32) -> bool {
        if self.partitions.contains_key(&id) {
            return true;
        }
        while self.record_count() >= self.context.settings.record_limit {
            let idle = self.partitions.values().filter(|p| p.is_idle() && p.last_used < now);
            let Some(oldest) = idle.min_by_key(|p| p.last_used).map(|p| p.id) else { return false };
            self.partitions.remove(&oldest);
        }
        true
    }

    fn close_ticket(
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
        partition.start_next_call(&mut self.context, now, out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        for partition in self.partitions.values_mut() {
            partition.expire(&self.context, now, out);
            partition.start_next_call(&mut self.context, now, out);
        }
        let idle = self.context.settings.idle;
        self.partitions.retain(|_, p| !p.is_idle() || p.last_used + idle > now);
    }

    fn complete(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        let Some((call, id)) = completed_call(&input) else { return };
        let Some(partition) = self.partitions.get_mut(&id) else { return };
        // Expired requests are denied first, so that none is granted after its deadline.
        partition.expire(&self.context, now, out);
        if partition.is_spill_write(call) {
            match input {
                Input::SegmentStored { .. } => partition.spill_stored(),
                _ => partition.spill_failed(out),
            }
        } else if let Some(operation) = partition.take_pending(call) {
            apply_completion(partition, &mut self.context, now, operation, input, out);
        }
        partition.start_next_call(&mut self.context, now, out);
    }

    fn record_count(&self) -> usize {
        self.partitions.values().map(Partition::record_count).sum()
    }
}

fn apply_completion(
    partition: &mut Partition,
    context: &mut Context,
    now: Duration,
    operation: Operation,
    input: Input,
    out: &mut Vec<Output>,
) {
    match (operation, input) {
        (Operation::Load, Input::Loaded { object, .. }) => {
            partition.loaded(context, now, object, out)
        }
        (Operation::Segment(name), Input::SegmentLoaded { value, .. }) => {
            partition.segment_loaded(context, now, name, value, out);
        }
        (Operation::Store(head), Input::Stored { version, .. }) => {
            partition.stored(context, now, head, version, out);
        }
        (Operation::Store(_), Input::Conflict { call, .. }) => {
            partition.conflict(context, now, call)
        }
        (_, Input::Busy { retry_after, .. }) => {
            partition.mark_unavailable(context, now, Some(retry_after), out);
        }
        (operation, _) => partition.call_failed(context, now, operation, out),
    }
}

/// Returns the call that an input completes, and its partition.
fn completed_call(input: &Input) -> Option<(u64, u32)> {
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
    let snapshot = partition.snapshot.as_ref();
    PartitionDump {
        partition: partition.id,
        version: snapshot.and_then(|snapshot| snapshot.version),
        records: partition.record_count(),
        segments: snapshot.map_or(0, |snapshot| snapshot.head.segments.len()),
        claims: partition.claims.len(),
        waiting: partition.waiting.len(),
        in_flight: partition.pending.is_some(),
        unavailable: partition.retry_at.is_some(),
    }
}
