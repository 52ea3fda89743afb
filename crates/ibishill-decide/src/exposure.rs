//! Finds the prompt segments that end the endpoints they reach, whenever the end comes.
//!
//! Handles engines that hold many prompts at once, all of which are lost at a crash; engines that crash before the
//! head of a response, in the middle of it or after its end; daemons that each see only some of the requests; and
//! waves of crashes with other causes. Time does not tell which of the prompts in an engine is to blame, so the ends
//! of endpoints with and without a segment are compared, as cases with controls: a segment that has nothing to do
//! with the ends is in as large a share of the ended endpoints as of all endpoints at the same time. Only if it is in
//! many more of them, and hardly any of the endpoints that had it are known to have gone on, is it blamed. What is in
//! all requests is in all endpoints, so nothing counts against it.

mod compare;
mod records;
mod told;
mod unresolved;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ibishill_core::{call, time};

use crate::endpoint_key::EndpointKey;
use records::{Record, Records};
pub use told::Told;
pub use unresolved::{ANSWERED_MAX, Ticket};

/// Time after a response within which the end of its endpoint counts against it. An engine that runs a prompt for some
/// time before it crashes may get it with all events but the end sent already, as a stream that is resumed, and
/// responds at once, up to 1.5 s before its end.
pub const AFTERMATH: time::Millis = time::Millis(2_000);

/// Time after an end of an endpoint in which it is checked which others go on.
const ACTIVE: time::Millis = time::Millis(10_000);

/// Time after which an end counts no longer.
const TTL: time::Millis = time::Millis::from_secs(600);

/// Age from which on an end counts for a refusal: until then peers may tell of another segment that explains it.
const DELIBERATION: time::Millis = time::Millis(300);

/// Interval of judgements, which go through all records.
const JUDGE_INTERVAL: time::Millis = time::Millis(200);

/// The same in a long wave of ends, of which a few more hardly change the evidence.
const WAVE_INTERVAL: time::Millis = time::Millis(400);

/// Number of ends from which on a wave is long.
const WAVE_MIN: usize = 16;

/// Maximum number of ends that are compared, the latest ones.
const ENDS_MAX: usize = 64;

/// Natural logarithm of the likelihood ratio from which on a segment is refused: 10,000 to 1. A wave of crashes puts
/// many segments to the test at once, so 1,000 to 1 refuses harmless ones.
const REFUSED: f64 = 9.2;

/// The same from which on requests with it get one attempt only: 20 to 1.
const CONTAINED: f64 = 3.0;

/// Ends of distinct endpoints that a refusal takes, and that one attempt only takes.
const ENDS_MIN: (usize, usize) = (3, 2);

/// Time after an end from which on an answer of that endpoint shows that it has not ended; earlier ones may have
/// been on their way.
const VOID_MARGIN: time::Millis = time::Millis(200);

/// Maximum number of segments that are judged at once, those with the most ends.
const CANDIDATES_MAX: usize = 24;

/// Maximum number of segments of a request that count, the last ones.
const SEGMENTS_MAX: usize = 8;

/// Number of daemons up to which ends are compared. Each daemon knows all prompts that were at an endpoint which has
/// ended, but of the endpoints that go on only its own part of them, and what its peers find room to tell: with many
/// daemons, a segment of most prompts seems to be at the endpoints that end and hardly elsewhere.
const DAEMONS_MAX: usize = 16;

/// Whether ends are compared where so many daemons send prompts.
pub const fn is_compared(daemons: usize) -> bool {
    daemons <= DAEMONS_MAX
}

/// A prompt that is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the request's id.
    pub request: u32,
    /// Hash of the service's id.
    pub service: u32,
    /// Segments in order.
    pub segments: Vec<call::SegmentId>,
}

/// A segment that is to be refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blame {
    /// The segment.
    pub segment: call::SegmentId,
    /// Endpoints that ended with it, and when.
    pub ends: Vec<(EndpointKey, time::Tick)>,
}

/// A prompt whose endpoint is known to have gone on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Survival {
    /// Its segments.
    pub segments: Vec<call::SegmentId>,
    /// When it was sent.
    pub sent: time::Tick,
}

/// Requests sent to endpoints, and what became of these.
#[derive(Debug, Clone, Default)]
pub struct Exposures {
    unresolved: unresolved::Unresolved,
    places: BTreeMap<EndpointKey, Place>,
    // Those that have left, in that order.
    displaced: VecDeque<(time::Tick, EndpointKey)>,
    ended: Records,
    survived: Records,
    // Endpoints that have ended, and when.
    ends: BTreeMap<EndpointKey, time::Tick>,
    last_end: Option<time::Tick>,
    suspects: BTreeSet<call::SegmentId>,
    is_dirty: bool,
    judged: time::Tick,
    told: told::Outbox,
}

// What is known of an endpoint, whether it runs or has ended.
#[derive(Debug, Clone, Copy)]
struct Place {
    group: u32,
    started: time::Tick,
    left: Option<time::Tick>,
    // Its end was to be expected, so that it counts against nothing.
    is_expected: bool,
}

impl Exposures {
    /// Records that a prompt is sent to an endpoint.
    pub fn begin(
        &mut self,
        mut prompt: Prompt,
        endpoint: EndpointKey,
        is_trial: bool,
        now: time::Tick,
    ) -> Ticket {
        let excess = prompt.segments.len().saturating_sub(SEGMENTS_MAX);
        // A long prompt is not kept with the room of all its segments.
        prompt.segments = prompt.segments.split_off(excess);
        self.unresolved.begin(prompt, endpoint, is_trial, now)
    }

    /// Records that a prompt was not sent after all, or not run.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.unresolved.remove(ticket);
    }

    /// Limits the prompts that are remembered after their responses have ended.
    pub fn limit_answered(&mut self, count: usize) {
        self.unresolved.answered_max = count;
    }

    /// Records that a response has ended, or was lost. Returns whether the earliest one was forgotten for it while it
    /// still counted, as many are remembered as may be.
    pub fn finish(&mut self, ticket: Ticket, now: time::Tick) -> bool {
        self.unresolved.finish(ticket, now)
    }

    /// Number of prompts at endpoints whose outcome is unknown.
    pub fn unresolved_count(&self) -> usize {
        self.unresolved.len()
    }

    /// Records that an endpoint is there, and its group: those that are compared with each other, as they are of one
    /// version and zone.
    pub fn place(&mut self, endpoint: EndpointKey, group: u32, now: time::Tick) {
        let place = Place { group, started: now, left: None, is_expected: false };
        let place = self.places.entry(endpoint).or_insert(place);
        (place.group, place.left) = (group, None);
    }

    /// Records that an endpoint is gone, or was replaced.
    pub fn displace(&mut self, endpoint: EndpointKey, now: time::Tick) {
        if let Some(place) = self.places.get_mut(&endpoint) {
            place.left = Some(now);
        }
        self.displaced.push_back((now, endpoint));
        while let Some((_, oldest)) = self.displaced.pop_front_if(|(at, _)| now.since(*at) >= TTL) {
            if self.places.get(&oldest).is_some_and(|place| place.left.is_some()) {
                self.places.remove(&oldest);
            }
        }
    }

    /// Records whether an endpoint is to end, as it leaves, or its version or zone is taken out of service: its end
    /// counts against nothing that is or was there, whoever tells of it.
    pub fn expect_end(&mut self, endpoint: EndpointKey, is_expected: bool) {
        let Some(place) = self.places.get_mut(&endpoint) else { return };
        let was_expected = std::mem::replace(&mut place.is_expected, is_expected);
        if is_expected && !was_expected && self.ends.remove(&endpoint).is_some() {
            self.is_dirty |= self.ended.retain(|(ended, _), _| *ended != endpoint);
        }
    }

    fn is_expected(&self, endpoint: EndpointKey) -> bool {
        self.places.get(&endpoint).is_some_and(|place| place.is_expected)
    }

    // Those whose group is unknown are compared with each other.
    fn group(&self, endpoint: EndpointKey) -> u32 {
        self.places.get(&endpoint).map_or(0, |place| place.group)
    }

    fn start(&self, endpoint: EndpointKey) -> Option<time::Tick> {
        self.places.get(&endpoint).map(|place| place.started)
    }

    /// Whether prompts were at an endpoint lately whose outcome is unknown.
    pub fn has_unresolved(&self, endpoint: EndpointKey) -> bool {
        self.unresolved.is_any_at(endpoint)
    }

    /// Records that an endpoint has ended at `now`; returns the number of prompts that it counts against.
    pub fn record_end(&mut self, endpoint: EndpointKey, now: time::Tick) -> usize {
        self.record_end_at(endpoint, now, now)
    }

    // Records an end at `end` that becomes known at `now`.
    fn record_end_at(&mut self, endpoint: EndpointKey, end: time::Tick, now: time::Tick) -> usize {
        if self.is_expected(endpoint) {
            self.unresolved.take_all(endpoint);
            return 0;
        }
        let at = *self.ends.entry(endpoint).or_insert(end);
        self.last_end = self.last_end.max(Some(end));
        let lost = self.unresolved.take_all(endpoint);
        let mut count = 0;
        for open in lost {
            let finished = open.finished.unwrap_or(end);
            if finished + AFTERMATH + DELIBERATION >= end {
                let until = at.max(open.sent);
                self.add_own(open, endpoint, until, true, now);
                count += 1;
            }
        }
        self.is_dirty |= count > 0;
        count
    }

    /// Endpoints of which it is to be found out whether they go on, the most urgent first: prompts were there, and
    /// endpoints have ended lately.
    pub fn due(&self, now: time::Tick) -> Vec<EndpointKey> {
        let is_active = self.last_end.is_some_and(|at| now.since(at) < ACTIVE);
        self.unresolved.due(!is_active, now)
    }

    /// Records that an endpoint is checked.
    pub fn record_check(&mut self, endpoint: EndpointKey, now: time::Tick) {
        self.unresolved.record_check(endpoint, now);
    }

    /// Records that an endpoint was still there at `at`; returns what this shows of prompts.
    pub fn record_alive(
        &mut self,
        endpoint: EndpointKey,
        at: time::Tick,
        now: time::Tick,
    ) -> Vec<Survival> {
        let survived = self.unresolved.take_past(endpoint, at);
        let mut found = Vec::with_capacity(survived.len());
        for open in survived {
            let segments = open.prompt.segments.clone();
            found.push(Survival { segments, sent: open.sent });
            let until = open.finished.unwrap_or(at);
            self.add_own(open, endpoint, until, false, now);
        }
        // Survivals alone blame nothing, but may clear a segment.
        self.is_dirty |= !found.is_empty() && !self.suspects.is_empty();
        found
    }

    fn add_own(
        &mut self,
        open: unresolved::Open,
        endpoint: EndpointKey,
        until: time::Tick,
        is_ended: bool,
        now: time::Tick,
    ) {
        let key = (endpoint, open.prompt.request);
        let record = Record { prompt: open.prompt, sent: open.sent, until, heard: now };
        let records = if is_ended { &mut self.ended } else { &mut self.survived };
        if records.add(key, record) {
            self.told.push(key, is_ended);
        }
    }

    /// Whether requests with a segment get one attempt only.
    pub fn is_suspect(&self, segment: call::SegmentId) -> bool {
        self.suspects.contains(&segment)
    }

    /// Number of such segments.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Withdraws ends of endpoints that have not ended, as `has_answered` tells of an endpoint and a time.
    pub fn void_ends<F>(&mut self, has_answered: F)
    where
        F: Fn(EndpointKey, time::Tick) -> bool,
    {
        let is_void = |endpoint: EndpointKey, at| has_answered(endpoint, at + VOID_MARGIN);
        // The records of an end are no earlier than it.
        let void = self.ends.extract_if(.., |endpoint, at| is_void(*endpoint, *at));
        let void: BTreeSet<EndpointKey> = void.map(|(endpoint, _)| endpoint).collect();
        if !void.is_empty() {
            self.is_dirty |= self.ended.retain(|(endpoint, _), record| {
                !void.contains(endpoint) || !is_void(*endpoint, record.until)
            });
        }
        // Another daemon may have told of a later end, which an answer may yet show to be none.
        for ((endpoint, _), record) in self.ended.iter().filter(|(key, _)| void.contains(&key.0)) {
            let at = self.ends.entry(*endpoint).or_insert(record.until);
            *at = record.until.min(*at);
        }
    }

    /// Forgets the ends that count against a segment, as a trial has shown it to be harmless. They do not count
    /// against the other segments of its prompts either, which would be blamed one after the other.
    pub fn forget(&mut self, segment: call::SegmentId) {
        let has_segment = |record: &Record| record.prompt.segments.contains(&segment);
        let with_segment = self.ended.iter().filter(|(_, record)| has_segment(record));
        let endpoints: BTreeSet<EndpointKey> =
            with_segment.map(|((endpoint, _), _)| *endpoint).collect();
        self.ended.retain(|(endpoint, _), _| !endpoints.contains(endpoint));
        self.suspects.remove(&segment);
    }

    /// Whether something has changed since the last judgement, and that is long enough ago.
    pub fn is_due(&self, now: time::Tick) -> bool {
        let is_wave = self.ends.len() >= WAVE_MIN;
        let interval = if is_wave { WAVE_INTERVAL } else { JUDGE_INTERVAL };
        self.is_dirty && now.since(self.judged) >= interval
    }

    /// Finds the segments to be refused, beside those that are, and those that may be tried once only.
    pub fn judge<F>(&mut self, is_refused: F, now: time::Tick) -> Vec<Blame>
    where
        F: Fn(call::SegmentId) -> bool,
    {
        if !self.is_due(now) {
            return Vec::new();
        }
        self.judged = now;
        // Survivals alone blame nothing.
        if self.last_end.is_none_or(|at| now.since(at) >= ACTIVE) {
            self.is_dirty = false;
            return Vec::new();
        }
        let from = time::Tick(now.0.saturating_sub(TTL.0));
        self.ended.expire(from);
        self.survived.expire(from);
        self.ends.retain(|_, at| *at >= from);
        let mut comparison = compare::Comparison::new(self, is_refused);
        let ends: Vec<_> = comparison.processes.iter().map(|process| process.at).collect();
        let is_settled = |at: &time::Tick| now.since(*at) >= DELIBERATION;
        // Ends that do not count yet are judged again later.
        self.is_dirty = !ends.iter().all(is_settled);
        if !comparison.is_any_suspect() {
            self.suspects.clear();
            return Vec::new();
        }
        comparison.add_visits(self, now);
        let suspects = comparison.most_blamed(vec![true; ends.len()], CONTAINED, ENDS_MIN.1);
        self.suspects = suspects.into_iter().map(|(segment, _)| segment).collect();
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let settled = ends.iter().map(is_settled).collect();
        let blamed = comparison.most_blamed(settled, REFUSED, ENDS_MIN.0);
        let processes = &comparison.processes;
        let blamed = blamed.into_iter().map(|(segment, ends)| {
            let ends = ends.into_iter().map(|number| &processes[number]);
            Blame { segment, ends: ends.map(|process| (process.endpoint, process.at)).collect() }
        });
        blamed.collect()
    }
}
