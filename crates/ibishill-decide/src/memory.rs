//! The memory that a relay keeps for data of callers and endpoints, and what it gives up when that is used up.
//!
//! Load: callers that send large bodies at the same time, whole or in pieces of any size, and stop short of the end or
//! go on without one; callers that open connections and send nothing. What makes no progress is given up before what
//! does. Bodies that have arrived whole are never given up: their requests may be running.

use ibishill_core::time;

use crate::exposure;

/// Memory for answers that are being read, in bytes, unless the settings give the relay less.
const ANSWERS_MAX: usize = 16 * 1_024 * 1_024;

/// Memory for all that callers have yet to read, in bytes, unless the settings give the relay less; VMs have 88 MB and
/// more.
const UNREAD_MAX: usize = 24 * 1_024 * 1_024;

/// Memory of a caller's connection while its head is read, in bytes.
const CONNECTION_SIZE: usize = 16 * 1_024;

/// Descriptors that a relay needs for itself, at most: its listeners, the store, peers, probes and scrapes.
const OWN_DESCRIPTORS: usize = 64;

/// Size up to which a body is taken while there is any memory left, in bytes: ordinary bodies have up to 72 KB.
const ORDINARY_SIZE: usize = 128 * 1_024;

/// Time without progress from which on an upload or a connection may be given up.
const STALL_MIN: time::Millis = time::Millis(1_000);

/// Bytes that count as progress of an upload. Callers that send single bytes to look alive make none.
const PROGRESS_SIZE: usize = 4 * 1_024;

/// What a prompt occupies that is remembered after its answer, in bytes.
const ANSWERED_SIZE: usize = 256;

/// What a request and its endpoint's connection occupy beside while its answer is read, in bytes.
const READING_SIZE: usize = 24 * 1_024;

/// What a caller's connection and its request occupy, in bytes, also after the kernel has accepted the whole answer.
const CALLER_SIZE: usize = 24 * 1_024;

/// Size up to which a head is taken in any case, in bytes: its connection's share of the memory covers it.
const SMALL_HEAD: usize = 16 * 1_024;

/// Copies of a head's text: as it was received, as it is sent, the ids and keys that are decoded, and the ids that the
/// answer repeats, from the endpoint and to the caller.
const HEAD_COPIES: usize = 5;

/// What a header occupies beside its text where it was received and where it is sent, in bytes.
const HEADER_SIZE: usize = 256;

/// What a decoded segment of a prompt occupies, in bytes.
const SEGMENT_SIZE: usize = 16;

/// What the buffers of a connection hold beside a body that is longer than [`LONG_BODY`] while it arrives, in bytes.
const ARRIVING_SIZE: usize = 32 * 1_024;

/// Smallest buffer of a body whose length is not declared, in bytes.
const BUFFER_MIN: usize = 4 * 1_024;

/// Length up to which a body fits into the buffer that its head came in, in bytes.
const LONG_BODY: usize = 4 * 1_024;

/// Length from which on an answer may have to wait for its turn to be read, in bytes.
const TURN_SIZE: usize = 64 * 1_024;

/// Limits of a relay, derived from what its settings give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// All data of callers and endpoints, in bytes.
    pub total: usize,
    /// Requests of callers, their heads and bodies, in bytes.
    pub bodies: usize,
    /// Answers that are being read from endpoints, in bytes.
    pub answers: usize,
    /// Answers that callers have yet to read, in bytes.
    pub unread: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Prompts that are remembered after their answers.
    pub answered: usize,
    /// Refused bodies that are read at the same time, to be dropped.
    pub discards: usize,
}

impl Budget {
    /// Budget of a relay with this memory in bytes and this many descriptors, as far as they are known.
    ///
    /// Half of the memory is for data: five eighths of it at most for bodies, a quarter for answers that are being read,
    /// and at least an eighth for what callers have yet to read, so that running requests can be answered while bodies
    /// take all that they may. The other half is for the process, its connections (a quarter of the memory) and what
    /// the allocator can't use.
    pub fn of(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let total = memory.map_or(usize::MAX, |memory| memory / 2);
        let by_memory = memory.map_or(usize::MAX, |memory| memory / 4 / CONNECTION_SIZE);
        // A request has a descriptor for its caller and one for its endpoint.
        let by_descriptors =
            descriptors.map_or(usize::MAX, |count| (count - OWN_DESCRIPTORS.min(count / 4)) / 2);
        Self {
            total,
            bodies: memory.map_or(usize::MAX, |_| total / 8 * 5),
            answers: ANSWERS_MAX.min(total / 4),
            unread: UNREAD_MAX.min(total / 8 * 5),
            connections: by_memory.min(by_descriptors).max(1),
            discards: memory.map_or(usize::MAX, |memory| memory / 16 / ARRIVING_SIZE),
            answered: memory.map_or(usize::MAX, answered).min(exposure::ANSWERED_MAX),
        }
    }

    /// What callers may have yet to read while bodies and answers that are being read occupy `others` bytes.
    pub fn unread_beside(&self, others: usize) -> usize {
        self.unread.min(self.total.saturating_sub(others).max(self.total / 8))
    }

    /// What callers may have yet to read and answers that are being read may occupy together, in bytes, while bodies
    /// occupy `bodies` bytes.
    pub fn unread_and_reading(&self, bodies: usize) -> usize {
        self.unread_beside(bodies)
    }
}

// A 32nd of the memory.
const fn answered(memory: usize) -> usize {
    memory / 32 / ANSWERED_SIZE
}

/// What is left of a limit in bytes beside the connections of this many callers: at least a quarter, so that running
/// requests can be answered.
pub fn beside_callers(limit: usize, callers: usize) -> usize {
    limit.saturating_sub(callers * CALLER_SIZE).max(limit / 4)
}

/// Answers that are being read from endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reading {
    /// Number of answers.
    pub count: usize,
    /// Memory of their buffers, in bytes.
    pub buffered: usize,
    /// Declared lengths of the large ones that are no longer waiting for their turn, in bytes.
    pub declared: usize,
}

impl Reading {
    /// All that they occupy, in bytes, with their requests and the endpoints' connections.
    pub const fn size(&self) -> usize {
        self.buffered + self.count * READING_SIZE
    }

    /// Whether an answer of this declared length is read without waiting for its turn. Answers that begin at the same
    /// moment have nothing buffered yet, so their declared lengths count.
    pub const fn is_free(&self, budget: &Budget, length: usize) -> bool {
        let content = if self.buffered > self.declared { self.buffered } else { self.declared };
        let size = content + self.count * READING_SIZE;
        length < TURN_SIZE || size.saturating_add(length) <= budget.answers / 4
    }
}

/// Memory in use, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// All data of callers and endpoints.
    pub total: usize,
    /// Requests of callers, those that run included.
    pub bodies: usize,
}

/// The head of a request, as far as it occupies memory until the request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Length of its text, in bytes.
    pub text: usize,
    /// Number of its headers.
    pub headers: usize,
    /// Number of its prompt's segments.
    pub segments: usize,
}

impl Head {
    /// All that it occupies, in bytes.
    pub const fn size(&self) -> usize {
        self.text * HEAD_COPIES + self.headers * HEADER_SIZE + self.segments * SEGMENT_SIZE
    }

    /// Whether it is taken however much memory others occupy.
    pub const fn is_small(&self) -> bool {
        self.size() <= SMALL_HEAD
    }
}

/// Next capacity of a buffer that is to hold `length` of at most `limit` bytes. It grows with what has arrived, since a
/// declared length costs a caller nothing.
pub fn next_capacity(present: usize, length: usize, limit: usize) -> usize {
    length.max(present * 2).max(BUFFER_MIN).min(limit.max(length))
}

/// What a body occupies while it arrives, in bytes, if its buffer has this capacity.
pub const fn arriving(capacity: usize) -> usize {
    if capacity > LONG_BODY { capacity + ARRIVING_SIZE } else { capacity }
}

/// A request that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upload {
    /// Memory that its head and body occupy, in bytes.
    pub size: usize,
    /// Bytes that have arrived since it last made progress.
    fresh: usize,
    /// When it last made progress.
    progress: time::Tick,
}

impl Upload {
    /// An upload that begins.
    pub const fn begin(now: time::Tick) -> Self {
        Self { size: 0, fresh: 0, progress: now }
    }

    /// Records that bytes have arrived.
    pub fn record(&mut self, bytes: usize, now: time::Tick) {
        self.fresh += bytes;
        if self.fresh >= PROGRESS_SIZE {
            (self.fresh, self.progress) = (0, now);
        }
    }
}

/// Memory that an upload asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Number of the upload.
    pub number: u64,
    /// What it occupies, in bytes.
    pub held: usize,
    /// What it wants to occupy, in bytes.
    pub size: usize,
}

/// Whether an upload may grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// It fits.
    Fits,
    /// It may fit once this other upload has been given up.
    Evict(u64),
    /// It is to be refused.
    Refuse,
}

/// Decides whether an upload may grow; `uploads` are all of them.
///
/// Bodies beyond the ordinary size may only take as much as they leave free, or half of the budget altogether, so that
/// the last of the memory stays for ordinary ones.
pub fn grow<I>(budget: &Budget, usage: Usage, claim: Claim, uploads: I, now: time::Tick) -> Growth
where
    I: Iterator<Item = (u64, Upload)>,
{
    let Claim { number, held, size } = claim;
    let growth = size.saturating_sub(held);
    let bodies = usage.bodies.saturating_add(growth);
    let fits = bodies <= budget.bodies && usage.total.saturating_add(growth) <= budget.total;
    let is_shared = size <= ORDINARY_SIZE
        || size <= budget.bodies.saturating_sub(bodies)
        || bodies.saturating_sub(size) <= budget.bodies / 2;
    if fits && is_shared {
        return Growth::Fits;
    }
    let others = uploads.filter(|(found, upload)| *found != number && upload.size > 0);
    stalled(others, now).map_or(Growth::Refuse, Growth::Evict)
}

/// The caller that is disconnected so that an upload may grow: of those that have read nothing of their answers, whose
/// numbers and times are given, the one for the longest time. None if the limit of bodies is what stops the upload.
///
/// An upload that has stalled is given up before, since its request has not begun.
pub fn unread_to_release<I>(
    budget: &Budget,
    usage: Usage,
    claim: Claim,
    readers: I,
    now: time::Tick,
) -> Option<u64>
where
    I: Iterator<Item = (u64, time::Tick)>,
{
    let growth = claim.size.saturating_sub(claim.held);
    let exceeds_total = usage.total.saturating_add(growth) > budget.total;
    // Without the others' memory the body would be refused as well.
    let alone = Usage { total: usage.bodies, ..usage };
    let fits_alone = grow(budget, alone, claim, std::iter::empty(), now) == Growth::Fits;
    if exceeds_total && fits_alone { inactive(readers, now) } else { None }
}

/// The upload that is given up first: of those that have stalled, the one that did first.
pub fn stalled<I>(uploads: I, now: time::Tick) -> Option<u64>
where
    I: Iterator<Item = (u64, Upload)>,
{
    let stalled = uploads.filter(|(_, upload)| is_stalled(upload.progress, now));
    stalled.min_by_key(|(_, upload)| upload.progress).map(|(number, _)| number)
}

/// The one that is closed first: of connections without a request, or callers that read nothing, whose numbers and last
/// activity are given, the one that has been inactive for the longest time.
pub fn inactive<I>(connections: I, now: time::Tick) -> Option<u64>
where
    I: Iterator<Item = (u64, time::Tick)>,
{
    let stalled = connections.filter(|(_, active)| is_stalled(*active, now));
    stalled.min_by_key(|(_, active)| *active).map(|(number, _)| number)
}

fn is_stalled(since: time::Tick, now: time::Tick) -> bool {
    now.since(since) >= STALL_MIN
}
