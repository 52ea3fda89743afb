//! Finds the prompt segments that end the endpoints they reach, whenever the end comes.
//!
//! Handles engines that hold many prompts at once, all of which are lost at a crash; engines that crash before the
//! head of a response, in the middle of it or after its end; daemons that each see only some of the requests; and
//! waves of crashes with other causes. Time does not tell which of the prompts in an engine is to blame, so the ends
//! of endpoints with and without a segment are compared, as cases with controls: a segment that has nothing to do
//! with the ends is in as large a share of the ended endpoints as of all endpoints at the same time. Only if it is in
//! many more of them, and hardly any of the endpoints that had it are known to have gone on, is it blamed. What is in
//! all requests is in all endpoints, so nothing counts against it.

mod told;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ibishill_core::{call, time};

use crate::endpoint_key::EndpointKey;
pub use told::Told;

/// Time after a response within which the end of its endpoint counts against it. An engine that runs a prompt for some
/// time before it crashes may get it with all events but the end sent already, as a stream that is resumed, and
/// responds at once: with 1 s, half of the prompts that end engines 1.5 s after their arrival seemed harmless.
pub const AFTERMATH: time::Millis = time::Millis(2_000);

/// Time for which the outcome of a response may stay unknown.
const KEPT: time::Millis = time::Millis(8_000);

/// Time after an end of an endpoint in which it is checked which others go on.
const ACTIVE: time::Millis = time::Millis(10_000);

/// Time after which an end counts no longer.
const TTL: time::Millis = time::Millis::from_secs(600);

/// Time before the first and after the last end with a segment in which other ends are compared.
const WINDOW: time::Millis = time::Millis(2_000);

/// Age from which on an end counts for a refusal: until then peers may tell of another segment that explains it.
const DELIBERATION: time::Millis = time::Millis(300);

/// Interval of judgements, which go through all records.
const JUDGE_INTERVAL: time::Millis = time::Millis(200);

/// Natural logarithm of the likelihood ratio from which on a segment is refused: 10,000 to 1. With 1,000 to 1, a
/// harmless one was refused in 2 of 8 simulated waves of eight crashes a second.
const REFUSED: f64 = 9.2;

/// The same from which on requests with it get one attempt only: 20 to 1.
const CONTAINED: f64 = 3.0;

/// Ends of distinct endpoints that a refusal takes, and that one attempt only takes.
const ENDS_MIN: (usize, usize) = (3, 2);

/// Least share of a segment's requests that end their endpoints.
const SHARE_MIN: f64 = 0.2;

/// Time within which ends count as one moment: a version that is stopped, or a zone that is lost, ends many
/// endpoints at once.
const MOMENT: time::Millis = time::Millis(100);

/// Time after an end from which on an answer of that endpoint shows that it has not ended; earlier ones may have
/// been on their way.
const VOID_MARGIN: time::Millis = time::Millis(200);

/// Weight of the prompts that their endpoints survived: they also count in the share of endpoints by chance. With the
/// full weight, a segment that ends one endpoint in three was not refused in 3 of 8 simulated attacks, with half of it
/// in 2.
const SPARED_WEIGHT: f64 = 0.1;

/// Least factor between the odds that a segment was in an endpoint that ended and that it is in one by chance. The
/// latter are an estimate, and its error would weigh more with each end of a long wave of crashes.
const ODDS_MIN: f64 = 3.0;

/// Least share of the endpoints that a segment counts as being in by chance.
const CHANCE_MIN: f64 = 0.05;

/// Maximum number of records of ended endpoints, and of those that went on.
const RECORDS_MAX: usize = 1_024;

/// Maximum number of segments that are judged at once, those with the most ends.
const CANDIDATES_MAX: usize = 24;

/// Maximum number of segments of a request that count, the last ones.
const SEGMENTS_MAX: usize = 8;

/// Identifies a request sent to an endpoint until its outcome is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

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

#[derive(Debug, Clone)]
struct Open {
    prompt: Prompt,
    endpoint: EndpointKey,
    sent: time::Tick,
    finished: Option<time::Tick>,
    // Whether its outcome is wanted although no endpoint has ended lately.
    is_trial: bool,
}

#[derive(Debug, Clone)]
struct Record {
    prompt: Prompt,
    sent: time::Tick,
    // End of the endpoint, or of the response.
    until: time::Tick,
    heard: time::Tick,
}

// By request and endpoint, so that a record that several daemons tell counts once.
type Records = BTreeMap<(u32, EndpointKey), Record>;

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
    open: BTreeMap<Ticket, Open>,
    finished: VecDeque<Open>,
    next: u64,
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

// What is known of an endpoint that has ended.
#[derive(Debug, Default)]
struct Process {
    at: time::Tick,
    service: u32,
    // With the position of the deepest one that is the same.
    segments: BTreeMap<call::SegmentId, usize>,
    requests: BTreeSet<u32>,
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
        prompt.segments.drain(..excess);
        let ticket = Ticket(self.next);
        self.next += 1;
        let open = Open { prompt, endpoint, sent: now, finished: None, is_trial };
        self.open.insert(ticket, open);
        ticket
    }

    /// Records that a prompt was not sent after all, or not run.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.open.remove(&ticket);
    }

    /// Records that a response has ended, or was lost.
    pub fn finish(&mut self, ticket: Ticket, now: time::Tick) {
        let Some(open) = self.open.remove(&ticket) else { return };
        self.finished.push_back(Open { finished: Some(now), ..open });
        let is_old = |open: &Open| open.finished.is_some_and(|at| now.since(at) >= KEPT);
        while self.finished.front().is_some_and(is_old) {
            self.finished.pop_front();
        }
    }

    /// Whether prompts were at an endpoint lately whose outcome is unknown.
    pub fn has_unresolved(&self, endpoint: EndpointKey) -> bool {
        let mut all = self.open.values().chain(&self.finished);
        all.any(|open| open.endpoint == endpoint)
    }

    /// Records that an endpoint has ended at `now`; returns the number of prompts that it counts against.
    pub fn record_end(&mut self, endpoint: EndpointKey, now: time::Tick) -> usize {
        let at = *self.ends.entry(endpoint).or_insert(now);
        self.last_end = self.last_end.max(Some(now));
        let is_there = |open: &Open| open.endpoint == endpoint;
        let lost: Vec<Ticket> =
            self.open.iter().filter(|(_, open)| is_there(open)).map(|(key, _)| *key).collect();
        let mut lost: Vec<Open> =
            lost.iter().filter_map(|ticket| self.open.remove(ticket)).collect();
        self.finished.retain(|open| {
            let is_lost = is_there(open);
            if is_lost {
                lost.push(open.clone());
            }
            !is_lost
        });
        let mut count = 0;
        for open in lost {
            let finished = open.finished.unwrap_or(now);
            if finished + AFTERMATH + DELIBERATION >= now {
                let until = at.max(open.sent);
                self.add_own(open, until, true, now);
                count += 1;
            }
        }
        self.is_dirty |= count > 0;
        count
    }

    /// Endpoints of which it is to be found out whether they go on: prompts were there, and endpoints have ended
    /// lately.
    pub fn due(&self, now: time::Tick) -> BTreeSet<EndpointKey> {
        let is_active = self.last_end.is_some_and(|at| now.since(at) < ACTIVE);
        let is_due = |open: &&Open| {
            (is_active || open.is_trial)
                && open.finished.is_some_and(|at| now.since(at) >= AFTERMATH)
        };
        self.finished.iter().filter(is_due).map(|open| open.endpoint).collect()
    }

    /// Records that an endpoint was still there at `at`; returns what this shows of prompts.
    pub fn record_alive(
        &mut self,
        endpoint: EndpointKey,
        at: time::Tick,
        now: time::Tick,
    ) -> Vec<Survival> {
        let mut survived = Vec::new();
        self.finished.retain(|open| {
            let is_past = open.finished.is_some_and(|finished| finished + AFTERMATH <= at);
            let is_survival = open.endpoint == endpoint && is_past;
            if is_survival {
                survived.push(open.clone());
            }
            !is_survival
        });
        let mut found = Vec::with_capacity(survived.len());
        for open in survived {
            let segments = open.prompt.segments.clone();
            found.push(Survival { segments, sent: open.sent });
            let until = open.finished.unwrap_or(at);
            self.add_own(open, until, false, now);
        }
        self.is_dirty |= !found.is_empty();
        found
    }

    fn add_own(&mut self, open: Open, until: time::Tick, is_ended: bool, now: time::Tick) {
        let key = (open.prompt.request, open.endpoint);
        let record = Record { prompt: open.prompt, sent: open.sent, until, heard: now };
        if self.add(key, record, is_ended) {
            self.told.push(key, is_ended);
        }
    }

    fn add(&mut self, key: (u32, EndpointKey), record: Record, is_ended: bool) -> bool {
        let records = if is_ended { &mut self.ended } else { &mut self.survived };
        if records.contains_key(&key) {
            return false;
        }
        if records.len() >= RECORDS_MAX {
            let oldest = records.iter().min_by_key(|(_, record)| record.until);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                records.remove(&oldest);
            }
        }
        records.insert(key, record);
        true
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
        let before = self.ended.len();
        self.ended.retain(|(_, endpoint), record| !is_void(*endpoint, record.until));
        self.ends.retain(|endpoint, at| !is_void(*endpoint, *at));
        self.is_dirty |= self.ended.len() < before;
    }

    /// Forgets the ends that count against a segment, as a trial has shown it to be harmless. They do not count
    /// against the other segments of its prompts either, which would be blamed one after the other.
    pub fn forget(&mut self, segment: call::SegmentId) {
        let has_segment = |record: &Record| record.prompt.segments.contains(&segment);
        let with_segment = self.ended.iter().filter(|(_, record)| has_segment(record));
        let endpoints: BTreeSet<EndpointKey> =
            with_segment.map(|((_, endpoint), _)| *endpoint).collect();
        self.ended.retain(|(_, endpoint), _| !endpoints.contains(endpoint));
        self.suspects.remove(&segment);
    }

    /// Whether something has changed since the last judgement, and that is long enough ago.
    pub fn is_due(&self, now: time::Tick) -> bool {
        self.is_dirty && now.since(self.judged) >= JUDGE_INTERVAL
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
        let is_current = |at: time::Tick| now.since(at) < TTL;
        self.ended.retain(|_, record| is_current(record.until));
        self.survived.retain(|_, record| is_current(record.until));
        self.ends.retain(|_, at| is_current(*at));
        let processes = self.processes();
        // Ends that do not count yet are judged again later.
        self.is_dirty = processes.values().any(|process| now.since(process.at) < DELIBERATION);
        let has_refused =
            |process: &Process| process.segments.keys().any(|segment| is_refused(*segment));
        let unexplained: BTreeMap<_, _> =
            processes.iter().filter(|(_, process)| !has_refused(process)).collect();
        let mut settled = unexplained.clone();
        settled.retain(|_, process| now.since(process.at) >= DELIBERATION);
        if unexplained.len() < ENDS_MIN.1 {
            self.suspects.clear();
            return Vec::new();
        }
        let blamed = self.most_blamed(settled, REFUSED, ENDS_MIN.0);
        let suspects = self.most_blamed(unexplained, CONTAINED, ENDS_MIN.1);
        self.suspects = suspects.into_iter().map(|blame| blame.segment).collect();
        blamed
    }

    fn processes(&self) -> BTreeMap<EndpointKey, Process> {
        let mut processes: BTreeMap<EndpointKey, Process> = BTreeMap::new();
        for ((_, endpoint), record) in &self.ended {
            let process = processes.entry(*endpoint).or_default();
            let known = self.ends.get(endpoint).copied();
            process.at = known.unwrap_or_else(|| process.at.max(record.until));
            process.service = record.prompt.service;
            process.requests.insert(record.prompt.request);
            for (depth, segment) in record.prompt.segments.iter().enumerate() {
                let deepest = process.segments.entry(*segment).or_default();
                *deepest = depth.max(*deepest);
            }
        }
        processes
    }

    // The segments that explain the ends, the likeliest first; an end that one explains does not count against the
    // next one.
    fn most_blamed(
        &self,
        mut open: BTreeMap<&EndpointKey, &Process>,
        threshold: f64,
        ends_min: usize,
    ) -> Vec<Blame> {
        let mut blamed = Vec::new();
        loop {
            let mut counts: BTreeMap<call::SegmentId, (usize, usize)> = BTreeMap::new();
            for process in open.values() {
                for (segment, depth) in &process.segments {
                    let (count, deepest) = counts.entry(*segment).or_default();
                    *count += 1;
                    *deepest = (*deepest).max(*depth);
                }
            }
            let mut candidates: Vec<_> =
                counts.into_iter().filter(|(_, (count, _))| *count >= ends_min).collect();
            candidates.sort_by_key(|(_, (count, depth))| std::cmp::Reverse((*count, *depth)));
            candidates.truncate(CANDIDATES_MAX);
            let scored = candidates.into_iter().filter_map(|(segment, (_, depth))| {
                let score = self.score(segment, &open).filter(|score| *score >= threshold)?;
                Some((score, depth, segment))
            });
            let order = |a: &(f64, usize, _), b: &(f64, usize, _)| {
                // The fewest requests have the deepest segment.
                a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
            };
            let Some((_, _, segment)) = scored.max_by(order) else { return blamed };
            let ends = open.iter().filter(|(_, process)| process.segments.contains_key(&segment));
            let ends = ends.map(|(endpoint, process)| (**endpoint, process.at)).collect();
            blamed.push(Blame { segment, ends });
            open.retain(|_, process| !process.segments.contains_key(&segment));
        }
    }

    // Logarithm of the likelihood ratio: that the segment ends endpoints, against that it is in those that have ended
    // by chance.
    fn score(
        &self,
        segment: call::SegmentId,
        open: &BTreeMap<&EndpointKey, &Process>,
    ) -> Option<f64> {
        let cases = open.values().filter(|process| process.segments.contains_key(&segment));
        let cases: Vec<&&Process> = cases.collect();
        let service = cases.first()?.service;
        let from = cases.iter().map(|process| process.at).min()?;
        let from = time::Tick(from.0.saturating_sub(WINDOW.0));
        let to = cases.iter().map(|process| process.at).max()? + WINDOW;
        let has_segment = |record: &Record| record.prompt.segments.contains(&segment);
        let is_inside = |at: time::Tick| at >= from && at <= to;
        // A single request that ends endpoints is judged as a whole.
        let requests = self.ended.iter().filter(|(_, record)| has_segment(record));
        let requests: BTreeSet<u32> = requests.map(|((request, _), _)| *request).collect();
        if requests.len() < ENDS_MIN.1 {
            return None;
        }
        let others = open.values().filter(|process| {
            process.service == service
                && is_inside(process.at)
                && !process.segments.contains_key(&segment)
        });
        // Endpoints that end at the same moment have one cause.
        let moments: BTreeSet<u64> = cases.iter().map(|process| process.at.0 / MOMENT.0).collect();
        let (ends, others) = (moments.len() as f64, others.count() as f64);
        let survived =
            self.survived.values().filter(|record| has_segment(record) && is_inside(record.until));
        let survived = survived.count() as f64;
        let effect = ends / (ends + survived);
        let share = ends / (ends + others);
        if effect < SHARE_MIN || share <= CHANCE_MIN {
            return None;
        }
        let chance = self.presence(segment, service, (from, to));
        let is_likelier = share * (1.0 - chance) >= ODDS_MIN * chance * (1.0 - share);
        if share <= chance || !is_likelier {
            return None;
        }
        let rest = if others > 0.0 { others * ((1.0 - share) / (1.0 - chance)).ln() } else { 0.0 };
        let spared =
            if survived > 0.0 { SPARED_WEIGHT * survived * (1.0 - effect).ln() } else { 0.0 };
        Some(ends * (share / chance).ln() + rest + spared)
    }

    // Share of the time in which endpoints were in use that the segment was there.
    fn presence(
        &self,
        segment: call::SegmentId,
        service: u32,
        (from, to): (time::Tick, time::Tick),
    ) -> f64 {
        let mut all: BTreeMap<EndpointKey, Vec<(time::Tick, time::Tick, bool)>> = BTreeMap::new();
        let present = to.min(self.judged);
        // A segment that is new seems rarer than it is unless those without an outcome count.
        for open in self.open.values().chain(&self.finished) {
            let begin = open.sent.max(from);
            if open.prompt.service == service && begin < present {
                let has_segment = open.prompt.segments.contains(&segment);
                all.entry(open.endpoint).or_default().push((begin, present, has_segment));
            }
        }
        let ended = self.ended.iter().map(|found| (found, time::Millis(0)));
        let survived = self.survived.iter().map(|found| (found, AFTERMATH));
        for (((_, endpoint), record), aftermath) in ended.chain(survived) {
            let (begin, end) = (record.sent.max(from), (record.until + aftermath).min(to));
            if record.prompt.service == service && begin < end {
                let has_segment = record.prompt.segments.contains(&segment);
                all.entry(*endpoint).or_default().push((begin, end, has_segment));
            }
        }
        let (mut with, mut total) = (0, 0);
        for spans in all.values_mut() {
            spans.sort_unstable();
            total += union(spans.iter().map(|(begin, end, _)| (*begin, *end)));
            let present = spans.iter().filter(|(_, _, has_segment)| *has_segment);
            with += union(present.map(|(begin, end, _)| (*begin, *end)));
        }
        if total == 0 { 1.0 } else { (with as f64 / total as f64).max(CHANCE_MIN) }
    }
}

// Time that spans cover, ordered by their begin.
fn union<I>(spans: I) -> u64
where
    I: Iterator<Item = (time::Tick, time::Tick)>,
{
    let mut covered = time::Tick(0);
    let mut total = 0;
    for (begin, end) in spans {
        total += end.since(begin.max(covered)).0;
        covered = covered.max(end);
    }
    total
}
